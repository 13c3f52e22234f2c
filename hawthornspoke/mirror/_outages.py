"""When an outage of the platform may have ended, as far as a host can tell."""

import collections

from hawthornspoke.catalog import UNKNOWN_TIME

#: Minimum seconds in which this host learned nothing of a table after which what it
#: finds may be assumed to be written at the end of an outage of the platform, since no
#: host could learn of it earlier. By the proven time, the weights declared before might
#: already have expired.
MIN_OUTAGE = 2.0

#: Maximum number of failed attempts kept. A failure that a neighbour reports may be an
#: attempt that still succeeds, so the newest one isn't always used.
MAX_ATTEMPTS = 8


class OutageTracker:
    """Estimates when the last outage ended in which a host missed rows of a table.

    It ended after the last attempt that failed, and before the one that succeeded. What
    was declared right after its end may be older than the latter by the pause between
    two attempts, so the estimate is the former. A host can't tell whether others could
    read the platform meanwhile, so this is an assumption that proves nothing.

    Parameters
    ----------
    started_at : float
        Start of the process, in seconds of ``boottime_clock``.

    Attributes
    ----------
    known_until : float
        Time up to which the table is known, ``UNKNOWN_TIME`` before the first answer.
    """

    __slots__ = ("known_until", "_started_at", "_failed_at")

    def __init__(self, *, started_at):
        self.known_until = UNKNOWN_TIME
        self._started_at = started_at
        self._failed_at = collections.deque(maxlen=MAX_ATTEMPTS)

    def record_failure(self, asked_at):
        """Record an attempt of this host or a neighbour to read the platform.

        Parameters
        ----------
        asked_at : float
            Lower bound on the time of the attempt, in seconds of ``boottime_clock``.
        """
        self._failed_at.append(asked_at)

    def ended_at(self, asked_at):
        """Return the assumed end of an outage before a successful query.

        Parameters
        ----------
        asked_at : float
            When the query was sent, in seconds of ``boottime_clock``.

        Returns
        -------
        float
            ``UNKNOWN_TIME`` unless this host has learned nothing for ``MIN_OUTAGE`` and
            attempts have failed since.
        """
        known_until = max(self.known_until, self._started_at)
        if asked_at - known_until < MIN_OUTAGE:
            return UNKNOWN_TIME
        return max(
            (at for at in self._failed_at if known_until < at < asked_at),
            default=UNKNOWN_TIME,
        )
