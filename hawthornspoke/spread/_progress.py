"""When a transfer will be whole, by how fast its pieces come."""

import collections

#: Seconds over which the pace is measured: some twenty pieces on the narrowest link.
WINDOW = 1.5

#: Seconds without a piece after which nothing is foretold: the origin is away, or the
#: hosts that hold the rest are.
SILENT_AFTER = 0.6

#: Pieces that the pace is measured by at the least.
LEAST_PIECES = 4


class Progress:
    """Pieces of one version as they come."""

    __slots__ = ("_missing_by_time",)

    def __init__(self):
        self._missing_by_time = collections.deque()

    def note(self, missing, now):
        """Take that a piece came.

        Parameters
        ----------
        missing : int
            Pieces that are still to come.
        now : float
        """
        self._missing_by_time.append((now, missing))
        while self._missing_by_time[0][0] < now - WINDOW:
            self._missing_by_time.popleft()

    def whole_at(self, now):
        """Return when the last piece is expected, None if that can't be told.

        Parameters
        ----------
        now : float

        Returns
        -------
        float or None
        """
        if len(self._missing_by_time) < LEAST_PIECES:
            return None
        (first_at, most), (last_at, missing) = (
            self._missing_by_time[0],
            self._missing_by_time[-1],
        )
        if now >= last_at + SILENT_AFTER or most <= missing:
            return None
        return max(now, last_at + missing * (last_at - first_at) / (most - missing))
