"""Attempts after attempts, until there is an answer or a final failure."""

from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.entry._answers import FINAL_CODES, NOT_RUN, UNKNOWN
from hawthornspoke.entry._attempt import (
    CALLER_GONE,
    CUT_OFF,
    TIMED_OUT,
    WRONG_ANSWER,
    Attempt,
)
from hawthornspoke.protocol import EventKind
from hawthornspoke.retries import RetryAllowed

#: Attempts of one request at most, however cheap each was.
MAX_ATTEMPTS = 6

#: Refusals that only tell where not to go: trying the next endpoint adds no
#: load anywhere, so they cost no retry budget.
REDIRECTS = frozenset(["draining", "wrong_digest", "not_sent", "engine_down"])

#: Failures for which the endpoint is to blame.
BLAMED = frozenset(["cut_off", "not_sent", "wrong_answer", "engine_down", "timed_out"])


class Head:
    """The start of an answer.

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


class GivenUp:
    """A request that got no whole answer.

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
    given_up : GivenUp or None
        Set if :meth:`pieces` ended without the whole answer.
    """

    __slots__ = (
        "context",
        "control",
        "pool",
        "metrics",
        "given_up",
        "_excluded",
        "_switched",
        "_digest",
        "_sent_tokens",
        "_ever_run",
        "_attempt",
        "_head_given",
    )

    def __init__(self, *, context, control, pool, metrics):
        self.context = context
        self.control = control
        self.pool = pool
        self.metrics = metrics
        self.given_up = None
        self._excluded = set()
        self._switched = set()
        self._digest = None
        self._sent_tokens = 0
        self._ever_run = False
        self._attempt = None
        self._head_given = False

    def pieces(self):
        """Yield the head, then the pieces of the answer's body.

        Yields
        ------
        Head or bytes
            If the generator ends with :attr:`given_up` set, the answer is not
            whole and must not look as if it were.
        """
        try:
            while self.given_up is None:
                finished = yield from self._one_attempt()
                if finished:
                    return
        finally:
            self._abandon()

    def _one_attempt(self):
        endpoint = self.control.choose(
            service=self.context.service,
            adapter=self.context.adapter,
            prefix=self.context.prefix,
            digest=self._digest,
            excluded=frozenset(self._excluded),
            fingerprint=self.context.quarantine_fingerprint(),
        )
        if is_failure(endpoint):
            self._give_up(endpoint)
            return True
        attempt = Attempt(
            context=self.context,
            endpoint=endpoint,
            pool=self.pool,
            revision=self.control.revision_seen(),
            resume_from=self._sent_tokens,
            recheck=lambda: self._recheck(endpoint),
        )
        self._attempt = attempt
        for event in attempt.events():
            if event.kind == EventKind.HEAD:
                if not self._is_right(event, endpoint):
                    attempt.abandon()
                    attempt.ended.failure = WRONG_ANSWER.because("other weights")
                    break
                if not self._head_given:
                    self._head_given = True
                    self._digest = endpoint.digest
                    yield _head(event, endpoint)
            else:
                self._sent_tokens += event.count or 0
                yield event.data
        return self._after(attempt, endpoint)

    def _recheck(self, endpoint):
        context = self.context
        return self.control.recheck(
            authorization=context.request.headers.get("authorization", ""),
            organisation=context.organisation,
            service_name=context.service_name,
            node=endpoint.node,
            fingerprint=context.quarantine_fingerprint(),
        )

    def _is_right(self, event, endpoint):
        """Tell whether the answer is by the weights it was asked of."""
        if not self.context.is_model:
            return True
        return (event.digest or "") == endpoint.digest

    def _after(self, attempt, endpoint):
        """Learn from an attempt; return True if there is to be no other."""
        self._attempt = None
        ended = attempt.ended
        code = "done" if ended.done else ended.failure.code
        self.metrics.count("attempts_total", outcome=code)
        self.control.attempt_ended(
            node=endpoint.node,
            failed=code in BLAMED,
            first_byte=attempt.first_byte,
            done=ended.done,
            fingerprint=self.context.quarantine_fingerprint(),
            engine_end=ended.engine_end,
        )
        self.control.hear_revision(attempt.revision_heard)
        if ended.done:
            return True
        self._ever_run = self._ever_run or ended.was_run
        if code in REDIRECTS:
            self.control.endpoint_refused(
                node=endpoint.node,
                code=code,
                key=self.context.service.live_key(self.context.adapter),
                live=ended.live,
            )
        if not self._has_switched(ended, endpoint):
            self._excluded.add(endpoint.node)
        return not self._may_retry(ended)

    def _has_switched(self, ended, endpoint):
        """Tell whether an endpoint refused only because it has just switched.

        When all hosts change over in the same moment, every endpoint refuses
        what was routed for the old weights. The refusal names the new ones, so
        the endpoint is asked once more, in place of giving the request up.
        """
        if ended.failure.code != "wrong_digest" or not ended.live:
            return False
        if self._head_given or endpoint.node in self._switched:
            return False
        self._switched.add(endpoint.node)
        adapter = self.context.adapter
        return self.context.service.accepts(ended.live, adapter=adapter)

    def _may_retry(self, ended):
        failure = ended.failure
        is_final = failure == CALLER_GONE or failure.code in FINAL_CODES
        if is_final or not self._can_go_on(ended):
            self._give_up(failure)
            return False
        if self.context.attempts >= MAX_ATTEMPTS:
            self._give_up(failure)
            return False
        if not ended.was_run and failure.code in REDIRECTS:
            return monotonic() < self.context.deadline or self._late(failure)
        answer = self.control.ask_retry(
            repeatable=self.context.repeatable,
            was_run=ended.was_run,
            deadline=self.context.deadline,
        )
        if isinstance(answer, RetryAllowed):
            self.metrics.count("retries_total")
            return True
        self._give_up(failure)
        return False

    def _can_go_on(self, ended):
        """Tell whether another attempt could continue what the caller has."""
        if not self._head_given:
            return True
        # The caller holds part of an answer. Only a stream of tokens can be
        # continued, by the same weights, and only where a second run is allowed.
        return (
            self.context.is_model and self.context.streaming and self.context.repeatable
        )

    def _late(self, failure):
        self._give_up(failure)
        return False

    def _give_up(self, failure):
        if failure == TIMED_OUT or failure == CUT_OFF:
            outcome = UNKNOWN
        else:
            outcome = UNKNOWN if self._ever_run else NOT_RUN
        self.given_up = GivenUp(failure=failure, outcome=outcome)

    def _abandon(self):
        """Cancel the attempt that runs when the caller's side is closed."""
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


def _head(event, endpoint):
    return Head(
        status=event.status or 200,
        headers=dict(event.headers or {}),
        digest=event.digest or "",
        node=endpoint.node,
    )
