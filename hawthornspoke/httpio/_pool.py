"""Pool of persistent connections."""

import asyncio
import weakref

from hawthornspoke.base import Failure, boottime_clock, monotonic
from hawthornspoke.httpio._client import open_connection
from hawthornspoke.httpio._exchange import MAX_UNREAD_BYTES, TOO_LARGE
from hawthornspoke.httpio._framing import REFUSAL
from hawthornspoke.httpio._losses import ConnectionEnds

#: Maximum bytes, and seconds until the end, of a response body that is only received so
#: that its connection can be reused.
MAX_DRAINED_BYTES = 65536
DRAIN_TIME = 1.0


class _IdleConnection:
    """An idle connection, and which start of the endpoint it was opened to."""

    __slots__ = ("connection", "incarnation")

    def __init__(self, *, connection, incarnation):
        self.connection = connection
        self.incarnation = incarnation


class ConnectionPool:
    """Idle connections by key; the most recently used one is reused first.

    Parameters
    ----------
    id_header : str or None, default=None
        Header by which responses are matched to requests.
    connect_timeout : float, default=0.3
        Seconds. A round trip between regions takes a few milliseconds, or 0.2 s over
        a saturated link; an unreachable endpoint doesn't respond at all.
    closes_idle : bool, default=False
        Whether each connection is closed by a timer at its idle deadline. Otherwise the
        owner calls ``sweep`` periodically, which is cheaper for a pool with many
        requests per second.
    receive_buffer : int or None, default=None
        Bytes of each socket's receive buffer; None leaves it to the operating system.
    max_unread_bytes : int, default=MAX_UNREAD_BYTES
        Maximum bytes of a response that are held unread without a memory budget.

    Attributes
    ----------
    metrics : Metrics or None
        Counts the responses beyond a limit, and those that may not belong to the
        request; may be set later.
    earliest_arrival : callable
        Returns a lower bound on the time at which data that is read now has arrived;
        may be set later. An endpoint counts the idle time of a connection from then,
        also while this process stands still.
    losses : ConnectionEnds
        Of connections that were lost, on the monotonic clock.
    unframed_ends : ConnectionEnds
        Of connections with which a response without framing ended, on the same clock.
    """

    __slots__ = (
        "id_header",
        "connect_timeout",
        "closes_idle",
        "opened",
        "receive_buffer",
        "max_unread_bytes",
        "metrics",
        "earliest_arrival",
        "losses",
        "unframed_ends",
        "_connections_by_address",
        "_idle_by_key",
        "_drain_tasks",
    )

    def __init__(
        self,
        *,
        id_header=None,
        connect_timeout=0.3,
        closes_idle=False,
        receive_buffer=None,
        max_unread_bytes=MAX_UNREAD_BYTES,
    ):
        self.id_header = id_header
        self.connect_timeout = connect_timeout
        self.closes_idle = closes_idle
        self.receive_buffer = receive_buffer
        self.max_unread_bytes = max_unread_bytes
        self.metrics = None
        self.earliest_arrival = boottime_clock
        self.losses = ConnectionEnds()
        self.unframed_ends = ConnectionEnds()
        self._connections_by_address = {}
        self.opened = 0
        self._idle_by_key = {}
        self._drain_tasks = set()

    async def acquire(
        self, key, address, *, incarnation=None, fresh=False, timeout=None
    ):
        """Return an idle connection or open a new one.

        Parameters
        ----------
        key : str
            A connection is reused only for the same key, as an address can be
            reassigned to another endpoint.
        address : str
        incarnation : object, default=None
            Identifies one start of the endpoint. Idle connections to earlier starts are
            closed: after a power loss such a connection still looks open, and a
            request sent on it would have an unknown outcome.
        fresh : bool, default=False
            Whether to always open a new connection.
        timeout : float or None, default=None
            Connect timeout in seconds; None uses ``connect_timeout``.

        Returns
        -------
        ClientConnection or Failure
        """
        idle = self._idle_connections(key, incarnation)
        now = boottime_clock()
        while idle and not fresh:
            connection = idle.pop().connection
            if _is_usable(connection, now):
                return connection
            connection.abort()
        return await self.open(address, timeout=timeout)

    async def open(self, address, *, timeout=None):
        """Open a connection; see ``acquire``."""
        self.opened += 1
        connection = await open_connection(
            address,
            timeout=timeout or self.connect_timeout,
            id_header=self.id_header,
            receive_buffer=self.receive_buffer,
            max_unread_bytes=self.max_unread_bytes,
            on_oversized=self._count_oversized,
            on_unmatched=self._count_unmatched,
            on_lost=lambda state, opened_at: self._record_loss(
                address, state, opened_at
            ),
            on_unframed_end=lambda: self.unframed_ends.record(address, now=monotonic()),
        )
        if not isinstance(connection, Failure):
            self._connections_by_address.setdefault(address, weakref.WeakSet()).add(
                connection
            )
        return connection

    def has_open(self, address, *, opened_before):
        """Return whether a connection is open, in use or not.

        Parameters
        ----------
        address : str
        opened_before : float
            Time on the monotonic clock before which it was opened.

        Returns
        -------
        bool
        """
        return any(
            connection.is_open and connection.opened_at < opened_before
            for connection in self._connections_by_address.get(address, ())
        )

    def acquire_kept(self, key, *, incarnation, opened_before):
        """Return an idle connection that was opened before a time, None without one.

        Parameters
        ----------
        key : str
        incarnation : object
        opened_before : float
            Time on the monotonic clock.

        Returns
        -------
        ClientConnection or None
        """
        now = boottime_clock()
        for item in reversed(self._idle_by_key.get(key, ())):
            connection = item.connection
            if (
                item.incarnation == incarnation
                and connection.opened_at < opened_before
                and _is_usable(connection, now)
            ):
                self._idle_by_key[key].remove(item)
                return connection
        return None

    def return_connection(self, key, connection, *, incarnation=None):
        """Return a connection to the pool after a complete response.

        It is closed if it can't be reused.
        """
        if connection.release(idle_since=self.earliest_arrival()):
            entry = _IdleConnection(connection=connection, incarnation=incarnation)
            self._idle_by_key.setdefault(key, []).append(entry)
            if self.closes_idle:
                delay = max(0.0, connection.idle_deadline - boottime_clock())
                asyncio.get_running_loop().call_later(delay, self.sweep)

    def drain(self, key, connection, *, incarnation=None):
        """Return a connection to the pool after a response whose body nobody reads.

        The rest of the body is received in the background, within ``MAX_DRAINED_BYTES``
        and ``DRAIN_TIME``; otherwise the connection is closed.
        """
        exchange = connection.exchange
        if exchange is None:
            connection.abort()
            return
        exchange.skip_body(max_bytes=MAX_DRAINED_BYTES)
        connection.resume_reading()
        if exchange.complete:
            self.return_connection(key, connection, incarnation=incarnation)
            return
        task = asyncio.ensure_future(
            self._drain(key, connection, exchange, incarnation)
        )
        self._drain_tasks.add(task)
        task.add_done_callback(self._drain_tasks.discard)

    def drop(self, key):
        """Close the idle connections of a removed endpoint."""
        for item in self._idle_by_key.pop(key, ()):
            item.connection.abort()

    def sweep(self):
        """Close connections that are past their idle deadline."""
        now = boottime_clock()
        for idle in self._idle_by_key.values():
            expired = [item for item in idle if now >= item.connection.idle_deadline]
            for item in expired:
                idle.remove(item)
                item.connection.abort()
        for address, connections in list(self._connections_by_address.items()):
            if not connections:
                del self._connections_by_address[address]

    def _idle_connections(self, key, incarnation):
        """Return the idle connections to one start of an endpoint; close all others."""
        idle = self._idle_by_key.get(key)
        if not idle:
            return idle
        for item in [item for item in idle if item.incarnation != incarnation]:
            idle.remove(item)
            item.connection.abort()
        return idle

    def close(self):
        """Close all idle connections."""
        for key in list(self._idle_by_key):
            self.drop(key)
        for task in self._drain_tasks:
            task.cancel()

    async def _drain(self, key, connection, exchange, incarnation):
        try:
            async with asyncio.timeout(DRAIN_TIME):
                failure = await exchange.wait_for_end()
        except TimeoutError:
            failure = TOO_LARGE
        finally:
            if exchange.complete:
                self.return_connection(key, connection, incarnation=incarnation)
            else:
                connection.abort()
        if failure == TOO_LARGE:
            self._count_oversized(REFUSAL)

    def _record_loss(self, address, state, opened_at):
        self.losses.record(address, now=monotonic(), opened_at=opened_at)
        if self.metrics is not None:
            self.metrics.count("connections_lost_total", state=state)

    def _count_oversized(self, part):
        if self.metrics is not None:
            self.metrics.count("oversized_responses_total", part=part)

    def _count_unmatched(self, kind):
        if self.metrics is not None:
            self.metrics.count("unmatched_responses_total", kind=kind)


def _is_usable(connection, now):
    """Return whether an idle connection can carry a request."""
    if now >= connection.idle_deadline or not connection.is_open:
        return False
    # An answer to no request may have arrived that the event loop hasn't read.
    return not connection.has_unread_data()
