"""Forwarding: choose an endpoint, try it, try another where that is allowed."""

from hawthornspoke.base import Failure
from hawthornspoke.catalog import STREAM
from hawthornspoke.relay._choosing import EndpointSelector
from hawthornspoke.relay._encoding import Encoder
from hawthornspoke.relay._sending import Sender
from hawthornspoke.relay._streams import (
    MIN_RESPONSE_TIMEOUT,
    SUCCESS,
    StreamForwarder,
)
from hawthornspoke.relay._try import NOT_RUN

#: Times the expected time to the first token that an endpoint is waited for.
EXPECTED_TIME_FACTOR = 3.0

#: Part of the time that a plain service's request has, spent at one endpoint
#: before a repeatable one is tried elsewhere.
PLAIN_TIMEOUT_SHARE = 0.45


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
        "_selector",
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
        self._selector = EndpointSelector(
            clock=admission.clock, fleet=fleet, budget_for=budget_for, log=log
        )
        self._sender = Sender(
            admission=admission,
            timers=timers,
            selector=self._selector,
            encoder=self._encoder,
            fleet=fleet,
            pool=pool,
            dialect=dialect,
            suspects=suspects,
            log=log,
        )
        self._streams = StreamForwarder(
            selector=self._selector,
            sender=self._sender,
            encoder=self._encoder,
            dialect=dialect,
        )

    async def run(self, context):
        """Try until the request is answered or given up.

        Parameters
        ----------
        context : RequestContext
            Says afterwards what happened. A whole answer is left in
            ``last_response``; a stream has been passed on.
        """
        connection_attempts = 0
        while True:
            place = self._selector.select(context, connection_attempts)
            if place is None:
                return
            attempt = self._sender.create_attempt(context, place)
            connection_attempts += 1
            try:
                if await self._try(context, attempt):
                    return
                self._log.change(
                    "try_failed",
                    request=context.request_id,
                    endpoint=place.endpoint_id,
                    reason=context.last_reason,
                    may_have_run=context.may_have_run,
                )
                await self._sender.wait_for_probes(context)
            finally:
                # Reached with an open connection only if the task was cancelled:
                # the caller left, or the request's time is over.
                attempt.abandon()

    async def _try(self, context, attempt):
        """Return whether the request needs no further try."""
        may_have_run_before = context.may_have_run
        failure = await self._sender.send(context, attempt)
        if failure is not None:
            context.last_reason = f"{failure.code}: {failure.reason}"
            return False
        head = await attempt.read_head(
            response_timeout=self._response_timeout(context, attempt.place)
        )
        if isinstance(head, Failure):
            context.last_reason = f"{head.code}: {head.reason}"
            context.may_have_run = may_have_run_before or head != NOT_RUN
            return False
        if head.status in SUCCESS and head.get(self._dialect.seal) is None:
            # No endpoint of ours: bytes of something else at that address.
            attempt.fail()
            context.last_reason = "an answer without a seal"
            return False
        if context.route.kind == STREAM and head.status in SUCCESS:
            return await self._streams.forward(context, attempt, head)
        return await self._read_whole(context, attempt)

    async def _read_whole(self, context, attempt):
        response_timeout = context.deadline - self._admission.clock()
        answer = await attempt.read_whole(response_timeout=response_timeout)
        if isinstance(answer, Failure):
            context.last_reason = f"{answer.code}: {answer.reason}"
            return False
        is_success = answer.status in SUCCESS
        attempt.done(is_success=is_success)
        context.last_response = answer
        if is_success:
            self._selector.record_success(context)
            return True
        context.last_reason = f"endpoint answered {answer.status}"
        return not (context.route.repeatable and answer.status >= 500)

    def _response_timeout(self, context, place):
        remaining = context.deadline - self._admission.clock()
        if not context.route.repeatable:
            return max(0.0, remaining)
        if context.route.kind == STREAM:
            desired = max(MIN_RESPONSE_TIMEOUT, EXPECTED_TIME_FACTOR * place.expected)
        else:
            desired = (
                remaining * PLAIN_TIMEOUT_SHARE if context.sent == 1 else remaining
            )
        return max(0.0, min(remaining, desired))

    def response_headers(self, response):
        """Return the fields of an endpoint's answer that callers get."""
        return self._encoder.response_headers(response)
