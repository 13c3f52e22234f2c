"""Forwarding: choose an endpoint, try it, try another where that is allowed."""

from hawthornspoke.base import Failure
from hawthornspoke.catalog import STREAM
from hawthornspoke.relay._choosing import Chooser
from hawthornspoke.relay._encoding import Encoder
from hawthornspoke.relay._sending import Sender
from hawthornspoke.relay._streams import LEAST_PATIENCE, SUCCESS, Streams
from hawthornspoke.relay._try import NOT_RUN

#: Times the expected time to the first token that an endpoint is waited for.
PATIENCE = 3.0

#: Part of the time that a plain service's request has, spent at one endpoint
#: before a repeatable one is tried elsewhere.
PLAIN_PATIENCE_SHARE = 0.45


class Forwarder:
    """Runs the tries of requests.

    Parameters
    ----------
    admission : Admission
    timers : Timers
    fleet : Fleet
    pool : ConnectionPool
    dialect : Dialect
    budget_for : callable
        Returns the RetryBudget of a service.
    suspects : Suspects
    log : EventLog
    """

    __slots__ = (
        "_admission",
        "_dialect",
        "_log",
        "_encoder",
        "_chooser",
        "_sender",
        "_streams",
    )

    def __init__(
        self, *, admission, timers, fleet, pool, dialect, budget_for, suspects, log
    ):
        self._admission = admission
        self._dialect = dialect
        self._log = log
        self._encoder = Encoder(dialect=dialect, clock=admission.clock)
        self._chooser = Chooser(
            clock=admission.clock, fleet=fleet, budget_for=budget_for, log=log
        )
        self._sender = Sender(
            admission=admission,
            timers=timers,
            chooser=self._chooser,
            encoder=self._encoder,
            fleet=fleet,
            pool=pool,
            dialect=dialect,
            suspects=suspects,
            log=log,
        )
        self._streams = Streams(
            chooser=self._chooser,
            sender=self._sender,
            encoder=self._encoder,
            dialect=dialect,
        )

    async def run(self, work):
        """Try until the request is answered or given up.

        Parameters
        ----------
        work : Work
            Says afterwards what happened. A whole answer is left in
            ``last_response``; a stream has been passed on.
        """
        connects = 0
        while True:
            place = self._chooser.choose(work, connects)
            if place is None:
                return
            attempt = self._sender.attempt_at(work, place)
            connects += 1
            try:
                if await self._try(work, attempt):
                    return
                self._log.change(
                    "try_failed",
                    request=work.request_id,
                    endpoint=place.endpoint_id,
                    reason=work.last_reason,
                    may_have_run=work.may_have_run,
                )
                await self._sender.settle(work)
            finally:
                # Reached with an open connection only if the task was cancelled:
                # the caller left, or the request's time is over.
                attempt.leave()

    async def _try(self, work, attempt):
        """Return whether the request needs no further try."""
        ran_before = work.may_have_run
        failure = await self._sender.send(work, attempt)
        if failure is not None:
            work.last_reason = f"{failure.code}: {failure.reason}"
            return False
        head = await attempt.read_head(patience=self._patience(work, attempt.place))
        if isinstance(head, Failure):
            work.last_reason = f"{head.code}: {head.reason}"
            work.may_have_run = ran_before or head != NOT_RUN
            return False
        if head.status in SUCCESS and head.get(self._dialect.seal) is None:
            # No endpoint of ours: bytes of something else at that address.
            attempt.fail()
            work.last_reason = "an answer without a seal"
            return False
        if work.route.kind == STREAM and head.status in SUCCESS:
            return await self._streams.pass_on(work, attempt, head)
        return await self._take_whole(work, attempt)

    async def _take_whole(self, work, attempt):
        patience = work.deadline - self._admission.clock()
        answer = await attempt.read_whole(patience=patience)
        if isinstance(answer, Failure):
            work.last_reason = f"{answer.code}: {answer.reason}"
            return False
        well = answer.status in SUCCESS
        attempt.done(well=well)
        work.last_response = answer
        if well:
            self._chooser.succeeded(work)
            return True
        work.last_reason = f"endpoint answered {answer.status}"
        return not (work.route.repeatable and answer.status >= 500)

    def _patience(self, work, place):
        left = work.deadline - self._admission.clock()
        if not work.route.repeatable:
            return max(0.0, left)
        if work.route.kind == STREAM:
            wanted = max(LEAST_PATIENCE, PATIENCE * place.expected)
        else:
            wanted = left * PLAIN_PATIENCE_SHARE if work.sent == 1 else left
        return max(0.0, min(left, wanted))

    def answer_headers(self, response):
        """Return the fields of an endpoint's answer that callers get."""
        return self._encoder.answer_headers(response)
