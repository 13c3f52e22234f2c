"""Number of events in a sliding window."""

from collections import deque

#: Number of intervals of a window in which events are counted together.
INTERVALS = 200


class SlidingCount:
    """Counts the events of a window that ends now, never one that is too old.

    Parameters
    ----------
    window : float, default=10.0
        Seconds. An event leaves the window early, by a two-hundredth of it at most.
    """

    __slots__ = ("window", "_counts", "_total")

    def __init__(self, *, window=10.0):
        self.window = window
        # [start of an interval, number of events in it], by increasing time.
        self._counts = deque()
        self._total = 0

    def add(self, now, *, count=1):
        """Count one event, or several.

        Parameters
        ----------
        now : float
            Seconds; not before the time of an earlier event.
        count : int, default=1
        """
        self._drop_outdated(now)
        if self._counts and now < self._counts[-1][0] + self.window / INTERVALS:
            self._counts[-1][1] += count
        else:
            self._counts.append([now, count])
        self._total += count

    def value(self, now):
        """Return the number of events in the window that ends now."""
        self._drop_outdated(now)
        return self._total

    def _drop_outdated(self, now):
        while self._counts and self._counts[0][0] <= now - self.window:
            self._total -= self._counts.popleft()[1]
