"""Numbers of entry hosts among which the rate of a cold endpoint is divided."""

from hawthornspoke.base import LargestRecent

#: Number of entry hosts that is assumed while it isn't reported.
ASSUMED_ENTRY_HOSTS = 60

#: Seconds for which a larger count still holds. A host that is cut off sees fewer hosts
#: than share the rate.
COUNT_MEMORY = 30.0

#: Seconds from the first reported count until it is used. Agents that start with the
#: hosts count only those that have connected to them so far.
SETTLING_TIME = 3.0


class HostCounts:
    """The numbers of entry hosts as reported by agents, or safe assumptions.

    Parameters
    ----------
    failure_domains : int
        Number of failure domains. Without a report the hosts are assumed to be spread
        evenly over them.
    """

    __slots__ = ("_assumed_near", "_near", "_all")

    def __init__(self, *, failure_domains):
        self._assumed_near = ASSUMED_ENTRY_HOSTS / max(1, failure_domains)
        self._near = LargestRecent(memory=COUNT_MEMORY, settling_time=SETTLING_TIME)
        self._all = LargestRecent(memory=COUNT_MEMORY, settling_time=SETTLING_TIME)

    def update(self, *, near, all_hosts, now, is_view_whole=True):
        """Record the counts.

        Parameters
        ----------
        near : int or None
            Hosts in the own failure domain, with this one; None if no agent reports
            them.
        all_hosts : int or None
            Hosts in all failure domains; None likewise.
        now : float
        is_view_whole : bool, default=True
            Whether agents in all failure domains are connected. If not, hosts that
            aren't seen may be cut off, and still send their part to cold endpoints.
        """
        if not is_view_whole:
            self._all.extend(now)
        if near is not None:
            self._near.add(near, now)
        if all_hosts is not None:
            self._all.add(all_hosts, now)

    def near(self, now):
        """Return the number of hosts in the own failure domain."""
        return self._near.value(now) or self._assumed_near

    def all(self, now):
        """Return the number of hosts in all failure domains."""
        count = self._all.value(now) or ASSUMED_ENTRY_HOSTS
        return max(count, self.near(now))

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"near": self.near(now), "all": self.all(now)}
