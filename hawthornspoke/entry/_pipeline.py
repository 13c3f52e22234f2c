"""Request pipeline: admission, idempotency claim, forwarding and response."""

import math

from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.claims import (
    NotRun,
    OutcomeUnknown,
    RefuseRequest,
    RequestAnswered,
    ReturnStoredAnswer,
)
from hawthornspoke.entry._answers import (
    DONE,
    NOT_RUN,
    UNKNOWN,
    error_body,
    error_response,
)
from hawthornspoke.entry._attempt import CUT_OFF
from hawthornspoke.entry._context import BAD_REQUEST, RequestContext, read_context
from hawthornspoke.entry._forward import Forwarder
from hawthornspoke.web import Response, json_response

DEADLINE_PASSED = Failure(code="deadline_passed")
STOPPING = Failure(code="stopping", retry_after=0.05)
TOO_LARGE = Failure(code="answer_too_large")

#: Seconds before the end of this process at which running requests time out, so that
#: their callers get a status.
LAST_ANSWER_TIME = 0.5

#: Response headers of an endpoint that are returned to the caller.
FORWARDED_RESPONSE_HEADERS = frozenset(["content-type", "cache-control", "location"])


class Pipeline:
    """Handles HTTP requests of callers through a sequence of filters.

    Parameters
    ----------
    control : ControlClient
    claims : ClaimRunner
    pool : ConnectionPool
    metrics : Metrics
    default_timeout : float
    max_answer : int
        Maximum bytes of an answer that isn't streamed.

    Attributes
    ----------
    running_by_id : dict of str to RequestContext
    """

    __slots__ = (
        "control",
        "claims",
        "pool",
        "metrics",
        "default_timeout",
        "max_answer",
        "running_by_id",
        "_shutdown_deadline",
        "_filters",
    )

    def __init__(self, *, control, claims, pool, metrics, default_timeout, max_answer):
        self.control = control
        self.claims = claims
        self.pool = pool
        self.metrics = metrics
        self.default_timeout = default_timeout
        self.max_answer = max_answer
        self.running_by_id = {}
        self._shutdown_deadline = math.inf
        self._filters = (
            self._read,
            self._admit,
            self._check_deadline,
            self._claim,
            self._forward,
        )

    def begin_shutdown(self, deadline):
        """Let all requests end before this process does.

        Parameters
        ----------
        deadline : float
            When the process ends, on the monotonic clock.
        """
        self._shutdown_deadline = deadline - LAST_ANSWER_TIME
        for context in list(self.running_by_id.values()):
            context.deadline = min(context.deadline, self._shutdown_deadline)

    def handle(self, request):
        """Answer one HTTP request.

        Parameters
        ----------
        request : hawthornspoke.web.Request

        Returns
        -------
        Response
        """
        context = RequestContext(request=request, default_timeout=self.default_timeout)
        self.running_by_id[context.request_id] = context
        streaming = False
        try:
            for step in self._filters:
                response = step(context)
                if response is not None:
                    streaming = not isinstance(response.body, bytes)
                    return response
        finally:
            if not streaming:
                self._request_ended(context)
        raise AssertionError("the last filter returned no response")

    # Filters. Each returns a response, or None to continue with the next filter.

    def _read(self, context):
        failure = read_context(context)
        if failure is None:
            return None
        return self._refuse(context, failure)

    def _admit(self, context):
        admission = self.control.admit(
            authorization=context.request.headers.get("authorization", ""),
            service_name=context.service_name,
        )
        if is_failure(admission):
            return self._refuse(context, admission)
        context.organisation = admission.organisation
        context.service = admission.service
        context.urgency = max(context.urgency, admission.lowest_urgency)
        return self._check_service_kind(context)

    def _check_service_kind(self, context):
        service = context.service
        if context.is_model != (service.kind == "model"):
            path = "/v1/..." if service.kind == "model" else "/services/..."
            reason = f"{service.name!r} is a {service.kind} service: use {path}"
            return self._refuse(context, BAD_REQUEST.with_reason(reason))
        if context.adapter and context.adapter not in service.adapters:
            known = ", ".join(sorted(service.adapters)) or "none"
            reason = f"no adapter {context.adapter!r}; there are: {known}"
            return self._refuse(context, BAD_REQUEST.with_reason(reason))
        return None

    def _check_deadline(self, context):
        if context.deadline > self._shutdown_deadline:
            if not context.repeatable:
                return self._refuse(context, STOPPING.with_reason("the host stops"))
            context.deadline = self._shutdown_deadline
        if monotonic() < context.deadline:
            return None
        return self._refuse(
            context,
            DEADLINE_PASSED.with_reason("the time was up on arrival"),
        )

    def _claim(self, context):
        if not context.idempotency_key:
            return None
        claim, decision = self.claims.begin(
            organisation=context.organisation,
            key=context.idempotency_key,
            fingerprint=context.claim_fingerprint(),
            deadline=context.deadline,
        )
        if isinstance(decision, ReturnStoredAnswer):
            return self._stored_response(context, decision)
        if isinstance(decision, RefuseRequest):
            outcome = UNKNOWN if decision.was_run else NOT_RUN
            return self._refuse(context, decision.failure, outcome=outcome)
        context.claim = claim
        return None

    def _forward(self, context):
        forwarder = Forwarder(
            context=context,
            control=self.control,
            pool=self.pool,
            metrics=self.metrics,
        )
        chunks = forwarder.chunks()
        head = next(chunks, None)
        if head is None:
            return self._failed_response(context, forwarder)
        if context.streaming and context.claim is None:
            return self._streamed_response(context, forwarder, head, chunks)
        body = self._read_whole(chunks)
        if is_failure(body):
            return self._oversized_response(context, body)
        if forwarder.final_failure is not None:
            return self._failed_response(context, forwarder)
        return self._complete_response(context, head, body)

    def _read_whole(self, chunks):
        """Return the rest of an answer, or a Failure if it is too large."""
        body = bytearray()
        for chunk in chunks:
            body += chunk
            if len(body) > self.max_answer:
                # Cancels the request at its endpoint.
                chunks.close()
                return TOO_LARGE.with_reason(f"over {self.max_answer} bytes")
        return bytes(body)

    # Responses.

    def _oversized_response(self, context, failure):
        self._finish_claim(context, OutcomeUnknown())
        return self._refuse(context, failure, outcome=UNKNOWN)

    def _complete_response(self, context, head, body):
        headers = self._answer_headers(context, head)
        self._finish_claim(
            context, RequestAnswered(status=head.status, headers=headers, body=body)
        )
        self._record_outcome(context, DONE)
        return Response(status=head.status, headers=headers, body=body)

    def _streamed_response(self, context, forwarder, head, chunks):
        headers = self._answer_headers(context, head)
        body = self._stream_body(context, forwarder, chunks)
        return Response(status=head.status, headers=headers, body=body)

    def _stream_body(self, context, forwarder, chunks):
        try:
            first = True
            for chunk in chunks:
                if first:
                    first = False
                    elapsed = monotonic() - context.arrived_at
                    self.metrics.observe("first_token_seconds", elapsed)
                yield chunk
            if forwarder.final_failure is not None:
                yield self._truncation_event(context, forwarder.final_failure)
                # Raising omits the final empty chunk of the chunked transfer coding, so
                # that a caller that does not parse events detects the truncation too.
                raise ConnectionAbortedError("answer is incomplete")
            self._record_outcome(context, DONE)
        finally:
            chunks.close()
            self._request_ended(context)

    def _truncation_event(self, context, final_failure):
        self._record_outcome(context, UNKNOWN)
        response = json_response(
            error_body(
                CUT_OFF.with_reason(final_failure.failure.reason),
                outcome=UNKNOWN,
                request_id=context.request_id,
            )
        )
        return b"data: " + response.body + b"\n\n"

    def _stored_response(self, context, decision):
        stored = self.claims.read_stored_response(decision.row)
        if is_failure(stored):
            failure = Failure(
                code="outcome_unknown",
                reason="the request was run; its answer can't be read now",
                retry_after=1.0,
            )
            return self._refuse(context, failure, outcome=UNKNOWN)
        status, headers, body = stored
        self._record_outcome(context, "stored")
        headers = {**headers, "X-Stored-Answer": "true"}
        return Response(status=status, headers=headers, body=body)

    def _failed_response(self, context, forwarder):
        final_failure = forwarder.final_failure
        message = NotRun() if final_failure.outcome == NOT_RUN else OutcomeUnknown()
        self._finish_claim(context, message)
        return self._refuse(
            context, final_failure.failure, outcome=final_failure.outcome
        )

    def _refuse(self, context, failure, *, outcome=NOT_RUN):
        self._record_outcome(context, outcome, code=failure.code)
        return error_response(failure, outcome=outcome, request_id=context.request_id)

    def _finish_claim(self, context, message):
        if context.claim is None:
            return
        self.claims.finish(
            context.claim,
            message,
            organisation=context.organisation,
            key=context.idempotency_key,
        )

    def _answer_headers(self, context, head):
        headers = {
            name: value
            for name, value in head.headers.items()
            if name.lower() in FORWARDED_RESPONSE_HEADERS
        }
        headers["X-Request-Id"] = context.request_id
        headers["X-Outcome"] = DONE
        headers["X-Served-By"] = head.node
        if context.is_model:
            table = context.service.table
            headers["X-Served-Model"] = table["model"]
            headers["X-Weights-Digest"] = head.digest
            if head.digest == context.service.digest:
                headers["X-Served-Version"] = table["version"]
        return headers

    def _record_outcome(self, context, outcome, *, code=""):
        self.metrics.count("requests_total", outcome=outcome, code=code)
        elapsed = monotonic() - context.arrived_at
        self.metrics.observe("request_seconds", elapsed, outcome=outcome)

    def _request_ended(self, context):
        self.running_by_id.pop(context.request_id, None)
