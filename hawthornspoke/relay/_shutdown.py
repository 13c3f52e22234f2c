"""The shutdown of this host, for requests on their way to endpoints."""

from hawthornspoke.base import monotonic
from hawthornspoke.shutdown import (
    RunEnded,
    RunRefused,
    RunRequested,
    ShutdownBegun,
    ShutdownGate,
)

#: Retry-After in seconds while this host shuts down; the retry reaches another host.
SHUTDOWN_RETRY_AFTER = 0.05

#: Seconds assumed for a token where nothing tells how long one takes.
TOKEN_TIME = 0.02


class Shutdown:
    """Decides which requests are still passed on while this host shuts down.

    Parameters
    ----------
    fleet : Fleet
    clock : callable
        Clock of request deadlines.
    """

    __slots__ = ("gate", "_fleet", "_clock")

    def __init__(self, *, fleet, clock):
        self.gate = ShutdownGate()
        self._fleet = fleet
        self._clock = clock

    @property
    def deadline(self):
        """Time by which all requests end; ``math.inf`` before a shutdown."""
        return self.gate.deadline

    def begin(self, deadline):
        """Refuse from now on requests that would end after a deadline."""
        self.gate.step(ShutdownBegun(deadline=deadline), now=self._clock())

    def expected_seconds(self, context, placement):
        """Return how long a request is expected to run at an endpoint.

        Returns
        -------
        float
            Seconds; without a profile of the engine a number in proportion to them, by
            which the gate compares requests of one class.
        """
        answer_time = self._fleet.expected_answer_time(
            placement, answer_tokens=context.answer_tokens
        )
        if answer_time is None:
            return context.answer_tokens * TOKEN_TIME or placement.expected
        return placement.expected + answer_time

    def failure(self, context, placement):
        """Return why a request may not be sent to an endpoint any more, if so.

        Parameters
        ----------
        context : RequestContext
        placement : Placement

        Returns
        -------
        Failure or None
        """
        if context.deadline <= self.gate.deadline:
            return None
        message = RunRequested(
            run_class=_run_class(context),
            expected=self.expected_seconds(context, placement),
            deadline=context.deadline,
            is_repeatable=context.route.repeatable,
        )
        (verdict,) = self.gate.step(message, now=self._clock())
        if not isinstance(verdict, RunRefused):
            return None
        failure = verdict.failure
        return failure.with_reason(failure.reason, retry_after=SHUTDOWN_RETRY_AFTER)

    def record_run(self, context, attempt):
        """Remember how long an attempt has taken, at its end or at its deadline."""
        message = RunEnded(
            run_class=_run_class(context),
            expected=attempt.expected_seconds,
            seconds=monotonic() - attempt.sent_at,
        )
        self.gate.step(message, now=self._clock())


def _run_class(context):
    # What is expected of a run is measured in other units without a number of tokens.
    return f"{context.service} {context.answer_tokens > 0}"
