"""Interface and registry of the policies that decide by rank."""

from hawthornspoke.base import Registry

#: Policies by name, subclasses of ``RankPolicy``.
RANK_POLICIES = Registry(kind="admission policy")


class RankPolicy:
    """Decides how many slots of each engine a request has to leave free.

    Requests are ordered in steps: 0 for the most urgent rank, 1 for the next one. Those
    between two ranks, such as retries, have a fraction.

    Parameters
    ----------
    steps : int
        Number of ranks.
    rng : random.Random
    """

    __slots__ = ("steps", "rng")

    def __init__(self, *, steps, rng):
        self.steps = steps
        self.rng = rng

    def count(self, step, now, *, is_placed):
        """Count the first try of a request.

        Parameters
        ----------
        step : int
            By the request's rank alone.
        now : float
        is_placed : bool
            Whether an endpoint was selected.
        """

    def reserved_slots(self, step, capacity, now, *, scarcity):
        """Return the slots of each engine that a request has to leave free.

        Parameters
        ----------
        step : float
            Above 0; the most urgent requests need no decision.
        capacity : SharedCapacity
        now : float
        scarcity : float
            From 0, if all recent requests were placed, to 1.

        Returns
        -------
        float
            ``NO_SLOT`` if the request is to be refused.
        """
        raise NotImplementedError

    def dump(self, *, now):
        """Return the state as plain data."""
        return {}
