"""A single attempt to run a request on one endpoint."""

from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.protocol import (
    ENGINE_ENDED,
    NOT_SENT,
    PROTOCOL_VERSION,
    TOO_LATE,
    EventKind,
    Submit,
)

#: The endpoint received the request, but its answer is incomplete.
CUT_OFF = Failure(code="cut_off")

#: The endpoint received the request, but the deadline passed before it answered.
TIMED_OUT = Failure(code="timed_out")

#: The caller closed its connection.
CALLER_GONE = Failure(code="caller_gone")

#: The answer was produced by weights other than the requested ones.
WRONG_ANSWER = Failure(code="wrong_answer")

#: Long-poll timeout of one read call at the agent, in seconds.
READ_TIMEOUT = 0.5

#: Seconds beyond READ_TIMEOUT that the reply to a read call may take.
REPLY_GRACE = 2.0

#: A failure within this many seconds before the deadline is reported as a timeout.
DEADLINE_SLACK = 0.1

#: Timeout in seconds of the cancel call to the agent.
CANCEL_TIMEOUT = 0.5

_FINAL_KINDS = (EventKind.DONE, EventKind.REFUSED, EventKind.FAILED)


class AttemptResult:
    """Result of an attempt.

    Parameters
    ----------
    done : bool
    was_run : bool
        False only if it is certain that the endpoint did not run the request.
    failure : Failure or None
    live : str or None, default=None
        Digest of the weights in use at the endpoint, as named in its refusal.
    engine_exit_id : str, default=""
        Identifier of the exit of the engine's process, if it exited during the request.
    """

    __slots__ = ("done", "was_run", "failure", "live", "engine_exit_id")

    def __init__(self, *, done, was_run, failure=None, live=None, engine_exit_id=""):
        self.done = done
        self.was_run = was_run
        self.failure = failure
        self.live = live
        self.engine_exit_id = engine_exit_id


