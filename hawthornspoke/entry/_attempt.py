"""One attempt of a request at one endpoint."""

from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.protocol import (
    ENGINE_ENDED,
    NOT_SENT,
    PROTOCOL_VERSION,
    TOO_LATE,
    EventKind,
    Submit,
)

#: The endpoint had the request and no whole answer came.
CUT_OFF = Failure(code="cut_off")

#: The endpoint had the request and the time ran out.
TIMED_OUT = Failure(code="timed_out")

#: The caller closed its connection.
CALLER_GONE = Failure(code="caller_gone")

#: The answer names other weights than the request was sent for.
WRONG_ANSWER = Failure(code="wrong_answer")

#: Seconds that one read waits at the agent for the first event.
READ_WAIT = 0.5

#: Seconds that the agent may take to answer a read beyond that wait.
READ_SLACK = 2.0

#: Seconds before the deadline in which a failure counts as its passing.
DEADLINE_SLACK = 0.1

#: Seconds for the last word to an agent whose caller is gone.
CANCEL_SECONDS = 0.5

_FINAL_KINDS = (EventKind.DONE, EventKind.REFUSED, EventKind.FAILED)


class Ended:
    """How an attempt ended.

    Parameters
    ----------
    done : bool
    was_run : bool
        False only with proof.
    failure : Failure or None
    live : str or None, default=None
        Digest that is live at the endpoint, as a refusal told.
    engine_end : str, default=""
        Name of the engine's end, if its process ended under the request.
    """

    __slots__ = ("done", "was_run", "failure", "live", "engine_end")

    def __init__(self, *, done, was_run, failure=None, live=None, engine_end=""):
        self.done = done
        self.was_run = was_run
        self.failure = failure
        self.live = live
        self.engine_end = engine_end


class Attempt:
    """Sends a request to an agent and reads its events.

    Parameters
    ----------
    context : RequestContext
    endpoint : Endpoint
    pool : ConnectionPool
    revision : int
        Highest revision that this host has heard of.
    resume_from : int, default=0
        Tokens that the caller has already.
    recheck : callable or None, default=None
        Returns a Failure if the request may not go to that endpoint any more.

    Attributes
    ----------
    ended : Ended or None
        Set when :meth:`events` is exhausted.
    first_byte : float or None
        Seconds until the first event that carried an answer.
    """

    __slots__ = (
        "context",
        "endpoint",
        "pool",
        "revision",
        "resume_from",
        "recheck",
        "ended",
        "first_byte",
        "revision_heard",
        "_attempt_id",
        "_objection",
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
        self.ended = None
        self.first_byte = None
        self.revision_heard = 0
        context.attempts += 1
        self._attempt_id = f"{context.request_id}-{context.attempts}"
        self._objection = None
        self._sent_at = monotonic()
        self._connection = None

    def events(self):
        """Yield the HEAD and TOKENS events of the answer.

        Yields
        ------
        hawthornspoke.protocol.Event
        """
        self._connection = self.pool.take(
            address=self.endpoint.address, port=self.endpoint.port
        )
        reply = self._submit()
        while True:
            if is_failure(reply):
                self.ended = self._lost(reply)
                return
            if reply.request_id != self._attempt_id:
                # An answer to another request on this connection: the two ends
                # disagree, and nothing read from it can be trusted.
                self._connection.close()
                reason = "the endpoint answered another request"
                self.ended = self._run_failed(WRONG_ANSWER.because(reason))
                return
            self.revision_heard = max(self.revision_heard, reply.revision or 0)
            for event in reply.events or ():
                if event.kind in _FINAL_KINDS:
                    self.ended = self._final(event)
                    return
                if event.kind != EventKind.STARTED:
                    self._note_first_byte()
                    yield event
            failure = self._stop_reason()
            if failure is not None:
                self._cancel()
                self.ended = self._run_failed(failure)
                return
            reply = self._read()

    def abandon(self):
        """Cancel what still runs; the caller is gone."""
        if self.ended is None:
            self._cancel()
            self.ended = self._run_failed(CALLER_GONE)

    def _submit(self):
        context = self.context
        remaining = context.remaining()
        if remaining <= 0:
            return TOO_LATE.because("no time left")
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
        limit = self._sent_at + READ_WAIT + READ_SLACK
        return self._connection.call(
            "submit",
            submit,
            deadline=min(context.deadline, limit),
            objection=self._object,
        )

    def _object(self):
        """Say what stands against sending at this moment.

        The connection may have taken time, or the process have stood still. The
        actor that knows keys and endpoints is asked first, since that is a wait too.
        """
        failure = self.recheck() if self.recheck is not None else None
        if failure is None and self.context.request.caller_gone():
            failure = CALLER_GONE
        if failure is None and self.context.remaining() <= 0:
            failure = TOO_LATE.because("no time left")
        self._objection = failure
        return failure

    def _read(self):
        wait = min(READ_WAIT, max(0.0, self.context.deadline - monotonic()))
        return self._connection.call(
            "read",
            self._attempt_id,
            int(wait * 1000),
            deadline=monotonic() + wait + READ_SLACK,
        )

    def _stop_reason(self):
        if monotonic() >= self.context.deadline:
            return TIMED_OUT.because("no whole answer before the deadline")
        if self.context.request.caller_gone():
            return CALLER_GONE
        return None

    def _lost(self, failure):
        """Return the end for a call that got no reply."""
        if failure in (NOT_SENT, TOO_LATE) or self._objection is not None:
            if self.first_byte is None:
                return Ended(done=False, was_run=False, failure=failure)
            return self._run_failed(CUT_OFF.because(failure.reason))
        if monotonic() >= self.context.deadline:
            return self._run_failed(TIMED_OUT.because(failure.reason))
        return self._run_failed(CUT_OFF.because(failure.reason))

    def _final(self, event):
        self.pool.give_back(self._connection)
        if event.kind == EventKind.DONE:
            return Ended(done=True, was_run=True)
        retry_after = None
        if event.retry_after_ms is not None:
            retry_after = event.retry_after_ms / 1000
        code, _, reason = (event.reason or "").partition(": ")
        failure = Failure(code=code, reason=reason, retry_after=retry_after)
        if event.kind == EventKind.REFUSED:
            return Ended(done=False, was_run=False, failure=failure, live=event.digest)
        if failure == ENGINE_ENDED:
            cut_off = CUT_OFF.because("the engine's process ended")
            return Ended(
                done=False, was_run=True, failure=cut_off, engine_end=failure.reason
            )
        if monotonic() >= self.context.deadline - DEADLINE_SLACK:
            # The agent's own wait for the engine ends with the same deadline and
            # may be told first: it is the caller's time that was up.
            return self._run_failed(TIMED_OUT.because(event.reason or ""))
        return self._run_failed(CUT_OFF.because(event.reason or ""))

    def _run_failed(self, failure):
        return Ended(done=False, was_run=True, failure=failure)

    def _cancel(self):
        limit = monotonic() + CANCEL_SECONDS
        self._connection.call("cancel", self._attempt_id, deadline=limit)
        self._connection.close()

    def _note_first_byte(self):
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
