"""How slow an endpoint is at the moment because it shares its host with other work.

Such contention comes and goes within a second, while an engine's pace and the number of
its requests hardly change. A request that is sent to a host in contention gets its
first token late although the engine has free slots.
"""

#: Seconds after which an observed slowdown says nothing more about the present. In
#: between it counts for less and less, and the mean of the endpoint for the rest.
OBSERVATION_TIME = 0.6

#: Smoothing factor of the mean slowdown, by observation.
MEAN_ALPHA = 0.05


class Contention:
    """Estimates the present slowdown of one endpoint from observations.

    Attributes
    ----------
    mean : float
        Mean slowdown.
    """

    __slots__ = ("mean", "_observed", "_observed_at")

    def __init__(self):
        self.mean = 1.0
        self._observed = 1.0
        self._observed_at = float("-inf")

    def observe(self, slowdown, now):
        """Record the slowdown that the endpoint or its agent has reported.

        Parameters
        ----------
        slowdown : float
            1 if work takes as long as usual.
        now : float
        """
        self.mean += MEAN_ALPHA * (slowdown - self.mean)
        self._observed = slowdown
        self._observed_at = now

    def slowdown(self, now):
        """Return the expected slowdown at present.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        weight = 1.0 - (now - self._observed_at) / OBSERVATION_TIME
        if weight <= 0.0:
            return self.mean
        return self.mean + weight * (self._observed - self.mean)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"mean": round(self.mean, 3), "present": round(self.slowdown(now), 3)}
