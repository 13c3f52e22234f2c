"""The filters that a request passes, in order, and its final answer."""

import asyncio

from hawthornspoke.base import monotonic
from hawthornspoke.catalog import choose_share
from hawthornspoke.quarantine import fingerprint_of
from hawthornspoke.relay._admission import CALLER_LEFT, UNINFORMED_RETRY_AFTER
from hawthornspoke.relay._work import Work

#: Milliseconds by which a caller's first deadline varies. One that has less time
#: than others on its route has spent it on an earlier try.
DEADLINE_JITTER_MS = 150

#: Callers' deadlines that are remembered for that: the longest on each route.
ASSUMED_DEADLINE = 30.0

#: Seconds before a stream's caller leaves from which its request is not sent once
#: more. A link that is full delays it by half a second and more, and a
#: first event takes some 0.2 s.
RESEND_TIME = 0.7

#: Seconds after which a caller returns to another host when this one stops.
LEAVING_RETRY_AFTER = 0.05


class Handler:
    """Authenticates, authorises, sets deadlines, forwards, answers.

    Parameters
    ----------
    forwarder : Forwarder
    admission : Admission
    timers : Timers
    suspects : Suspects
    dialect : Dialect
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "refusing",
        "_forwarder",
        "_admission",
        "_timers",
        "_suspects",
        "_dialect",
        "_log",
        "_metrics",
        "_longest_by_route",
    )

    def __init__(
        self, *, forwarder, admission, timers, suspects, dialect, log, metrics
    ):
        self.refusing = False
        self._forwarder = forwarder
        self._admission = admission
        self._timers = timers
        self._suspects = suspects
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._longest_by_route = {}

    @property
    def catalog(self):
        """The configuration in force, None before the first."""
        return self._admission.catalog

    def use(self, catalog):
        """Put a configuration in force."""
        self._admission.use(catalog)

    async def __call__(self, request, reply):
        """Handle one request."""
        work = Work(
            request=request,
            reply=reply,
            request_id=request.get(self._dialect.request_id, ""),
        )
        refusal = self._admit(work)
        try:
            if refusal is not None:
                status, reason, retry_after = refusal
                self._refuse(work, status, reason, retry_after)
            else:
                await self._forward(work)
                if work.outcome == "answered" or work.last_response is not None:
                    self._suspects.answered(work.fingerprint)
        except asyncio.CancelledError:
            work.outcome = "caller_left"
            raise
        finally:
            self._account(work)

    def _admit(self, work):
        """Return (status, reason, retry_after) of a refusal, or None."""
        if self.catalog is None:
            return 503, "no_configuration", UNINFORMED_RETRY_AFTER
        if self.refusing:
            return 503, "stopping", LEAVING_RETRY_AFTER
        refusal = self._admission.identify(work)
        if refusal is not None:
            return refusal
        work.fingerprint = _fingerprint(work)
        failure = self._suspects.refusal(work.fingerprint)
        if failure is not None:
            return 503, failure.code, failure.retry_after
        work.service = choose_share(work.route, work.request_id)
        self._set_deadlines(work)
        if work.deadline <= self._admission.clock():
            return 503, "no_time", None
        return None

    def _set_deadlines(self, work):
        arrived = work.request.contact_arrived_at
        value = work.request.get(self._dialect.deadline_ms, "")
        given = float(value) if value.isdigit() else ASSUMED_DEADLINE * 1000
        longest = self._longest_by_route.get(work.route.name, 0.0)
        if given > longest:
            self._longest_by_route[work.route.name] = longest = given
        work.returned = given < longest - DEADLINE_JITTER_MS
        work.deadline = arrived + min(given / 1000, work.route.timeout)
        spent = (longest - given) / 1000 if work.returned else 0.0
        work.objective_deadline = arrived - spent + work.route.objective
        work.resend_deadline = work.deadline
        if work.route.event_patience is not None:
            leaves_at = min(work.deadline, arrived + work.route.event_patience)
            work.resend_deadline = leaves_at - RESEND_TIME
        tokens = work.request.get(self._dialect.tokens, "").partition(",")[0]
        work.prompt_tokens = int(tokens) if tokens.isdigit() else 0

    async def _forward(self, work):
        try:
            async with self._timers.until(work.deadline):
                await self._forwarder.run(work)
        except TimeoutError:
            work.last_reason = work.last_reason or "deadline"
            self._give_up(work, timed_out=True)
            return
        if work.objection == CALLER_LEFT:
            work.reply.abort()
            work.outcome = "caller_left"
            return
        if work.reply.finished or work.reply.started:
            return
        if work.last_response is not None:
            self._pass_on(work)
            return
        self._give_up(work, timed_out=self._admission.clock() >= work.deadline)

    def _pass_on(self, work):
        response = work.last_response
        work.first_byte_at = monotonic()
        headers = self._forwarder.answer_headers(response)
        work.reply.send(response.status, headers, response.body)
        if work.outcome != "answered":
            work.outcome = f"endpoint_{response.status}"

    def _give_up(self, work, *, timed_out):
        if work.reply.started:
            work.reply.abort()
            work.outcome = "cut"
        elif work.may_have_run:
            self._refuse(work, 504 if timed_out else 502, work.last_reason, None)
        else:
            self._refuse(work, 503, work.last_reason, work.retry_after or 0.5)

    def _refuse(self, work, status, reason, retry_after):
        headers = []
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after:g}"))
        if work.request_id:
            headers.append((self._dialect.request_id, work.request_id))
        work.outcome = f"refused_{status}"
        work.last_reason = reason
        work.retry_after = retry_after
        work.reply.send(status, headers)

    def _is_on_time(self, work, first):
        if work.outcome != "answered" or first is None:
            return False
        return work.request.contact_arrived_at + first <= work.objective_deadline

    def _account(self, work):
        now = monotonic()
        route = work.route.name if work.route else ""
        outcome = work.outcome
        self._metrics.count("requests_total", outcome=outcome)
        taken = now - work.request.arrived_at
        self._metrics.observe("request_seconds", taken, outcome=outcome)
        first = None
        if work.first_byte_at is not None:
            first = round(work.first_byte_at - work.request.arrived_at, 4)
            self._metrics.observe("first_byte_seconds", first)
        write = self._log.decision if outcome == "answered" else self._log.change
        write(
            "request",
            request=work.request_id,
            fingerprint=work.fingerprint,
            route=route,
            service=work.service,
            organisation=work.organisation.name if work.organisation else None,
            revision=self.catalog.revision if self.catalog else None,
            contact_age=self._admission.contact_age(),
            returned=work.returned,
            endpoints=work.tried,
            first_byte=first,
            on_time=self._is_on_time(work, first),
            sent=work.sent,
            resumed=work.resumed,
            outcome=outcome,
            reason=work.last_reason,
            retry_after=work.retry_after,
            seconds=round(taken, 4),
        )


def _fingerprint(work):
    request, organisation = work.request, work.organisation
    return fingerprint_of(
        organisation=organisation.name if organisation else "",
        method=request.method,
        host=request.get("host", ""),
        target=request.target,
        body=request.body,
    )
