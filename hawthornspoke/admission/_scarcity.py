"""How scarce engines are, by what this host has refused."""

from hawthornspoke.base import DecayingRate

#: Time constant in seconds of the counts: a dozen requests of one host.
TIME_CONSTANT = 2.0

#: Share of refused requests below which there is no scarcity, and from which it is 1.
MIN_REFUSED_SHARE = 0.02
MAX_REFUSED_SHARE = 0.2


class Scarcity:
    """Measures scarcity from 0 to 1 by the share of requests refused."""

    __slots__ = ("_asked", "_refused")

    def __init__(self):
        self._asked = DecayingRate(time_constant=TIME_CONSTANT)
        self._refused = DecayingRate(time_constant=TIME_CONSTANT)

    def count(self, now, *, is_placed):
        """Count the first try of a request.

        Parameters
        ----------
        now : float
        is_placed : bool
            Whether an endpoint was selected.
        """
        self._asked.count(now)
        if not is_placed:
            self._refused.count(now)

    def value(self, now):
        """Return the scarcity.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
            0 if next to nothing was refused in the last seconds.
        """
        refused = self._refused.value(now)
        if refused <= 0.0:
            return 0.0
        share = refused / self._asked.value(now)
        if share < MIN_REFUSED_SHARE:
            return 0.0
        return min(1.0, share / MAX_REFUSED_SHARE)
