"""How many entry hosts share the limits that hold for all of them together."""

from hawthornspoke.base import LargestRecent

#: Number of entry hosts that is assumed until an agent reports it.
ASSUMED_ENTRY_HOSTS = 20

#: Seconds for which a host that is no longer reported still counts.
COUNT_MEMORY = 30.0

#: Seconds from the first report until the number is relied on: agents count only the
#: hosts that have connected to them so far.
SETTLING_TIME = 3.0


class EntryHostCount:
    """The number of entry hosts, as reported by agents.

    Parameters
    ----------
    reported : callable
        Returns the number that agents report now, 0 or None if none does.

    Notes
    -----
    If each host uses an equal part of a limit, a number that is too small breaks the
    limit; one that is too large only wastes some of it. So a larger number holds at
    once, and a smaller one only after ``COUNT_MEMORY``, and not while this host may be
    cut off from some failure domains: it can't tell then whether the hosts there have
    ended.
    """

    __slots__ = ("_reported", "_largest")

    def __init__(self, *, reported):
        self._reported = reported
        self._largest = LargestRecent(memory=COUNT_MEMORY, settling_time=SETTLING_TIME)

    def update(self, *, is_view_whole, now):
        """Record the number that is reported now.

        Parameters
        ----------
        is_view_whole : bool
            Whether agents in all failure domains are connected.
        now : float
            On the boot-time clock.
        """
        reported = self._reported()
        if not is_view_whole:
            if self.settled(now) is None:
                self._largest.clear()
                return
            self._largest.extend(now)
        if reported:
            self._largest.add(reported, now)

    def settle(self, number, now):
        """Rely on a number that agents remember, from now on.

        Parameters
        ----------
        number : int
        now : float
            On the boot-time clock.
        """
        self._largest.settle(number, now)

    def settled(self, now):
        """Return the number, None if too few hosts may be known.

        Parameters
        ----------
        now : float
            On the boot-time clock.

        Returns
        -------
        int or None
        """
        return self._largest.value(now)

    def largest(self, now):
        """Return the largest number of the recent past or now, or a guess.

        Parameters
        ----------
        now : float
            On the boot-time clock.

        Returns
        -------
        int
        """
        number = max(self.settled(now) or 0, self._reported() or 0)
        return number or ASSUMED_ENTRY_HOSTS

    def current(self):
        """Return the number that is reported now, or a guess.

        Returns
        -------
        int
        """
        return self._reported() or ASSUMED_ENTRY_HOSTS
