"""Recognizes requests that callers send again after a refusal.

Callers don't say so, but each attempt has less time left than the one before. How long
callers wait varies as well: where first attempts differ by seconds, a short deadline
says nothing. Requests that were taken for repeated ones by mistake were sent to any
engine with a free slot, however late it would respond.
"""

from collections import deque

#: Seconds by which the deadlines of first attempts differ at least: callers' timers and
#: the network.
MIN_SPREAD_TIME = 0.15

#: Number of requests after which the spread is estimated anew, and from which it is
#: estimated at most.
MIN_SAMPLES = 20
MAX_SAMPLES = 200

#: Share of the samples that may be repeated requests in spite of the calm.
OUTLIER_SHARE = 0.02

#: Seconds without a refusal by this host after which new requests are assumed to be
#: first attempts: callers that were refused return sooner, or not at all.
CALM_TIME = 3.0

#: Seconds after which the longest deadline of a route is forgotten, since a single
#: caller may name any. It is remembered for twice as long at most.
DEADLINE_MEMORY = 30.0


class _DeadlineSpread:
    """How much the deadlines of first attempts differ, as a share of the longest."""

    __slots__ = ("share", "samples", "_new_samples")

    def __init__(self):
        self.share = 0.0
        self.samples = deque(maxlen=MAX_SAMPLES)
        self._new_samples = 0

    @property
    def is_estimated(self):
        """Whether there have been enough samples."""
        return len(self.samples) >= MIN_SAMPLES

    def add(self, sample):
        """Add what a deadline lacks to the longest, as a share of it."""
        self.samples.append(sample)
        self._new_samples += 1
        if self._new_samples < MIN_SAMPLES:
            return
        self._new_samples = 0
        ordered = sorted(self.samples)
        self.share = ordered[-1 - int(len(ordered) * OUTLIER_SHARE)]


class _RouteDeadlines:
    """The longest deadline of a route's recent requests, and how much they differ."""

    __slots__ = ("spread", "_current", "_previous", "_rotate_at")

    def __init__(self, *, now):
        self.spread = _DeadlineSpread()
        self._current = 0.0
        self._previous = 0.0
        self._rotate_at = now + DEADLINE_MEMORY

    def update(self, seconds, now):
        """Record a deadline and return the longest one, in seconds."""
        if now >= self._rotate_at:
            self._previous, self._current = self._current, 0.0
            self._rotate_at = now + DEADLINE_MEMORY
        self._current = max(self._current, seconds)
        return max(self._current, self._previous)


class CallerRetryDetector:
    """Tells repeated requests from first attempts by how much time they have left."""

    __slots__ = ("_deadlines_by_route", "_common_spread", "_refused_at")

    def __init__(self):
        self._deadlines_by_route = {}
        self._common_spread = _DeadlineSpread()
        self._refused_at = float("-inf")

    def record_refusal(self, now):
        """Record that a request was refused, whose caller may return."""
        self._refused_at = now

    def time_spent(self, route, seconds, now):
        """Return the time that a caller seems to have spent on earlier attempts.

        Parameters
        ----------
        route : str
            Name of the request's route.
        seconds : float or None
            For which the caller still waits; None if it doesn't say.
        now : float

        Returns
        -------
        float
            Seconds; 0 for a first attempt.
        """
        if seconds is None:
            return 0.0
        deadlines = self._deadlines_by_route.get(route)
        if deadlines is None:
            deadlines = self._deadlines_by_route[route] = _RouteDeadlines(now=now)
        longest = deadlines.update(seconds, now)
        missing = longest - seconds
        if now >= self._refused_at + CALM_TIME and longest > 0:
            deadlines.spread.add(missing / longest)
            self._common_spread.add(missing / longest)
        usual = max(MIN_SPREAD_TIME, self._spread_of(deadlines) * longest)
        return missing if missing > usual else 0.0

    def dump(self):
        """Return the spread by route as plain data."""
        return {
            route: {
                "spread": round(self._spread_of(deadlines), 3),
                "samples": len(deadlines.spread.samples),
            }
            for route, deadlines in self._deadlines_by_route.items()
        }

    def _spread_of(self, deadlines):
        """Return the spread of a route; that of all while it has few requests."""
        spread = deadlines.spread
        return spread.share if spread.is_estimated else self._common_spread.share
