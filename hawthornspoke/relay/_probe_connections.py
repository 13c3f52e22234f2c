"""Connections that are kept open beside answers without framing.

Such an answer ends with its connection. If something else ends the connection, it
mostly ends others to the same endpoint with it: a connection that was open before the
end, and still is after it, shows that the end was the endpoint's.
"""

import asyncio
import contextlib
import math

from hawthornspoke.base import (
    Failure,
    StallTolerantTimeout,
    boottime_clock,
    monotonic,
)

#: Seconds between two checks of a connection, and between two attempts to open one.
CHECK_INTERVAL = 0.05
REOPEN_INTERVAL = 0.3

#: Seconds for which a connection that carries no other probe stays open after one.
SPENT_TIME = 0.1


class ProbeConnections:
    """One connection to each endpoint that is sending an answer without framing.

    Parameters
    ----------
    pool : ConnectionPool
    prober : EndpointProber
    metrics : Metrics
    """

    __slots__ = ("_pool", "_prober", "_metrics", "_probe_by_key")

    def __init__(self, *, pool, prober, metrics):
        self._pool = pool
        self._prober = prober
        self._metrics = metrics
        self._probe_by_key = {}

    def hold(self, placement, *, service):
        """Keep a connection open until the lease is released.

        Parameters
        ----------
        placement : Placement
        service : str

        Returns
        -------
        ProbeLease
        """
        key = _key(placement)
        probe = self._probe_by_key.get(key)
        if probe is None:
            probe = self._probe_by_key[key] = EndpointProbe(
                placement=placement,
                service=service,
                pool=self._pool,
                prober=self._prober,
                metrics=self._metrics,
                on_ended=lambda: self._probe_by_key.pop(key, None),
            )
        return ProbeLease(probe=probe)

    def hold_existing(self, placement):
        """Return a ProbeLease of a connection that is open, None without one."""
        probe = self._probe_by_key.get(_key(placement))
        return None if probe is None else ProbeLease(probe=probe)


class ProbeLease:
    """Keeps an EndpointProbe's connection open until it is released.

    Attributes
    ----------
    probe : EndpointProbe or None
        None once it is released.
    """

    __slots__ = ("probe",)

    def __init__(self, *, probe):
        self.probe = probe
        probe.add_user()

    def release(self):
        """Need the connection no longer."""
        probe, self.probe = self.probe, None
        if probe is not None:
            probe.remove_user()


class _Proof:
    """An answered probe: over which connection, and when it was sent."""

    __slots__ = ("connection", "opened_at", "sent_at", "is_identified")

    def __init__(self, *, connection, sent_at, is_identified):
        self.connection = connection
        self.opened_at, self.sent_at = connection.opened_at, sent_at
        self.is_identified = is_identified

    def covers(self, *, sent_at, ended_at, opened_before, probe_after, is_watched):
        """Return whether it shows the same for an answer as a probe of its own."""
        if self.sent_at <= ended_at:
            return False
        if self.opened_at >= opened_before and not is_watched:
            return False
        if not self.is_identified and self.opened_at >= sent_at:
            return False
        # What ends connections one after the other would have ended this one by now.
        return self.sent_at >= probe_after or self.connection.is_open


