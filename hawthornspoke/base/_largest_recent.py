"""Largest value reported in the recent past."""

from collections import deque


class LargestRecent:
    """The largest of the values reported in the last seconds.

    Parameters
    ----------
    memory : float, default=30.0
        Seconds for which a value still holds after its last report.
    settling_time : float, default=3.0
        Seconds from the first report until the value is used. Those who report a
        number of hosts may not know all of them at first.
    """

    __slots__ = ("memory", "settling_time", "_reported", "_reported_since")

    def __init__(self, *, memory=30.0, settling_time=3.0):
        self.memory = memory
        self.settling_time = settling_time
        # (value, time of its last report), by decreasing value and increasing time.
        self._reported = deque()
        self._reported_since = 0.0

    def add(self, value, now):
        """Record a report.

        Parameters
        ----------
        value : int or float
        now : float
        """
        self._drop_outdated(now)
        if not self._reported:
            self._reported_since = now
        while self._reported and self._reported[-1][0] <= value:
            self._reported.pop()
        self._reported.append((value, now))

    def settle(self, value, now):
        """Record a report by one who knows the value, and use it from now on."""
        self.add(value, now)
        self._reported_since = min(self._reported_since, now - self.settling_time)

    def extend(self, now):
        """Let the largest value hold as long as if it was reported now."""
        self._drop_outdated(now)
        if self._reported:
            self.add(self._reported[0][0], now)

    def clear(self):
        """Forget all reports."""
        self._reported.clear()

    def value(self, now):
        """Return the value, None if it isn't known or hasn't settled."""
        self._drop_outdated(now)
        if not self._reported or now < self._reported_since + self.settling_time:
            return None
        return self._reported[0][0]

    def _drop_outdated(self, now):
        while self._reported and now >= self._reported[0][1] + self.memory:
            self._reported.popleft()
