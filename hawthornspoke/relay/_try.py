"""One try at one endpoint: connect, send, read the head."""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.httpio import BROKEN
from hawthornspoke.placing import Finished, LoadSeen, Sent

#: Statuses by which an endpoint may say that it has not run a request.
MISDIRECTED = 421

UNREACHABLE = Failure(code="unreachable")
CONNECTION_LOST = Failure(code="connection_lost")
NOT_RUN = Failure(code="not_run")
MAY_HAVE_RUN = Failure(code="may_have_run")
SILENT = Failure(code="silent")
WITHDRAWN = Failure(code="withdrawn")


class Attempt:
    """A request at one endpoint, from the connection to its end.

    Parameters
    ----------
    place : Place
    pool : ConnectionPool
    fleet : Fleet
    dialect : Dialect
    timers : Timers
    on_broken : callable
        Called with the try if the endpoint broke off its connection.
    on_ended : callable
        Called with the try when it is over.
    """

    __slots__ = (
        "place",
        "connection",
        "exchange",
        "head",
        "sent_at",
        "_pool",
        "_fleet",
        "_dialect",
        "_timers",
        "_on_broken",
        "_on_ended",
        "_ended",
    )

    def __init__(self, *, place, pool, fleet, dialect, timers, on_broken, on_ended):
        self.place = place
        self.connection = None
        self.exchange = None
        self.head = None
        self.sent_at = None
        self._pool = pool
        self._fleet = fleet
        self._dialect = dialect
        self._timers = timers
        self._on_broken = on_broken
        self._on_ended = on_ended
        self._ended = False

    async def connect(self):
        """Get a connection.

        Returns
        -------
        None or Failure
            ``UNREACHABLE`` if no byte of the request has left.
        """
        connection = await self._pool.acquire(
            self.place.endpoint_id, self.place.address, start=self.place.incarnation
        )
        if isinstance(connection, Failure):
            self._end("unreachable")
            return UNREACHABLE.because(connection.reason)
        self.connection = connection
        return None

    def send(self, data, *, expected_id, prompt_tokens=0):
        """Send the request.

        Parameters
        ----------
        data : bytes
        expected_id : str
        prompt_tokens : int, default=0

        Returns
        -------
        None or Failure
            ``CONNECTION_LOST`` if no byte of the request has left.
        """
        if self.connection.has_ended():
            # It was closed after it was there, and this task goes on only now. Bytes
            # written to it would count as sent.
            self.abort()
            return CONNECTION_LOST
        self.sent_at = monotonic()
        self.exchange = self.connection.send(data, expected_id=expected_id)
        self._notify_fleet(
            Sent(
                endpoint_id=self.place.endpoint_id,
                incarnation=self.place.incarnation,
                prompt_tokens=prompt_tokens,
            )
        )
        return None

    async def read_head(self, *, response_timeout):
        """Wait for the head of the answer.

        Parameters
        ----------
        response_timeout : float
            Seconds of silence after which the endpoint is given up.

        Returns
        -------
        Response or Failure
            ``NOT_RUN`` is a promise; the other failures are none.
        """
        # Silence is judged on the steady clock: a host that was suspended could hear
        # nothing, and has to give an endpoint time to send again.
        deadline = self._timers.until(self._withdrawal_time())
        try:
            async with deadline, asyncio.timeout(response_timeout):
                head = await self.exchange.read_head()
        except TimeoutError:
            if deadline.expired():
                return self._withdraw()
            self._end("silent")
            self.abort()
            return SILENT.because(f"no answer in {response_timeout:.3f} s")
        if isinstance(head, Failure):
            self.fail()
            return MAY_HAVE_RUN.because(f"{head.code}: {head.reason}")
        self.head = head
        self._record_load(head)
        if head.status == MISDIRECTED or head.get(self._dialect.not_run) is not None:
            return await self._handle_refusal(head)
        return head

    def _withdrawal_time(self):
        """Return when the request must have begun, None if there is no such time."""
        if self.place.begin_deadline is None:
            return None
        # The place was looked at just before the send, on the steady clock.
        return self._timers.clock() + self.place.begin_deadline - monotonic()

    def _withdraw(self):
        # That the request begins in time was expected when it was sent. An engine
        # that a dozen entry hosts fill at once begins it a second later, on weights
        # that are then too old; an engine drops what it has not begun when the
        # connection closes. It is no fault of the engine's.
        self._end("left")
        self.abort()
        version = self.place.weights_version
        return WITHDRAWN.because(f"not begun before version {version} is too old")

    async def read_whole(self, *, response_timeout):
        """Read the body of an answer that is passed on as a whole."""
        try:
            async with asyncio.timeout(response_timeout):
                answer = await self.exchange.read_whole()
        except TimeoutError:
            self.fail()
            return SILENT.because(f"no whole answer in {response_timeout:.3f} s")
        if isinstance(answer, Failure):
            self.fail()
            return MAY_HAVE_RUN.because(f"{answer.code}: {answer.reason}")
        return answer

    def done(self, *, is_success):
        """The answer is complete; the connection can be used again."""
        seconds = monotonic() - self.sent_at
        self._end(
            "done" if is_success else "failed", seconds=seconds if is_success else None
        )
        self._release()

    def fail(self):
        """The endpoint broke off or is silent."""
        self._end("failed")
        self.abort()

    def abandon(self):
        """The caller is gone: the endpoint drops what it has of the request."""
        self._end("left")
        self.abort()

    def withdraw(self, failure):
        """Take the request back; whoever waits for its answer gets a failure.

        Parameters
        ----------
        failure : Failure
        """
        self._end("left")
        self.exchange.end(failure)
        self.abort()

    def abort(self):
        """Close the connection, if there still is one."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    async def _handle_refusal(self, head):
        # The body is read so that the connection can be used again: a full engine
        # refuses many, and a new connection for each costs it more than a refusal.
        moved = False
        if head.status == MISDIRECTED:
            reported = head.get(self._dialect.endpoint_id)
            moved = reported is not None and reported != self.place.endpoint_id
        body = await self.exchange.read_whole()
        self._end("moved" if moved else "refused")
        if isinstance(body, Failure) or moved:
            self.abort()
        else:
            self._release()
        return NOT_RUN.because(f"status {head.status}")

    def _release(self):
        place = self.place
        self._pool.put_back(place.endpoint_id, self.connection, start=place.incarnation)
        self.connection = None

    def _record_load(self, head):
        load = head.get(self._dialect.load, "")
        parts = load.split(",")
        if len(parts) == 3 and parts[0].isdigit() and parts[1].isdigit():
            reported = int(parts[0]) + int(parts[1])
            self._notify_fleet(
                LoadSeen(
                    endpoint_id=self.place.endpoint_id,
                    load=reported,
                    incarnation=self.place.incarnation,
                )
            )

    def _end(self, outcome, *, seconds=None):
        if self._ended:
            return
        self._ended = True
        self._on_ended(self)
        if outcome == "failed" and self.exchange.failure == BROKEN:
            self._on_broken(self)
        if outcome == "unreachable" or self.sent_at is not None:
            self._notify_fleet(
                Finished(
                    endpoint_id=self.place.endpoint_id,
                    outcome=outcome,
                    seconds=seconds,
                    incarnation=self.place.incarnation,
                )
            )

    def _notify_fleet(self, message):
        self._fleet.step(message, now=monotonic())
