"""Lower bounds on the write times of rows, from the platform's clock."""

import collections

from hawthornspoke.catalog import UNKNOWN_TIME
from hawthornspoke.mirror._revision import era_of, is_newer, is_newer_in_era

#: Maximum number of answers kept: about ten seconds at three per second.
MAX_ANSWERS = 32


class PlatformClock:
    """Computes lower bounds on the write times of rows, on the clock of this host.

    An answer with a large configuration takes some tenths of a second over a narrow
    link. If its arrival were taken as the time of a declaration of weights, every
    process would use the old weights for that much longer than permitted.

    All transactions of the platform share one revision counter, and each answer
    contains its value and the platform's time. A row with a higher revision was
    therefore written after that answer was made. The platform can't make an answer
    before the query was sent, so each answer gives a lower bound on the offset between
    the clocks; the query with the shortest transit time gives the tightest one.

    A restore of the store begins a new era, in which its clock may show another time
    and its revisions are given out again. Nothing is derived from another era's
    answers.
    """

    __slots__ = ("_offset", "_max_offset", "_answers", "_newest_revision")

    def __init__(self):
        self._newest_revision = 0
        self._clear()

    def _clear(self):
        # Bounds on this host's time minus that of the platform.
        self._offset = float("-inf")
        self._max_offset = float("inf")
        self._answers = collections.deque(maxlen=MAX_ANSWERS)

    def add_answer(self, *, asked_at, made_at, revision, received_at=float("inf")):
        """Add an answer of the platform.

        Parameters
        ----------
        asked_at : float
            When the query was sent, in seconds on the clock of this host.
        made_at : float
            When the platform made the answer, in seconds on its own clock.
        revision : int
            Revision of the newest transaction at that time.
        received_at : float, default=inf
            When the answer arrived, in seconds on the clock of this host.
        """
        if era_of(revision) != era_of(self._newest_revision):
            if is_newer(self._newest_revision, revision):
                return
            self._clear()
        self._newest_revision = revision
        self._offset = max(self._offset, asked_at - made_at)
        self._max_offset = min(self._max_offset, received_at - made_at)
        self._answers.append((revision, made_at))

    @property
    def era(self):
        """Era of the answers, the unknown one before the first."""
        return era_of(self._newest_revision)

    def answer_time_bound(self, made_at, *, received_at):
        """Return a lower bound on the time at which an answer was made.

        Parameters
        ----------
        made_at : float
            Seconds on the platform's clock.
        received_at : float
            Seconds on the clock of this host. The result is never later, whatever the
            platform's clock says.

        Returns
        -------
        float
            Seconds on the clock of this host.
        """
        return min(made_at + self._offset, received_at)

    def last_answer_before(self, revision):
        """Return when the platform made its last answer before a row was written.

        Parameters
        ----------
        revision : int
            Revision of the transaction that wrote the row.

        Returns
        -------
        float or None
            Seconds on the platform's clock; None if there is no such answer.
        """
        before = [
            made_at
            for seen, made_at in self._answers
            if is_newer_in_era(revision, seen)
        ]
        return max(before, default=None)

    def earliest_platform_time(self, at):
        """Return a lower bound on the platform's time at a time of this host.

        Parameters
        ----------
        at : float
            Seconds on the clock of this host.

        Returns
        -------
        float or None
            Seconds on the platform's clock in the current era; None if not known.
        """
        return None if self._max_offset == float("inf") else at - self._max_offset

    def write_time_bound(self, revision, *, received_at):
        """Return a lower bound on the time at which a row was written.

        Parameters
        ----------
        revision : int
            Revision of the transaction that wrote the row.
        received_at : float
            When the answer with the row arrived, in seconds on the clock of this host.

        Returns
        -------
        float
            Seconds on the clock of this host; ``UNKNOWN_TIME`` if no answer was made
            before the row was written.
        """
        made_at = self.last_answer_before(revision)
        if made_at is None:
            return UNKNOWN_TIME
        return self.answer_time_bound(made_at, received_at=received_at)