class Attempt:
    """Submits a request to an agent and reads the events of its answer.

    Parameters
    ----------
    context : RequestContext
    endpoint : Endpoint
    pool : ConnectionPool
    revision : int
        Highest configuration revision that this host knows of.
    resume_from : int, default=0
        Number of tokens that the caller has already received.
    recheck : callable or None, default=None
        Returns a Failure if the request may no longer be sent to that endpoint,
        otherwise None.

    Attributes
    ----------
    result : AttemptResult or None
        Set once :meth:`events` is exhausted.
    first_byte : float or None
        Seconds until the first HEAD or TOKENS event.
    """

    __slots__ = (
        "context",
        "endpoint",
        "pool",
        "revision",
        "resume_from",
        "recheck",
        "result",
        "first_byte",
        "received_revision",
        "_attempt_id",
        "_presend_failure",
        "_sent_at",
        "_connection",
    )

    def __init__(
        self, *, context, endpoint, pool, revision, resume_from=0, recheck=None
    ):
        self.context = context
        self.endpoint = endpoint
        self.pool = pool
        self.revision = revision
        self.resume_from = resume_from
        self.recheck = recheck
        self.result = None
        self.first_byte = None
        self.received_revision = 0
        context.attempts += 1
        self._attempt_id = f"{context.request_id}-{context.attempts}"
        self._presend_failure = None
        self._sent_at = monotonic()
        self._connection = None

    def events(self):
        """Yield the HEAD and TOKENS events of the answer.

        Yields
        ------
        hawthornspoke.protocol.Event
        """
        self._connection = self.pool.acquire_connection(
            address=self.endpoint.address, port=self.endpoint.port
        )
        reply = self._submit()
        while True:
            if is_failure(reply):
                self.result = self._result_without_reply(reply)
                return
            if reply.request_id != self._attempt_id:
                # The reply belongs to another call, so no later reply can be trusted.
                self._connection.close()
                reason = "the endpoint answered another request"
                self.result = self._failed_after_submit(
                    WRONG_ANSWER.with_reason(reason)
                )
                return
            self.received_revision = max(self.received_revision, reply.revision or 0)
            for event in reply.events or ():
                if event.kind in _FINAL_KINDS:
                    self.result = self._result_of_final_event(event)
                    return
                if event.kind != EventKind.STARTED:
                    self._record_first_byte()
                    yield event
            failure = self._stop_reason()
            if failure is not None:
                self._cancel()
                self.result = self._failed_after_submit(failure)
                return
            reply = self._read()

    def abandon(self):
        """Cancel the attempt if it has not ended, and set its result."""
        if self.result is None:
            self._cancel()
            self.result = self._failed_after_submit(CALLER_GONE)

    def _submit(self):
        context = self.context
        remaining = context.remaining()
        if remaining <= 0:
            return TOO_LATE.with_reason("no time left")
        submit = Submit(
            version=PROTOCOL_VERSION,
            revision=self.revision,
            request_id=self._attempt_id,
            service_name=context.service.live_key(context.adapter),
            digest=self.endpoint.digest,
            priority=context.urgency,
            remaining_ms=int(remaining * 1000),
            method=context.request.method,
            path=context.path,
            headers=_forwarded_headers(context),
            body=context.request.body,
            resume_from=self.resume_from or None,
            adapter=context.adapter or None,
        )
        self._sent_at = monotonic()
        reply_deadline = self._sent_at + READ_TIMEOUT + REPLY_GRACE
        return self._connection.call(
            "submit",
            submit,
            deadline=min(context.deadline, reply_deadline),
            precheck=self._check_before_send,
        )

    def _check_before_send(self):
        """Return a Failure if the request must not be sent any more.

        Connecting may have taken long, or the process may have been suspended. The
        control actor is queried first, because that call can block as well.
        """
        failure = self.recheck() if self.recheck is not None else None
        if failure is None and self.context.request.client_disconnected():
            failure = CALLER_GONE
        if failure is None and self.context.remaining() <= 0:
            failure = TOO_LATE.with_reason("no time left")
        self._presend_failure = failure
        return failure

    def _read(self):
        wait = min(READ_TIMEOUT, max(0.0, self.context.deadline - monotonic()))
        return self._connection.call(
            "read",
            self._attempt_id,
            int(wait * 1000),
            deadline=monotonic() + wait + REPLY_GRACE,
        )

    def _stop_reason(self):
        if monotonic() >= self.context.deadline:
            return TIMED_OUT.with_reason("no whole answer before the deadline")
        if self.context.request.client_disconnected():
            return CALLER_GONE
        return None

    def _result_without_reply(self, failure):
        """Return the result of an attempt whose last call failed."""
        if failure in (NOT_SENT, TOO_LATE) or self._presend_failure is not None:
            if self.first_byte is None:
                return AttemptResult(done=False, was_run=False, failure=failure)
            return self._failed_after_submit(CUT_OFF.with_reason(failure.reason))
        if monotonic() >= self.context.deadline:
            return self._failed_after_submit(TIMED_OUT.with_reason(failure.reason))
        return self._failed_after_submit(CUT_OFF.with_reason(failure.reason))

    def _result_of_final_event(self, event):
        self.pool.release_connection(self._connection)
        if event.kind == EventKind.DONE:
            return AttemptResult(done=True, was_run=True)
        retry_after = None
        if event.retry_after_ms is not None:
            retry_after = event.retry_after_ms / 1000
        code, _, reason = (event.reason or "").partition(": ")
        failure = Failure(code=code, reason=reason, retry_after=retry_after)
        if event.kind == EventKind.REFUSED:
            return AttemptResult(
                done=False, was_run=False, failure=failure, live=event.digest
            )
        if failure == ENGINE_ENDED:
            cut_off = CUT_OFF.with_reason("the engine's process ended")
            return AttemptResult(
                done=False, was_run=True, failure=cut_off, engine_exit_id=failure.reason
            )
        if monotonic() >= self.context.deadline - DEADLINE_SLACK:
            # The agent waits for the engine until the same deadline and may report
            # its own failure first; the cause is still the expired deadline.
            return self._failed_after_submit(TIMED_OUT.with_reason(event.reason or ""))
        return self._failed_after_submit(CUT_OFF.with_reason(event.reason or ""))

    def _failed_after_submit(self, failure):
        return AttemptResult(done=False, was_run=True, failure=failure)

    def _cancel(self):
        reply_deadline = monotonic() + CANCEL_TIMEOUT
        self._connection.call("cancel", self._attempt_id, deadline=reply_deadline)
        self._connection.close()

    def _record_first_byte(self):
        if self.first_byte is None:
            self.first_byte = monotonic() - self._sent_at


def _forwarded_headers(context):
    headers = {}
    for name in ("content-type", "accept", "idempotency-key"):
        if name in context.request.headers:
            headers[name] = context.request.headers[name]
    headers["x-request-id"] = context.request_id
    headers["x-organisation"] = context.organisation
    return headers
