"""State machine that refuses requests which would outlast a host that shuts down."""

import math
from collections import deque
from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine

STOPPING = Failure(code="stopping")

#: Fraction of the runs of a class that may last longer than what is predicted for a
#: request that can be repeated, or resumed by its caller.
LATE_SHARE = 0.02

#: Multiple of the longest run of a class that is predicted for other requests: an
#: interruption leaves their callers without a way to find out whether they have run.
UNREPEATABLE_FACTOR = 1.25

#: Runs are compared with a request if at least this fraction of its duration was
#: expected of them. What a short run takes is mostly not in proportion to its length.
COMPARABLE_SHARE = 1 / 3

#: Runs that are remembered of each class, and the number of classes.
MAX_RUNS = 128
MAX_CLASSES = 256

#: Seconds for the way of the last byte to the caller.
RETURN_TIME = 0.1

#: Minimum of expected durations in seconds; shorter ones say nothing about a run.
MIN_EXPECTED = 0.02


@dataclass(slots=True, kw_only=True, frozen=True)
class ShutdownBegun:
    """The host shuts down.

    Parameters
    ----------
    deadline : float
        Time by which all requests have to have ended.
    """

    deadline: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RunEnded:
    """An endpoint has run a request to its end, or until its deadline.

    Parameters
    ----------
    run_class : str
        Runs of one class take times in proportion to what is expected of them.
    expected : float
        Seconds that were expected.
    seconds : float
    """

    run_class: str
    expected: float
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RunRequested:
    """Asks whether a request may be sent to an endpoint.

    Parameters
    ----------
    run_class : str
    expected : float
        Seconds that its run is expected to take.
    deadline : float
        Of the request.
    is_repeatable : bool
        Whether the caller may send it again whatever has become of it.
    """

    run_class: str
    expected: float
    deadline: float
    is_repeatable: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class RunAllowed:
    """The request will end before the host does."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RunRefused:
    """The request may outlast the host."""

    failure: object


@MACHINES.register("shutdown_gate")
class ShutdownGate(Machine):
    """Refuses requests that would outlast a host that shuts down.

    Parameters
    ----------
    late_share : float, default=LATE_SHARE
        Fraction of the runs of repeatable requests that may end too late.

    Attributes
    ----------
    deadline : float
        Time by which all requests have to have ended; ``math.inf`` before a shutdown.

    Notes
    -----
    What is expected of a run is a model of the endpoint. The durations of the last runs
    of its class, as multiples of what was expected of them, tell how far it is to be
    trusted. A class without any run is judged by the requests' deadlines alone.
    """

    __slots__ = ("late_share", "deadline", "_runs_by_class")
    PARAMS = {"late_share": Bounds(kind=(int, float), low=0, high=1)}

    def __init__(self, *, late_share=LATE_SHARE):
        self.late_share = late_share
        self.deadline = math.inf
        self._runs_by_class = {}

    def on_shutdown_begun(self, message, *, now):
        """Refuse from now on what would end after a deadline."""
        self.deadline = min(self.deadline, message.deadline)
        return []

    def on_run_ended(self, message, *, now):
        """Remember how long a run has taken."""
        runs = self._runs_by_class.get(message.run_class)
        if runs is None:
            if len(self._runs_by_class) >= MAX_CLASSES:
                # The class that was added first: most likely its service is gone.
                del self._runs_by_class[next(iter(self._runs_by_class))]
            runs = self._runs_by_class[message.run_class] = deque(maxlen=MAX_RUNS)
        expected = max(MIN_EXPECTED, message.expected)
        runs.append((expected, message.seconds / expected))
        return []

    def on_run_requested(self, message, *, now):
        """Allow or refuse a request.

        Returns
        -------
        list of RunAllowed or RunRefused
        """
        if message.deadline <= self.deadline:
            return [RunAllowed()]
        left = self.deadline - now - RETURN_TIME
        seconds = self._longest(message)
        if seconds <= left:
            return [RunAllowed()]
        reason = f"may take {seconds:.2f} s of {left:.2f} s left"
        if seconds == math.inf:
            reason = f"no run is known to compare it with, {left:.2f} s left"
        return [RunRefused(failure=STOPPING.with_reason(reason))]

    def dump(self, *, now):
        """Return the state as plain data."""
        is_stopping = self.deadline < math.inf
        return {
            "seconds_left": round(self.deadline - now, 3) if is_stopping else None,
            "runs_by_class": {
                name: len(runs) for name, runs in self._runs_by_class.items()
            },
        }

    def _longest(self, message):
        """Return the seconds that hardly any run like this one exceeds."""
        runs = self._runs_by_class.get(message.run_class)
        if not runs:
            return math.inf
        expected = max(MIN_EXPECTED, message.expected)
        least = COMPARABLE_SHARE * expected
        ratios = sorted(ratio for of_run, ratio in runs if of_run >= least)
        if not ratios:
            ratios = sorted(ratio for _, ratio in runs)
        # The longest of n evenly spread values is on average 1/n below the highest.
        factor = 1.0 + 1.0 / len(ratios)
        if not message.is_repeatable:
            return UNREPEATABLE_FACTOR * factor * ratios[-1] * expected
        excluded = int(self.late_share * len(ratios))
        return factor * ratios[len(ratios) - 1 - excluded] * expected
