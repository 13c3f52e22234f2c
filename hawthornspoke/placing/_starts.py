"""Which start of an endpoint holds, from two words that are late now and then."""

from hawthornspoke.catalog import UNKNOWN_START

#: Earlier starts that are remembered of each word. A word that is late is late by
#: seconds, and an endpoint needs one at the least to start.
KEPT = 4


class _Word:
    """What one of the two told: the start now, and those before it."""

    __slots__ = ("now", "before")

    def __init__(self):
        self.now = UNKNOWN_START
        self.before = []

    def take(self, incarnation):
        """Take a start; return whether it is another one than before."""
        if not incarnation.is_known or incarnation == self.now:
            return False
        if incarnation in self.before:
            # It is told anew, so it is past no longer.
            self.before.remove(incarnation)
        if self.now.is_known:
            self.before.append(self.now)
            del self.before[:-KEPT]
        self.now = incarnation
        return True


class Starts:
    """The start of one endpoint that holds.

    The platform's list and the agent beside the endpoint each tell starts in the
    order in which they happened: rows by their revision, the agent's looks over one
    connection. Between the two there is no such order, and the times of two starts
    give none where a clock was put back. Either may be late by seconds: the list of
    a host that is cut off, the agent's word in a cut that heals. What shows that a
    word is late is that the other told this start before and has gone on to
    another; whatever else a word changes to is the newest start.
    """

    __slots__ = ("current", "_listed", "_told")

    def __init__(self):
        self.current = UNKNOWN_START
        self._listed = _Word()
        self._told = _Word()

    def hear_list(self, incarnation):
        """Take the list's word.

        Parameters
        ----------
        incarnation : Incarnation

        Returns
        -------
        bool
            Whether another start holds now.
        """
        return self._hear(self._listed, self._told, incarnation)

    def hear_agent(self, incarnation):
        """Take the agent's word; see ``hear_list``."""
        return self._hear(self._told, self._listed, incarnation)

    def _hear(self, word, other, incarnation):
        if not word.take(incarnation) or incarnation in other.before:
            return False
        is_new = self.current.differs_from(incarnation)
        self.current = incarnation
        return is_new
