"""Exponentially decaying averages."""

import math


class DecayingRate:
    """Events per second as an exponentially weighted moving average.

    Parameters
    ----------
    time_constant : float, default=1.0
        Seconds. The default is long enough for a dozen requests of one host and short
        compared with a burst.
    """

    __slots__ = ("time_constant", "_value", "_updated_at")

    def __init__(self, *, time_constant=1.0):
        self.time_constant = time_constant
        self._value = 0.0
        self._updated_at = 0.0

    def count(self, now, amount=1):
        """Count one event, or an amount of something.

        Parameters
        ----------
        now : float
        amount : float, default=1
        """
        self._value = self.value(now) + amount / self.time_constant
        self._updated_at = now

    def value(self, now):
        """Return the amount per second.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return self._value * math.exp((self._updated_at - now) / self.time_constant)
