"""Runs attempts until the request is answered or has finally failed."""

from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.entry._answers import NON_RETRYABLE_CODES, NOT_RUN, UNKNOWN
from hawthornspoke.entry._attempt import (
    CALLER_GONE,
    CUT_OFF,
    TIMED_OUT,
    WRONG_ANSWER,
    Attempt,
)
from hawthornspoke.protocol import EventKind
from hawthornspoke.retries import RetryAllowed

#: Maximum number of attempts per request, including those that use no retry budget.
MAX_ATTEMPTS = 6

#: Failures after which the endpoint has certainly not run the request. Trying the next
#: endpoint adds no load, so it uses no retry budget.
UNCHARGED_REFUSALS = frozenset(["draining", "wrong_digest", "not_sent", "engine_down"])

#: Failures that the router counts against the endpoint.
ENDPOINT_FAULTS = frozenset(
    ["cut_off", "not_sent", "wrong_answer", "engine_down", "timed_out"]
)


class AnswerHead:
    """Status and headers of an answer, and which endpoint and weights produced it.

    Parameters
    ----------
    status : int
    headers : dict of str to str
    digest : str
    node : str
    """

    __slots__ = ("status", "headers", "digest", "node")

    def __init__(self, *, status, headers, digest, node):
        self.status = status
        self.headers = headers
        self.digest = digest
        self.node = node


class FinalFailure:
    """Final failure of a request without a complete answer.

    Parameters
    ----------
    failure : Failure
    outcome : str
        ``"not_run"`` or ``"unknown"``.
    """

    __slots__ = ("failure", "outcome")

    def __init__(self, *, failure, outcome):
        self.failure = failure
        self.outcome = outcome