class EndpointProbe:
    """A connection to one start of an endpoint, over which it can be probed.

    It outlasts its last user until its idle deadline, as an endpoint that has sent one
    answer without framing mostly sends more.

    Parameters
    ----------
    placement : Placement
    service : str
    pool : ConnectionPool
    prober : EndpointProber
    metrics : Metrics
    on_ended : callable
        Called when the connection is closed for good.
    """

    __slots__ = (
        "_placement",
        "_service",
        "_pool",
        "_prober",
        "_metrics",
        "_on_ended",
        "_users",
        "_connection",
        "_probed",
        "_is_identified",
        "_echoes",
        "_reuse_time",
        "_refresh_at",
        "_reopen_at",
        "_last_proof",
        "_spent",
        "_must_open",
        "_lock",
        "_task",
    )

    def __init__(self, *, placement, service, pool, prober, metrics, on_ended):
        self._placement = placement
        self._service = service
        self._pool = pool
        self._prober = prober
        self._metrics = metrics
        self._on_ended = on_ended
        self._users = 0
        self._connection = None
        # While a probe is under way, its connection; None once it is given up.
        self._probed = None
        self._is_identified = False
        self._echoes = True
        # Of a new connection, as a response on an earlier one announced.
        self._reuse_time = None
        self._refresh_at = 0.0
        self._reopen_at = -math.inf
        self._last_proof = None
        # Tasks that close connections which carry no other probe.
        self._spent = {}
        self._must_open = asyncio.Event()
        self._lock = asyncio.Lock()
        self._task = None

    def add_user(self):
        """Keep the connection open for one more answer."""
        self._users += 1
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def remove_user(self):
        """Keep the connection open for one answer less."""
        self._users -= 1
        if not self._users and self._lock.locked():
            # Nobody waits any more for the probe that is under way.
            self._give_up(self._probed or self._connection)

    async def prove(self, *, sent_at, ended_at, opened_before, probe_after):
        """Find out whether the endpoint of an answer runs after its end.

        Parameters
        ----------
        sent_at, ended_at : float
            When the request was sent and its answer ended, on the monotonic clock.
        opened_before : float
            Before which a connection was opened that would have been lost with that of
            the answer, on the same clock.
        probe_after : float
            When the probe may be sent at the earliest, on the same clock.

        Returns
        -------
        bool or None
            False if another endpoint answers, None if nothing is shown.
        """
        proof = asyncio.ensure_future(
            self._prove(
                sent_at=sent_at,
                ended_at=ended_at,
                opened_before=opened_before,
                probe_after=probe_after,
            )
        )
        # Others may wait for the same connection if this call is cancelled.
        return await asyncio.shield(proof)

    async def _prove(self, *, sent_at, ended_at, opened_before, probe_after):
        async with self._lock:
            proof = self._last_proof
            if proof is not None and proof.covers(
                sent_at=sent_at,
                ended_at=ended_at,
                opened_before=opened_before,
                probe_after=probe_after,
                is_watched=self._is_watched(opened_before),
            ):
                return True
            connection = self._connection
            if not self._is_usable():
                return None
            # An answer may end during the probe that uses up the connection beside it.
            # While that one is open, no others were lost with the answer; the next one
            # shows that the endpoint runs.
            is_later = connection.opened_at >= opened_before
            if is_later and not self._is_watched(opened_before):
                return None
            # The process at the other end of a connection that was opened before the
            # request was sent is the one that answered it. Any other has to say its id.
            needs_id = connection.opened_at >= sent_at
            response = await self._probe(connection)
            if response is None or not response.is_answer:
                return None
            if response.endpoint_id not in (None, self._placement.endpoint_id):
                return False
            if is_later and not self._is_watched(opened_before):
                return None
            if needs_id and not self._last_proof.is_identified:
                return await self._check_health(connection)
            return True

    def _is_watched(self, opened_before):
        """Return whether a used-up connection is open that can show an end of others.

        Parameters
        ----------
        opened_before : float
            Time on the monotonic clock.

        Returns
        -------
        bool
        """
        return any(
            connection.opened_at < opened_before and not connection.is_socket_closed()
            for connection in self._spent
        )

    async def _run(self):
        try:
            while self._users or self._has_time():
                if not self._is_usable():
                    await self._open()
                elif boottime_clock() >= self._refresh_at:
                    async with self._lock:
                        if self._is_usable():
                            await self._probe(self._connection)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CHECK_INTERVAL):
                        await self._must_open.wait()
                self._must_open.clear()
        finally:
            self._end()

    def _end(self):
        self._give_up(self._probed)
        self._give_up(self._connection)
        self._on_ended()

    def _give_up(self, connection):
        if connection is None:
            return
        if self._probed is connection:
            self._probed = None
        if self._connection is connection:
            self._connection = None
        connection.abort()

    def _has_time(self):
        return self._is_usable() and boottime_clock() < self._refresh_at

    def _is_usable(self):
        connection = self._connection
        return connection is not None and connection.is_open and connection.reusable

    async def _open(self):
        """Take an idle connection of the pool, or open one."""
        self._connection = None
        if not self._users:
            return
        placement = self._placement
        connection = self._pool.acquire_kept(
            placement.endpoint_id,
            incarnation=placement.incarnation,
            opened_before=monotonic(),
        )
        if connection is None:
            if monotonic() < self._reopen_at:
                return
            self._reopen_at = monotonic() + REOPEN_INTERVAL
            self._metrics.count("end_probe_connections_total")
            connection = await self._pool.open(placement.address)
            if isinstance(connection, Failure):
                return
        if self._connection is not None or self._task.done():
            # Another one was opened meanwhile, or the last user has left.
            connection.abort()
            return
        self._is_identified = False
        self._keep(connection)

    def _keep(self, connection):
        self._connection = connection
        self._refresh_at = connection.idle_deadline
        if not connection.requests and self._reuse_time is not None:
            self._refresh_at = boottime_clock() + self._reuse_time
        # Whenever its peer ends it, it is lost.
        connection.idle_deadline = math.inf

    async def _probe(self, connection):
        """Send a probe; keep the connection if it can carry another one."""
        is_last = not self._echoes
        is_identified = self._is_identified
        if is_last:
            # While no other connection is open, nothing shows that those of the answers
            # under way are lost together.
            self._reopen_at = -math.inf
            await self._open()
        sent_at = monotonic()
        self._probed = connection
        response = await self._prober.send_refused(
            connection, address=self._placement.address, service=self._service
        )
        is_own_close = self._probed is not connection
        self._probed = None
        if response is None or not response.is_answer:
            if not connection.is_open and not is_own_close:
                self._pool.losses.record(self._placement.address, now=monotonic())
            connection.abort()
            return response
        is_identified |= response.endpoint_id == self._placement.endpoint_id
        self._last_proof = _Proof(
            connection=connection,
            sent_at=sent_at,
            is_identified=is_identified,
        )
        self._echoes = response.leaves_reusable
        self._reuse_time = connection.reuse_time
        if is_last or not self._echoes or not connection.reusable:
            self._spend(connection)
        elif self._connection is not connection:
            connection.abort()
        elif connection.release(idle_since=self._pool.earliest_arrival()):
            self._is_identified = is_identified
            self._keep(connection)
        return response

    def _spend(self, connection):
        """Open another connection in place of one that carries no other probe.

        It stays open for a while if its endpoint hasn't announced its close.
        """
        if connection.release(idle_since=self._pool.earliest_arrival()):
            connection.idle_deadline = math.inf
        # Answers that ended before the probe may still need it to be open.
        closing = self._close_spent(connection)
        self._spent[connection] = asyncio.get_running_loop().create_task(closing)
        if self._connection is connection:
            self._connection = None
            self._reopen_at = -math.inf
            self._must_open.set()

    async def _close_spent(self, connection):
        """Close a connection once answers that need it to be open had time for it."""
        try:
            with contextlib.suppress(TimeoutError):
                async with StallTolerantTimeout(SPENT_TIME):
                    await asyncio.get_running_loop().create_future()
        finally:
            del self._spent[connection]
            connection.abort()

    async def _check_health(self, connection):
        """Return whether the endpoint says its id, None if it doesn't answer."""
        can_answer = self._prober.has_health_path(self._service)
        is_usable = connection.is_open and connection.reusable and self._echoes
        if not can_answer or not is_usable:
            return None
        response = await self._prober.send_health_check(
            connection,
            address=self._placement.address,
            service=self._service,
            endpoint_id=self._placement.endpoint_id,
        )
        connection.abort()
        if response is None:
            return None
        if response.is_misdirected:
            return False
        if response.endpoint_id is None:
            return None
        return response.endpoint_id == self._placement.endpoint_id


def _key(placement):
    return placement.endpoint_id, placement.incarnation
