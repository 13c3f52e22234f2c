"""From when what a table says may date, by the platform's own clock."""

import collections

from hawthornspoke.catalog import UNKNOWN

#: Answers that are remembered: those of some ten seconds at three a second.
KEPT = 32


class PlatformClock:
    """Tells before which moment a row was not written, on a clock of this host.

    An answer with a large configuration takes some tenths of a second over a narrow
    link. If the moment at which it arrives were taken for the moment of the change,
    every process would grant old weights that time beyond their bound.

    All transactions of the platform share one counter, and each answer tells its
    value and the platform's time. So a row with a higher revision was written after
    that answer was made. The platform can't make an answer before it is asked, so each
    answer bounds the difference between the clocks from below; the quickest question
    bounds it best.
    """

    __slots__ = ("_offset", "_answers")

    def __init__(self):
        self._offset = float("-inf")
        self._answers = collections.deque(maxlen=KEPT)

    def note(self, *, asked_at, made_at, revision):
        """Take an answer.

        Parameters
        ----------
        asked_at : float
            On the clock of this host.
        made_at : float
            When the platform made the answer, on its own clock.
        revision : int
            Of the newest transaction then.
        """
        self._offset = max(self._offset, asked_at - made_at)
        self._answers.append((revision, made_at))

    def earliest(self, made_at, *, received_at):
        """Return a moment on this host's clock before which an answer was not made.

        Parameters
        ----------
        made_at : float
        received_at : float
            On the clock of this host; no answer is later than its arrival, whatever
            the platform's clock says.

        Returns
        -------
        float
        """
        return min(made_at + self._offset, received_at)

    def last_without(self, revision):
        """Return when the platform last answered before a row was written.

        Parameters
        ----------
        revision : int
            Of the transaction that wrote the row.

        Returns
        -------
        float or None
            On the platform's own clock; None if there was no such answer.
        """
        before = [made_at for seen, made_at in self._answers if seen < revision]
        return max(before, default=None)

    def written_after(self, revision, *, received_at):
        """Return a moment on this host's clock before which a row was not written.

        Parameters
        ----------
        revision : int
            Of the transaction that wrote the row.
        received_at : float
            When the answer with the row arrived, on the clock of this host.

        Returns
        -------
        float
            ``UNKNOWN`` if no answer was made before the row was written.
        """
        made_at = self.last_without(revision)
        if made_at is None:
            return UNKNOWN
        return self.earliest(made_at, received_at=received_at)
