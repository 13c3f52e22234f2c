"""Request handling: the checks in their order, and the final response."""

import asyncio
import contextlib
import traceback

from hawthornspoke.base import monotonic
from hawthornspoke.catalog import choose_service
from hawthornspoke.fields import parse_digits
from hawthornspoke.httpio import HEAD_METHOD, CallerGone, EndCause, RequestEnd
from hawthornspoke.quarantine import RequestTraits, features_of, parse_prompt_parts
from hawthornspoke.relay._admission import CALLER_LEFT, UNCONFIRMED_RETRY_AFTER
from hawthornspoke.relay._caller_retries import CallerRetryDetector
from hawthornspoke.relay._context import RequestContext
from hawthornspoke.relay._deadlines import RequestDeadlines
from hawthornspoke.relay._ends import failure_end, own_failure_end
from hawthornspoke.relay._refusal import Refusal
from hawthornspoke.relay._shutdown import SHUTDOWN_RETRY_AFTER
from hawthornspoke.relay._suspects import QUARANTINED, SUSPECTED
from hawthornspoke.shutdown import STOPPING

#: Retry-After in seconds until the evidence against requests that crash endpoints has
#: been read.
EVIDENCE_RETRY_AFTER = 0.2

#: Retry-After in seconds if this host has no memory for the body; requests that run
#: end within this, and the retry may reach another host.
MEMORY_RETRY_AFTER = 0.3

#: Retry-After in seconds after a fault of this host; the retry may reach another one.
FAILURE_RETRY_AFTER = 0.3


