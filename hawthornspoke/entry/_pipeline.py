"""The filters that a request passes, in order."""

from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.claims import Answered, GiveStored, NotRun, RefuseNow, Unknown
from hawthornspoke.entry._answers import (
    DONE,
    NOT_RUN,
    UNKNOWN,
    error_response,
    error_tree,
)
from hawthornspoke.entry._attempt import CUT_OFF
from hawthornspoke.entry._context import BAD_REQUEST, RequestContext, read_context
from hawthornspoke.entry._forward import Forwarder
from hawthornspoke.web import Response, json_response

TOO_LATE = Failure(code="deadline_passed")

HEADERS_KEPT = frozenset(["content-type", "cache-control", "location"])


class Pipeline:
    """Answers callers.

    Parameters
    ----------
    control : ControlClient
    claims : ClaimRunner
    pool : ConnectionPool
    metrics : Metrics
    default_timeout : float
    """

    __slots__ = (
        "control",
        "claims",
        "pool",
        "metrics",
        "default_timeout",
        "running",
        "_filters",
    )

    def __init__(self, *, control, claims, pool, metrics, default_timeout):
        self.control = control
        self.claims = claims
        self.pool = pool
        self.metrics = metrics
        self.default_timeout = default_timeout
        self.running = set()
        self._filters = (
            self._read,
            self._admit,
            self._check_deadline,
            self._claim,
            self._forward,
        )

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
        self.running.add(context.request_id)
        streaming = False
        try:
            for step in self._filters:
                response = step(context)
                if response is not None:
                    streaming = not isinstance(response.body, bytes)
                    return response
        finally:
            if not streaming:
                self._left(context)
        raise AssertionError("the last filter always answers")

    # The filters. Each returns a response, or None to pass the request on.

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
        return self._check_kind(context)

    def _check_kind(self, context):
        service = context.service
        if context.is_model != (service.kind == "model"):
            path = "/v1/..." if service.kind == "model" else "/services/..."
            reason = f"{service.name!r} is a {service.kind} service: use {path}"
            return self._refuse(context, BAD_REQUEST.because(reason))
        if context.adapter and context.adapter not in service.adapters:
            known = ", ".join(sorted(service.adapters)) or "none"
            reason = f"no adapter {context.adapter!r}; there are: {known}"
            return self._refuse(context, BAD_REQUEST.because(reason))
        return None

    def _check_deadline(self, context):
        if monotonic() < context.deadline:
            return None
        return self._refuse(context, TOO_LATE.because("the time was up on arrival"))

    def _claim(self, context):
        if not context.key:
            return None
        claim, verdict = self.claims.begin(
            organisation=context.organisation,
            key=context.key,
            fingerprint=context.fingerprint(),
            deadline=context.deadline,
        )
        if isinstance(verdict, GiveStored):
            return self._give_stored(context, verdict)
        if isinstance(verdict, RefuseNow):
            outcome = UNKNOWN if verdict.was_run else NOT_RUN
            return self._refuse(context, verdict.failure, outcome=outcome)
        context.claim = claim
        return None

    def _forward(self, context):
        forwarder = Forwarder(
            context=context,
            control=self.control,
            pool=self.pool,
            metrics=self.metrics,
        )
        pieces = forwarder.pieces()
        head = next(pieces, None)
        if head is None:
            return self._gave_up(context, forwarder)
        if context.streaming and context.claim is None:
            return self._stream(context, forwarder, head, pieces)
        body = b"".join(pieces)
        if forwarder.given_up is not None:
            return self._gave_up(context, forwarder)
        return self._whole(context, head, body)

    # Ways to answer.

    def _whole(self, context, head, body):
        headers = self._answer_headers(context, head)
        self._claim_ended(
            context, Answered(status=head.status, headers=headers, body=body)
        )
        self._counted(context, DONE)
        return Response(status=head.status, headers=headers, body=body)

    def _stream(self, context, forwarder, head, pieces):
        headers = self._answer_headers(context, head)
        body = self._stream_body(context, forwarder, pieces)
        return Response(status=head.status, headers=headers, body=body)

    def _stream_body(self, context, forwarder, pieces):
        try:
            first = True
            for piece in pieces:
                if first:
                    first = False
                    elapsed = monotonic() - context.arrived_at
                    self.metrics.observe("first_token_seconds", elapsed)
                yield piece
            if forwarder.given_up is not None:
                yield self._cut_event(context, forwarder.given_up)
                # A caller that reads no events must not take the end of the
                # connection for the end of the answer: raising leaves out the
                # last chunk of the transfer coding.
                raise ConnectionAbortedError("answer is not whole")
            self._counted(context, DONE)
        finally:
            pieces.close()
            self._left(context)

    def _cut_event(self, context, given_up):
        self._counted(context, UNKNOWN)
        response = json_response(
            error_tree(
                CUT_OFF.because(given_up.failure.reason),
                outcome=UNKNOWN,
                request_id=context.request_id,
            )
        )
        return b"data: " + response.body + b"\n\n"

    def _give_stored(self, context, verdict):
        stored = self.claims.read_stored(verdict.row)
        if is_failure(stored):
            failure = Failure(
                code="outcome_unknown",
                reason="the request was run; its answer can't be read now",
                retry_after=1.0,
            )
            return self._refuse(context, failure, outcome=UNKNOWN)
        status, headers, body = stored
        self._counted(context, "stored")
        headers = {**headers, "X-Stored-Answer": "true"}
        return Response(status=status, headers=headers, body=body)

    def _gave_up(self, context, forwarder):
        given_up = forwarder.given_up
        message = NotRun() if given_up.outcome == NOT_RUN else Unknown()
        self._claim_ended(context, message)
        return self._refuse(context, given_up.failure, outcome=given_up.outcome)

    def _refuse(self, context, failure, *, outcome=NOT_RUN):
        self._counted(context, outcome, code=failure.code)
        return error_response(failure, outcome=outcome, request_id=context.request_id)

    def _claim_ended(self, context, message):
        if context.claim is None:
            return
        self.claims.finish(
            context.claim,
            message,
            organisation=context.organisation,
            key=context.key,
        )

    def _answer_headers(self, context, head):
        headers = {
            name: value
            for name, value in head.headers.items()
            if name.lower() in HEADERS_KEPT
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

    def _counted(self, context, outcome, *, code=""):
        self.metrics.count("requests_total", outcome=outcome, code=code)
        elapsed = monotonic() - context.arrived_at
        self.metrics.observe("request_seconds", elapsed, outcome=outcome)

    def _left(self, context):
        self.running.discard(context.request_id)
