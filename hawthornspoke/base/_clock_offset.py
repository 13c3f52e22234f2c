"""Bounds on the difference between the clocks of two processes."""

#: Seconds per second by which two clocks may diverge. Clocks of hosts are within 50
#: parts per million, and are adjusted by less than that.
MAX_DRIFT = 1e-4


class ClockOffset:
    """Bounds on the time of this process minus that of another one.

    A message from the other process carries a reading of its clock, which it took after
    a message of this process was sent and before its own arrived. So each exchange
    bounds the difference from both sides, however long the messages were on their way,
    and the shortest exchange gives the tightest bounds. The bounds of earlier exchanges
    are loosened, because the clocks drift. An exchange that contradicts them shows that
    a clock was set or stood still, and replaces them.

    Attributes
    ----------
    low, high : float
        Seconds; infinite before the first exchange.
    """

    __slots__ = ("low", "high", "_holds_at")

    def __init__(self):
        self.low = float("-inf")
        self.high = float("inf")
        # Time of this process at which the bounds hold.
        self._holds_at = float("-inf")

    @property
    def uncertainty(self):
        """Seconds between the bounds."""
        return self.high - self.low

    def add_exchange(self, *, sent_at, reading, received_at, resolution=0.0):
        """Add an exchange of messages.

        Parameters
        ----------
        sent_at : float
            When a message was sent that the other process received before it read its
            clock, in seconds on this process's clock.
        reading : float
            Seconds on the other process's clock.
        received_at : float
            When the reading arrived, in seconds on this process's clock; infinite if
            not known.
        resolution : float, default=0.0
            Seconds by which the reading may be too early or too late.

        Returns
        -------
        bool
            Whether the exchange agrees with the earlier ones.
        """
        self.loosen(sent_at if received_at == float("inf") else received_at)
        low = sent_at - resolution - reading
        low -= MAX_DRIFT * (self._holds_at - sent_at)
        high = received_at + resolution - reading
        high += MAX_DRIFT * max(0.0, self._holds_at - received_at)
        if low > self.high or high < self.low:
            self.low, self.high = low, high
            return False
        self.low = max(self.low, low)
        self.high = min(self.high, high)
        return True

    def loosen(self, now):
        """Allow for the drift of the clocks until a time.

        Parameters
        ----------
        now : float
            Seconds on this process's clock.
        """
        if now <= self._holds_at:
            return
        drift = MAX_DRIFT * (now - self._holds_at)
        self.low -= drift
        self.high += drift
        self._holds_at = now

    def seconds_until(self, uncertainty):
        """Return how long drift takes to loosen the bounds to an uncertainty.

        Parameters
        ----------
        uncertainty : float
            Seconds between the bounds.

        Returns
        -------
        float
            Seconds; negative if the bounds are looser.
        """
        return (uncertainty - self.uncertainty) / (2 * MAX_DRIFT)

    def earliest(self, reading):
        """Return a lower bound, on this clock, of a time on the other clock.

        Parameters
        ----------
        reading : float

        Returns
        -------
        float
            Negative infinity before the first exchange.
        """
        earliest = reading + self.low
        return earliest - MAX_DRIFT * abs(earliest - self._holds_at)

    def latest(self, reading):
        """Return an upper bound, on this clock, of a time on the other clock.

        Parameters
        ----------
        reading : float

        Returns
        -------
        float
            Infinity before the first exchange.
        """
        latest = reading + self.high
        return latest + MAX_DRIFT * abs(latest - self._holds_at)

    def earliest_reading(self, at):
        """Return a lower bound, on the other clock, of a time on this clock.

        Parameters
        ----------
        at : float
            Seconds on this process's clock.

        Returns
        -------
        float
            Negative infinity before the first exchange.
        """
        return at - self.high - MAX_DRIFT * abs(at - self._holds_at)