class Forwarder:
    """Runs the attempts of one request.

    Parameters
    ----------
    context : RequestContext
    control : ControlClient
    pool : ConnectionPool
    metrics : Metrics

    Attributes
    ----------
    final_failure : FinalFailure or None
        Set if :meth:`chunks` ended before the answer was complete.
    """

    __slots__ = (
        "context",
        "control",
        "pool",
        "metrics",
        "final_failure",
        "_excluded",
        "_retried_after_switch",
        "_digest",
        "_tokens_sent",
        "_may_have_run",
        "_attempt",
        "_head_sent",
    )

    def __init__(self, *, context, control, pool, metrics):
        self.context = context
        self.control = control
        self.pool = pool
        self.metrics = metrics
        self.final_failure = None
        self._excluded = set()
        self._retried_after_switch = set()
        self._digest = None
        self._tokens_sent = 0
        self._may_have_run = False
        self._attempt = None
        self._head_sent = False

    def chunks(self):
        """Yield the head, then the body of the answer in chunks.

        Yields
        ------
        AnswerHead or bytes
            If the generator ends with :attr:`final_failure` set, the answer is
            incomplete and must not appear complete to the caller.
        """
        try:
            while self.final_failure is None:
                finished = yield from self._run_attempt()
                if finished:
                    return
        finally:
            self._abandon()

    def _run_attempt(self):
        """Yield head and chunks of an attempt; return whether it was the last one."""
        endpoint = self.control.choose(
            service=self.context.service,
            adapter=self.context.adapter,
            prefix=self.context.prompt_prefix_digest,
            digest=self._digest,
            excluded=frozenset(self._excluded),
            fingerprint=self.context.quarantine_fingerprint(),
        )
        if is_failure(endpoint):
            self._fail(endpoint)
            return True
        attempt = Attempt(
            context=self.context,
            endpoint=endpoint,
            pool=self.pool,
            revision=self.control.revision_seen(),
            resume_from=self._tokens_sent,
            recheck=lambda: self._recheck(endpoint),
        )
        self._attempt = attempt
        for event in attempt.events():
            if event.kind == EventKind.HEAD:
                if not self._has_expected_weights(event, endpoint):
                    attempt.abandon()
                    attempt.result.failure = WRONG_ANSWER.with_reason("other weights")
                    break
                if not self._head_sent:
                    self._head_sent = True
                    self._digest = endpoint.digest
                    yield _answer_head(event, endpoint)
            else:
                self._tokens_sent += event.count or 0
                yield event.data
        return self._finish_attempt(attempt, endpoint)

    def _recheck(self, endpoint):
        context = self.context
        return self.control.recheck(
            authorization=context.request.headers.get("authorization", ""),
            organisation=context.organisation,
            service_name=context.service_name,
            node=endpoint.node,
            fingerprint=context.quarantine_fingerprint(),
        )

    def _has_expected_weights(self, event, endpoint):
        """Return whether the requested weights produced the answer."""
        if not self.context.is_model:
            return True
        return (event.digest or "") == endpoint.digest

    def _finish_attempt(self, attempt, endpoint):
        """Report the result of an attempt; return whether it was the last one."""
        self._attempt = None
        result = attempt.result
        code = "done" if result.done else result.failure.code
        self.metrics.count("attempts_total", outcome=code)
        self.control.attempt_ended(
            node=endpoint.node,
            failed=code in ENDPOINT_FAULTS,
            first_byte=attempt.first_byte,
            done=result.done,
            fingerprint=self.context.quarantine_fingerprint(),
            engine_exit_id=result.engine_exit_id,
        )
        self.control.hear_revision(attempt.received_revision)
        if result.done:
            return True
        self._may_have_run = self._may_have_run or result.was_run
        if code in UNCHARGED_REFUSALS:
            self.control.endpoint_refused(
                node=endpoint.node,
                code=code,
                key=self.context.service.live_key(self.context.adapter),
                live=result.live,
            )
        if not self._may_try_new_weights(result, endpoint):
            self._excluded.add(endpoint.node)
        return not self._may_retry(result)

    def _may_try_new_weights(self, result, endpoint):
        """Return whether the endpoint may be tried again with its new weights.

        When all hosts switch weights at the same time, every endpoint refuses
        requests routed for the old weights. The refusal names the new weights, so
        the endpoint is tried once more instead of failing the request.
        """
        if result.failure.code != "wrong_digest" or not result.live:
            return False
        if self._head_sent or endpoint.node in self._retried_after_switch:
            return False
        self._retried_after_switch.add(endpoint.node)
        adapter = self.context.adapter
        return self.context.service.accepts_digest(result.live, adapter=adapter)

    def _may_retry(self, result):
        """Return whether to try again; if not, set the final failure."""
        failure = result.failure
        is_final = failure == CALLER_GONE or failure.code in NON_RETRYABLE_CODES
        if is_final or not self._can_resume(result):
            self._fail(failure)
            return False
        if self.context.attempts >= MAX_ATTEMPTS:
            self._fail(failure)
            return False
        if not result.was_run and failure.code in UNCHARGED_REFUSALS:
            return monotonic() < self.context.deadline or self._fail_past_deadline(
                failure
            )
        answer = self.control.ask_retry(
            repeatable=self.context.repeatable,
            was_run=result.was_run,
            deadline=self.context.deadline,
        )
        if isinstance(answer, RetryAllowed):
            self.metrics.count("retries_total")
            return True
        self._fail(failure)
        return False

    def _can_resume(self, result):
        """Return whether another attempt can continue the answer that was begun."""
        if not self._head_sent:
            return True
        # The caller has part of the answer. Only a token stream can be continued, on
        # the same weights, and only if the request may run twice.
        return (
            self.context.is_model and self.context.streaming and self.context.repeatable
        )

    def _fail_past_deadline(self, failure):
        """Set the final failure; return False, which `_may_retry` returns in turn."""
        self._fail(failure)
        return False

    def _fail(self, failure):
        if failure == TIMED_OUT or failure == CUT_OFF:
            outcome = UNKNOWN
        else:
            outcome = UNKNOWN if self._may_have_run else NOT_RUN
        self.final_failure = FinalFailure(failure=failure, outcome=outcome)

    def _abandon(self):
        """Cancel the running attempt when the generator is closed early."""
        attempt = self._attempt
        if attempt is None:
            return
        self._attempt = None
        attempt.abandon()
        self.control.attempt_ended(
            node=attempt.endpoint.node,
            failed=False,
            first_byte=attempt.first_byte,
            done=False,
            fingerprint=self.context.quarantine_fingerprint(),
        )


def _answer_head(event, endpoint):
    return AnswerHead(
        status=event.status or 200,
        headers=dict(event.headers or {}),
        digest=event.digest or "",
        node=endpoint.node,
    )