class Handler:
    """Authenticates, authorises and forwards requests, and responds to callers.

    Parameters
    ----------
    forwarder : Forwarder
    admission : Admission
    timers : Timers
    suspects : PoisonRequestTracker
    shutdown : Shutdown
    header_names : HeaderNames
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "refusing",
        "_forwarder",
        "_admission",
        "_timers",
        "_suspects",
        "_shutdown",
        "_header_names",
        "_log",
        "_metrics",
        "_caller_retries",
        "_deadlines",
        "_has_logged_malformed",
        "_timeouts",
    )

    def __init__(
        self,
        *,
        forwarder,
        admission,
        timers,
        suspects,
        shutdown,
        header_names,
        log,
        metrics,
    ):
        self.refusing = False
        self._forwarder = forwarder
        self._admission = admission
        self._timers = timers
        self._suspects = suspects
        self._shutdown = shutdown
        self._header_names = header_names
        self._log = log
        self._metrics = metrics
        self._caller_retries = CallerRetryDetector()
        self._deadlines = RequestDeadlines(
            header_names=header_names,
            caller_retries=self._caller_retries,
            clock=admission.clock,
        )
        self._has_logged_malformed = False
        # Of the requests that wait for their turn, or are being forwarded.
        self._timeouts = set()

    @property
    def catalog(self):
        """The active configuration, None before the first one is read."""
        return self._admission.catalog

    def dump_caller_retries(self):
        """Return the state of the recognition of repeated requests as plain data."""
        return self._caller_retries.dump()

    def set_catalog(self, catalog):
        """Activate a configuration."""
        self._admission.set_catalog(catalog)

    def begin_shutdown(self, deadline):
        """End all requests by a deadline, and refuse those that would end later.

        Parameters
        ----------
        deadline : float
            On the clock of request deadlines.
        """
        self._shutdown.begin(deadline)
        for timeout in self._timeouts:
            timeout.bring_forward(deadline)

    async def __call__(self, request, reply):
        """Handle one request."""
        context = RequestContext(
            request=request,
            reply=reply,
            request_id=request.get(self._header_names.request_id, ""),
        )
        try:
            await self._handle(context)
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                self._record_interruption(context)
                raise
            self._answer_failure(context, error)
        except CallerGone:
            self._record_interruption(context)
        except Exception as error:
            self._answer_failure(context, error)
        finally:
            self._record_request(context)

    async def _handle(self, context):
        refusal = self._admit(context)
        if refusal is not None and refusal.reason == SUSPECTED.code:
            if await self._claim_turn(context):
                context.rejection = None
                refusal = self._admit(context)
        if refusal is not None:
            self._refuse(context, refusal)
            return
        await self._forward(context)
        response = context.last_response
        if context.outcome == "answered" or response is not None:
            self._suspects.record_answered(
                context.features, is_success=context.outcome == "answered"
            )
        has_begun = context.reply.started or context.reply.finished
        if response is not None and not has_begun:
            await self._send_last_response(context)

    async def _claim_turn(self, context):
        """Return whether an agent has decided on a turn before the deadline."""
        try:
            async with self._ended_by(self._deadlines.deadline(context)):
                return await self._suspects.claim_turn(context.features)
        except TimeoutError:
            return False

    def _admit(self, context):
        """Return a Refusal, None if the request may be forwarded."""
        if self.catalog is None:
            return _unavailable(
                "no_configuration", EndCause.CONFIGURATION, UNCONFIRMED_RETRY_AFTER
            )
        if not self._suspects.is_informed:
            return _unavailable(
                "evidence_unread", EndCause.CONFIGURATION, EVIDENCE_RETRY_AFTER
            )
        if self.refusing:
            return _unavailable("stopping", EndCause.SHUTDOWN, SHUTDOWN_RETRY_AFTER)
        refusal = self._admission.identify(context)
        if refusal is not None:
            return refusal
        account = context.reply.account
        if context.request.lacks_memory or (
            account is not None and not account.admits_request()
        ):
            return _unavailable("memory", EndCause.MEMORY, MEMORY_RETRY_AFTER)
        self._set_features(context)
        failure = self._suspects.refusal(context.features)
        if failure is not None:
            context.rejection = failure
            return _unavailable(failure.code, EndCause.CALLER, failure.retry_after)
        context.service = choose_service(context.route, context.request_id)
        self._deadlines.set(context)
        if context.deadline <= self._admission.clock():
            return _unavailable("no_time", EndCause.DEADLINE)
        return None

    def _set_features(self, context):
        request, organisation = context.request, context.organisation
        header = request.get(self._header_names.prompt_parts, "")
        prompt_parts = parse_prompt_parts(header)
        traits = RequestTraits(
            organisation=organisation.name if organisation else "",
            method=request.method,
            host=request.get("host", ""),
            target=request.target,
            body=request.body,
            prompt_parts=prompt_parts,
        )
        # A request that waits for its turn is admitted again.
        is_first = not context.features
        context.features = features_of(traits)
        context.fingerprint = context.features[0]
        if is_first and prompt_parts.malformed_count:
            self._record_malformed(context, prompt_parts.malformed_count)

    def _record_malformed(self, context, malformed):
        self._metrics.count("malformed_prompt_parts_total", malformed)
        if not self._has_logged_malformed:
            self._has_logged_malformed = True
            self._log.change(
                "prompt_parts_malformed",
                request=context.request_id,
                route=context.route.name,
                parts=malformed,
            )

    @contextlib.asynccontextmanager
    async def _ended_by(self, deadline):
        """Raise TimeoutError at a deadline, or that of this host's shutdown."""
        timeout = self._timers.until(min(deadline, self._shutdown.deadline))
        self._timeouts.add(timeout)
        try:
            async with timeout:
                yield
        finally:
            self._timeouts.discard(timeout)

    async def _forward(self, context):
        try:
            async with self._ended_by(context.deadline):
                await self._forwarder.run(context)
        except TimeoutError:
            self._fail_overdue(context)
            return
        if context.rejection == CALLER_LEFT:
            context.reply.declared_end = RequestEnd.CALLER_LEFT
            self._record_interruption(context)
            context.reply.abort()
            return
        if context.reply.started:
            if not context.reply.is_whole:
                context.reply.declared_end = failure_end(context, timed_out=False)
            return
        if context.last_response is not None:
            return
        self._fail(context, timed_out=self._admission.clock() >= context.deadline)

    async def _send_last_response(self, context):
        response = context.last_response
        context.first_byte_at = monotonic()
        headers = self._forwarder.response_headers(response)
        context.reply.declared_end = RequestEnd.ANSWERED
        if context.request.method == HEAD_METHOD:
            length = parse_digits(response.get("content-length", ""))
            context.reply.send_head(response.status, headers, length=length)
        elif response.parts:
            await context.reply.send_parts(response.status, headers, response.parts)
        else:
            context.reply.send(response.status, headers, response.body)
        if context.outcome != "answered":
            context.outcome = f"endpoint_{response.status}"

    def _fail_overdue(self, context):
        """End a request whose deadline, or that of this host's shutdown, has passed."""
        is_overdue = self._admission.clock() >= context.deadline
        if is_overdue:
            context.last_reason = context.last_reason or "deadline"
        else:
            context.rejection = STOPPING
            context.retry_after = SHUTDOWN_RETRY_AFTER
            context.last_reason = STOPPING.code
        self._fail(context, timed_out=is_overdue)

    def _fail(self, context, *, timed_out):
        context.reply.declared_end = failure_end(context, timed_out=timed_out)
        if context.reply.started:
            context.reply.abort()
            context.outcome = "cut"
        elif context.may_have_run:
            self._send_error(
                context, 504 if timed_out else 502, context.last_reason, None
            )
        else:
            self._send_error(
                context, 503, context.last_reason, context.retry_after or 0.5
            )

    def _refuse(self, context, refusal):
        context.reply.declared_end = refusal.end
        self._send_error(context, refusal.status, refusal.reason, refusal.retry_after)

    def _send_error(self, context, status, reason, retry_after):
        headers = []
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after:g}"))
        if context.request_id:
            headers.append((self._header_names.request_id, context.request_id))
        context.outcome = f"refused_{status}"
        context.last_reason = reason
        context.retry_after = retry_after
        if retry_after is not None:
            self._caller_retries.record_refusal(self._admission.clock())
        context.reply.send(status, headers)

    def _answer_failure(self, context, error):
        """Log a fault of this host, and answer the request as well as possible."""
        frames = traceback.extract_tb(error.__traceback__)
        self._log.change(
            "handler_failed",
            request=context.request_id,
            route=context.route.name if context.route else "",
            service=context.service,
            error=repr(error),
            at=[f"{frame.name}:{frame.lineno}" for frame in frames[-3:]],
            sent=context.sent,
            may_have_run=context.may_have_run,
        )
        self._metrics.count("handler_failures_total")
        if context.reply.finished:
            return
        context.reply.declared_end = own_failure_end(context)
        if context.reply.started:
            context.reply.abort()
            context.outcome, context.last_reason = "cut", "handler_failed"
        elif context.may_have_run:
            self._send_error(context, 502, "handler_failed", None)
        else:
            self._send_error(context, 503, "handler_failed", FAILURE_RETRY_AFTER)

    def _record_interruption(self, context):
        """Record that the connection ended before the response was whole."""
        context.outcome = str(context.reply.end.kind)
        if context.reply.close_reason is not None:
            context.last_reason = str(context.reply.close_reason)

    def _is_on_time(self, context, first_byte_delay):
        if context.outcome != "answered" or first_byte_delay is None:
            return False
        return (
            context.request.boottime_arrived_at + first_byte_delay
            <= context.objective_deadline
        )

    def _record_request(self, context):
        now = monotonic()
        route = context.route.name if context.route else ""
        outcome = context.outcome
        self._metrics.count("requests_total", outcome=outcome)
        elapsed = now - context.request.arrived_at
        self._metrics.observe("request_seconds", elapsed, outcome=outcome)
        first_byte_delay = None
        if context.first_byte_at is not None:
            first_byte_delay = round(
                context.first_byte_at - context.request.arrived_at, 4
            )
            self._metrics.observe("first_byte_seconds", first_byte_delay)
        write = self._log.decision if outcome == "answered" else self._log.change
        write(
            "request",
            request=context.request_id,
            fingerprint=context.fingerprint,
            route=route,
            service=context.service,
            organisation=context.organisation.name if context.organisation else None,
            revision=self.catalog.revision if self.catalog else None,
            contact_age=self._admission.contact_age(),
            returned=context.is_caller_retry,
            endpoints=context.tried,
            first_byte=first_byte_delay,
            on_time=self._is_on_time(context, first_byte_delay),
            sent=context.sent,
            resumed=context.resumed,
            outcome=outcome,
            cause=context.reply.end.cause,
            reason=context.last_reason,
            blamed=_blamed_features(context),
            retry_after=context.retry_after,
            seconds=round(elapsed, 4),
        )


def _unavailable(reason, cause, retry_after=None):
    return Refusal(status=503, reason=reason, cause=cause, retry_after=retry_after)


def _blamed_features(context):
    """Return the features for which a request was refused, None if it wasn't."""
    rejection = context.rejection
    if rejection is None or rejection.code not in (QUARANTINED.code, SUSPECTED.code):
        return None
    return rejection.reason
