"""Shares of requests served, by rank."""

from hawthornspoke.base import DecayingRate

#: Time constant in seconds of the counts. Callers who are refused for 8 s notice it;
#: half of that leaves time to serve them again within these 8 s.
TIME_CONSTANT = 4.0

#: Shares of the mean served share below which a rank begins to starve, and is starved.
#: Between them a part of its requests is helped: the hosts would otherwise admit all of
#: them, and then none, at the same time.
STARVING_SHARE = 0.6
STARVED_SHARE = 0.5

#: Requests by which a rank counts as served like the mean before it has asked. A host
#: may get one request of a rank in several seconds; with more, the refusal of the last
#: one would not help the next one.
PRIOR_REQUESTS = 0.25

#: Requests within the time constant below which a share is not shown.
MIN_REQUESTS = 2.0


class ServedShares:
    """Counts which shares of requests this host has served, by rank."""

    __slots__ = ("_asked_by_rank", "_served_by_rank", "_asked", "_served")

    def __init__(self):
        self._asked_by_rank = {}
        self._served_by_rank = {}
        self._asked = DecayingRate(time_constant=TIME_CONSTANT)
        self._served = DecayingRate(time_constant=TIME_CONSTANT)

    def count(self, rank, now, *, is_placed):
        """Count a request.

        Parameters
        ----------
        rank : int
        now : float
        is_placed : bool
            Whether an endpoint was selected for it.
        """
        if rank not in self._asked_by_rank:
            self._asked_by_rank[rank] = DecayingRate(time_constant=TIME_CONSTANT)
            self._served_by_rank[rank] = DecayingRate(time_constant=TIME_CONSTANT)
        self._asked_by_rank[rank].count(now)
        self._asked.count(now)
        if is_placed:
            self._served_by_rank[rank].count(now)
            self._served.count(now)

    def share(self, rank, now):
        """Return the share of a rank's requests that was served.

        Parameters
        ----------
        rank : int
        now : float

        Returns
        -------
        float
            1 if there were none.
        """
        rate = self._asked_by_rank.get(rank)
        asked = 0.0 if rate is None else rate.value(now)
        return self._served_by_rank[rank].value(now) / asked if asked > 0.0 else 1.0

    def starvation(self, rank, now):
        """Return how far a rank's share is below its bounds.

        Parameters
        ----------
        rank : int
        now : float

        Returns
        -------
        float
            0 above ``STARVING_SHARE`` of the mean, 1 below ``STARVED_SHARE`` of it.
        """
        rate = self._asked_by_rank.get(rank)
        if rate is None:
            return 0.0
        mean = self._served.value(now) / self._asked.value(now)
        if mean <= 0.0:
            return 0.0
        asked = rate.value(now) * TIME_CONSTANT
        served = self._served_by_rank[rank].value(now) * TIME_CONSTANT
        relative = served / mean + PRIOR_REQUESTS
        relative /= asked + PRIOR_REQUESTS
        below = (STARVING_SHARE - relative) / (STARVING_SHARE - STARVED_SHARE)
        return min(1.0, max(0.0, below))

    def placed_share(self, is_included, now):
        """Return the share of some ranks in all placed requests.

        Parameters
        ----------
        is_included : callable
            Returns whether a rank is one of them.
        now : float

        Returns
        -------
        float
            1 if nothing was placed.
        """
        placed = self._served.value(now)
        if placed <= 0.0:
            return 1.0
        included = sum(
            rate.value(now)
            for rank, rate in self._served_by_rank.items()
            if is_included(rank)
        )
        return min(1.0, included / placed)

    def dump(self, *, now):
        """Return the share of requests served, by rank."""
        return {
            str(rank): round(
                self._served_by_rank[rank].value(now) / asked.value(now), 3
            )
            for rank, asked in self._asked_by_rank.items()
            if asked.value(now) * TIME_CONSTANT >= MIN_REQUESTS
        }
