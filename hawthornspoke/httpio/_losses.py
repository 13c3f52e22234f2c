"""Recent ends of connections by their peers."""

import collections
import enum
import math

#: Seconds for which an end is remembered. That of a connection that isn't read, as a
#: caller reads nothing, is found late.
RETENTION = 60.0

#: Maximum number of ends that are remembered.
MAX_ENDS = 4096


class LostState(enum.StrEnum):
    """What a connection was used for that its peer ended, though nothing was due to.

    A peer that closes a connection at its idle timeout, after a response that announces
    the close, or at the end of a response without framing loses nothing. Neither does
    one that resets a connection in use, to break off a response.
    """

    IDLE = "idle"
    WAITING = "waiting"
    ANSWERED_IN_PART = "answered_in_part"


class _ConnectionEnd:
    """The end of one connection."""

    __slots__ = ("address", "at", "opened_at")

    def __init__(self, *, address, at, opened_at):
        self.address, self.at, self.opened_at = address, at, opened_at


class ConnectionEnds:
    """Recent ends of connections to other processes, of one kind."""

    __slots__ = ("_ends",)

    def __init__(self):
        self._ends = collections.deque(maxlen=MAX_ENDS)

    def record(self, address, *, now, opened_at=-math.inf):
        """Record the end of a connection.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of its other end.
        now : float
            Seconds of any clock that doesn't go back.
        opened_at : float, default=-math.inf
            When the connection was opened, on the same clock.
        """
        while self._ends and self._ends[0].at < now - RETENTION:
            self._ends.popleft()
        self._ends.append(_ConnectionEnd(address=address, at=now, opened_at=opened_at))

    def covers(self, since, *, now):
        """Return whether all ends since a time are remembered.

        Parameters
        ----------
        since, now : float
            On the clock of ``record``.

        Returns
        -------
        bool
        """
        is_full = len(self._ends) == MAX_ENDS
        oldest = self._ends[0].at if is_full else now - RETENTION
        return since > max(oldest, now - RETENTION)

    def count_by_address(self, *, since, until=math.inf, min_age=0.0):
        """Return the number of ends in a time by the address of their peer.

        Parameters
        ----------
        since : float
            Within ``RETENTION``, on the clock of ``record``.
        until : float, default=math.inf
        min_age : float, default=0.0
            Minimum seconds for which the connections were open.

        Returns
        -------
        collections.Counter of str to int
        """
        return collections.Counter(
            end.address
            for end in self._ends
            if since <= end.at <= until and end.at - end.opened_at >= min_age
        )
