"""One attempt at one endpoint: connect, send, read the response head."""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.httpio import CONNECTION_BROKEN, TOO_LARGE
from hawthornspoke.placing import (
    EndpointResponded,
    EndpointSilent,
    RequestFinished,
    RequestSent,
)
from hawthornspoke.relay._reading import SUCCESS_STATUSES

#: Response status if the request was meant for another endpoint and was not run.
MISDIRECTED = 421

UNREACHABLE = Failure(code="unreachable")
CONNECTION_LOST = Failure(code="connection_lost")
NOT_RUN = Failure(code="not_run")
MAY_HAVE_RUN = Failure(code="may_have_run")
WITHDRAWN = Failure(code="withdrawn")


class Attempt:
    """An attempt to run a request at one endpoint, from connecting to completion.

    Parameters
    ----------
    placement : Placement
    pool : ConnectionPool
    fleet : Fleet
    header_names : HeaderNames
    timers : Timers
    on_head : callable
        Called with the attempt when the response head has arrived.
    on_broken : callable
        Called with the attempt if the endpoint closed the connection before the end of
        the response.
    on_ended : callable
        Called with the attempt when it has ended.
    on_trust_changed : callable
        Called with an EndpointEjected or EndpointReadmitted if the attempt causes it.
    verify_end : callable
        Coroutine function that is called with the attempt when an answer without a
        length or chunks has ended, and returns whether it counts as whole.
    account : MemoryAccount or None, default=None
        Of the caller.

    Attributes
    ----------
    expected_seconds : float
        How long it is expected to run.
    sent_at : float or None
        When the request was sent, on the monotonic clock; None if nothing was.
    head_at : float or None
        When the response head arrived, on the monotonic clock.
    has_events : bool
        Whether a complete event of a stream has arrived in this attempt.
    is_silent : bool
        Whether the endpoint has sent nothing for too long.
    probe_lease : ProbeLease or None
        Keeps another connection to the endpoint open.
    """

    __slots__ = (
        "placement",
        "connection",
        "exchange",
        "head",
        "expected_seconds",
        "sent_at",
        "head_at",
        "has_events",
        "is_silent",
        "probe_lease",
        "_pool",
        "_fleet",
        "_header_names",
        "_timers",
        "_on_head",
        "_on_broken",
        "_on_ended",
        "_on_trust_changed",
        "_verify_end",
        "_account",
        "_tokens",
        "_ended",
        "_is_cut_short",
        "_answer",
        "_verification",
        "_withdrawal_deadline",
    )

    def __init__(
        self,
        *,
        placement,
        pool,
        fleet,
        header_names,
        timers,
        on_head,
        on_broken,
        on_ended,
        on_trust_changed,
        verify_end,
        account=None,
    ):
        self.placement = placement
        self.connection = None
        self.exchange = None
        self.head = None
        self.expected_seconds = 0.0
        self.sent_at = None
        self.head_at = None
        self.has_events = False
        self.is_silent = False
        self.probe_lease = None
        self._pool = pool
        self._fleet = fleet
        self._header_names = header_names
        self._timers = timers
        self._on_head = on_head
        self._on_broken = on_broken
        self._on_ended = on_ended
        self._on_trust_changed = on_trust_changed
        self._verify_end = verify_end
        self._account = account
        self._tokens = 0
        self._ended = False
        self._is_cut_short = False
        self._answer = None
        self._verification = None
        self._withdrawal_deadline = None

    @property
    def is_broken(self):
        """Whether the endpoint closed the connection before the end of the response."""
        if self._is_cut_short:
            return True
        return self.exchange is not None and self.exchange.failure == CONNECTION_BROKEN

    def is_beginning(self, seconds):
        """Return whether the endpoint was just beginning to answer.

        Parameters
        ----------
        seconds : float
            Since the response head, if a stream has had an event.

        Returns
        -------
        bool
        """
        if self.head_at is None:
            return False
        return not self.has_events or monotonic() < self.head_at + seconds

    async def connect(self, *, fresh=False):
        """Acquire a connection from the pool.

        Parameters
        ----------
        fresh : bool, default=False
            Whether to always open a new connection.

        Returns
        -------
        None or Failure
            ``UNREACHABLE`` if the connection failed; nothing was sent.
        """
        connection = await self._pool.acquire(
            self.placement.endpoint_id,
            self.placement.address,
            incarnation=self.placement.incarnation,
            fresh=fresh,
        )
        if isinstance(connection, Failure):
            self._end("unreachable")
            return UNREACHABLE.with_reason(connection.reason)
        self.connection = connection
        return None

    def send(
        self, data, *, expected_id, prompt_tokens=0, answer_tokens=0, is_bodiless=False
    ):
        """Send the request.

        Parameters
        ----------
        data : bytes
        expected_id : str
            Request id that the response has to echo.
        prompt_tokens, answer_tokens : int, default=0
        is_bodiless : bool, default=False
            Whether the response ends with its head, as that to a HEAD request.

        Returns
        -------
        None or Failure
            ``CONNECTION_LOST`` if the connection had ended; nothing was sent.
        """
        if self.connection.is_socket_closed():
            # The connection was closed between its acquisition and this write. Bytes
            # written to it would be lost, but the request would count as sent.
            self.abort()
            return CONNECTION_LOST
        self.sent_at = monotonic()
        self._withdrawal_deadline = self._withdrawal_time()
        self.exchange = self.connection.send(
            data,
            expected_id=expected_id,
            account=self._account,
            is_bodiless=is_bodiless,
        )
        self._tokens = prompt_tokens + answer_tokens
        self._notify_fleet(
            RequestSent(
                endpoint_id=self.placement.endpoint_id,
                incarnation=self.placement.incarnation,
                prompt_tokens=prompt_tokens,
                answer_tokens=answer_tokens,
            )
        )
        return None

    async def read_head(self):
        """Wait for the response head.

        Returns
        -------
        Response or Failure
            Only ``NOT_RUN`` guarantees that the endpoint did not run the request.
        """
        try:
            async with self._timers.until(self._withdrawal_deadline):
                await self.exchange.read_head()
        except TimeoutError:
            # If this process stood still, the head may have arrived with the timeout.
            if not self.exchange.has_head_or_failure:
                return self._withdraw_unstarted()
        head = await self.exchange.read_head()
        if isinstance(head, Failure):
            self.fail()
            return MAY_HAVE_RUN.with_reason(f"{head.code}: {head.reason}")
        self.head = head
        self.head_at = monotonic()
        self.record_response()
        self._on_head(self)
        if self._is_refusal(head):
            return self._handle_refusal(head)
        # A slow caller may read the end long after it has arrived.
        self.exchange.on_end = self._verify_early
        if self.exchange.has_ended:
            self._verify_early()
        return head

    def _is_refusal(self, head):
        """Return whether a response proves that the request was not run."""
        if head.status in SUCCESS_STATUSES:
            # Its status contradicts whatever else it says.
            return False
        is_marked = head.get(self._header_names.not_run) is not None
        return is_marked or head.status == MISDIRECTED

    def _withdrawal_time(self):
        """Return the time by which the request must have started, None if unlimited."""
        if self.placement.start_deadline is None:
            return None
        # The deadline is on the monotonic clock, which stops while the host is
        # suspended; the timers' clock doesn't. The deadline was computed just before
        # sending: without a suspension since, the same time remains on both clocks.
        return self._timers.clock() + self.placement.start_deadline - monotonic()

    def _withdraw_unstarted(self):
        # The request was expected to start in time when it was sent. If a dozen entry
        # hosts send requests to an engine at once, it starts some a second later, on
        # weights that are too old by then. Closing the connection makes the engine drop
        # a request that has not started. This doesn't count as a failure of the engine.
        self._end("left")
        self.abort()
        version = self.placement.weights_version
        return WITHDRAWN.with_reason(
            f"not started before weights version {version} expired"
        )

    async def read_whole(self):
        """Read the body of a response that is not streamed."""
        if self._answer is None:
            answer = await self.exchange.read_whole()
            if isinstance(answer, Failure):
                self.fail()
                return MAY_HAVE_RUN.with_reason(f"{answer.code}: {answer.reason}")
            # This call may be cancelled during the check below, and repeated.
            self._answer = answer
            self.record_response()
        if not await self.has_whole_answer():
            self.cut_short()
            return MAY_HAVE_RUN.with_reason("the end of the answer is not verified")
        return self._answer

    async def has_whole_answer(self):
        """Return whether an answer that has ended counts as whole.

        Without a length and chunks, an answer of an endpoint that crashes ends like a
        whole one.
        """
        if not self.exchange.ended_with_connection:
            return True
        # This call may be cancelled and repeated; the search for a proof goes on.
        self._begin_verification()
        try:
            return await asyncio.shield(self._verification)
        except asyncio.CancelledError:
            is_withdrawn = self._verification.cancelled()
            if asyncio.current_task().cancelling() or not is_withdrawn:
                raise
            return False

    def _verify_early(self):
        if self.exchange.ended_with_connection and not self._ended:
            self._begin_verification()

    def _begin_verification(self):
        if self._verification is None:
            self._verification = asyncio.ensure_future(self._verify_end(self))

    def cut_short(self):
        """End the attempt after an answer that the endpoint left incomplete."""
        self._is_cut_short = True
        self.fail()

    def complete(self, *, is_success):
        """End the attempt after a complete response; release the connection."""
        seconds = monotonic() - self.sent_at
        self._end(
            "done" if is_success else "failed", seconds=seconds if is_success else None
        )
        self._release()

    def fail(self):
        """End the attempt after a broken connection, a timeout or too many bytes."""
        is_oversized = self.exchange is not None and self.exchange.failure == TOO_LARGE
        self._end("oversized" if is_oversized else "failed")
        self.abort()

    def has_unread_data(self):
        """Return whether data of the endpoint waits to be read by this host."""
        return self.connection is not None and self.connection.has_unread_data()

    def record_silence(self):
        """Record that the endpoint is silent; it may still go on."""
        self.is_silent = True
        placement = self.placement
        self._notify_fleet(
            EndpointSilent(
                endpoint_id=placement.endpoint_id, incarnation=placement.incarnation
            )
        )

    def record_response(self):
        """Record that response data has arrived."""
        placement = self.placement
        if placement.endpoint_id in self._fleet.suspected_ids:
            self._notify_fleet(
                EndpointResponded(
                    endpoint_id=placement.endpoint_id, incarnation=placement.incarnation
                )
            )

    def record_progress(self, *, account):
        """Record that the endpoint has sent the next part of the answer.

        Parameters
        ----------
        account : MemoryAccount or None
            Of the caller, for whom no other attempt is under way now.
        """
        self.is_silent = False
        if self._account is not account:
            self._account = account
            self.exchange.move_account(account)
            if self.connection is not None:
                # The other account has forgotten that it paused the connection.
                self.connection.resume_reading()

    def abandon(self):
        """Close the connection, so that the endpoint drops an unfinished request."""
        # An endpoint that has sent data to another request since goes on.
        is_suspected = self.placement.endpoint_id in self._fleet.suspected_ids
        self._end("silent" if self.is_silent and is_suspected else "left")
        self.abort()

    def withdraw(self, failure):
        """Cancel the request; a task waiting for the response gets the failure.

        Parameters
        ----------
        failure : Failure
        """
        self._end("left")
        self.exchange.end(failure)
        self.abort()

    def abort(self):
        """Close the connection if it is still held."""
        self._discard_exchange()
        if self._verification is not None:
            self._verification.cancel()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    def _handle_refusal(self, head):
        moved = False
        if head.status == MISDIRECTED:
            reported = head.get(self._header_names.endpoint_id)
            moved = reported is not None and reported != self.placement.endpoint_id
        self._end("moved" if moved else "refused")
        if moved:
            self.abort()
        else:
            self._drain()
        return NOT_RUN.with_reason(f"status {head.status}")

    def _drain(self):
        # A full engine refuses many requests, and a new connection costs the engine
        # more than a refusal.
        placement, connection = self.placement, self.connection
        if connection is None:
            # The attempt was withdrawn after the refusal had arrived.
            return
        self.connection = None
        self._pool.drain(
            placement.endpoint_id, connection, incarnation=placement.incarnation
        )

    def _discard_exchange(self):
        if self.exchange is not None:
            # A reference cycle would hold what was received until it is collected.
            self.exchange.on_end = None
            self.exchange.discard()

    def _release(self):
        self._discard_exchange()
        if self.connection is None:
            # The attempt was withdrawn after the answer had arrived.
            return
        placement = self.placement
        self._pool.return_connection(
            placement.endpoint_id, self.connection, incarnation=placement.incarnation
        )
        self.connection = None

    def _end(self, outcome, *, seconds=None):
        if self._ended:
            return
        self._ended = True
        self._on_ended(self)
        if outcome == "failed" and self.is_broken:
            self._on_broken(self)
        if outcome == "unreachable" or self.sent_at is not None:
            self._notify_fleet(
                RequestFinished(
                    endpoint_id=self.placement.endpoint_id,
                    outcome=outcome,
                    seconds=seconds,
                    incarnation=self.placement.incarnation,
                    tokens=self._tokens,
                )
            )

    def _notify_fleet(self, message):
        for change in self._fleet.step(message, now=monotonic()):
            self._on_trust_changed(change)
