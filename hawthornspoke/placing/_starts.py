"""Which start of an endpoint holds, from two words that are late now and then."""

from hawthornspoke.catalog import UNKNOWN_START

#: Earlier starts that are remembered of each word. A word that is late is late by
#: seconds, and an endpoint needs one at the least to start.
MAX_EARLIER_INCARNATIONS = 4


class _ReportHistory:
    """What one of the two told: the start now, and those before it."""

    __slots__ = ("latest", "earlier")

    def __init__(self):
        self.latest = UNKNOWN_START
        self.earlier = []

    def record(self, incarnation):
        """Take a start; return whether it is another one than before."""
        if not incarnation.is_known or incarnation == self.latest:
            return False
        if incarnation in self.earlier:
            # It is told anew, so it is past no longer.
            self.earlier.remove(incarnation)
        if self.latest.is_known:
            self.earlier.append(self.latest)
            del self.earlier[:-MAX_EARLIER_INCARNATIONS]
        self.latest = incarnation
        return True


class IncarnationTracker:
    """The start of one endpoint that holds.

    The platform's list and the agent beside the endpoint each tell starts in the
    order in which they happened: rows by their revision, the agent's looks over one
    connection. Between the two there is no such order, and the times of two starts
    give none where a clock was put back. Either may be late by seconds: the list of
    a host that is cut off, the agent's word in a cut that heals. What shows that a
    word is late is that the other told this start before and has gone on to
    another; whatever else a word changes to is the newest start.
    """

    __slots__ = ("current", "_list_history", "_agent_history")

    def __init__(self):
        self.current = UNKNOWN_START
        self._list_history = _ReportHistory()
        self._agent_history = _ReportHistory()

    def observe_listed(self, incarnation):
        """Take the list's word.

        Parameters
        ----------
        incarnation : Incarnation

        Returns
        -------
        bool
            Whether another start holds now.
        """
        return self._observe(self._list_history, self._agent_history, incarnation)

    def observe_reported(self, incarnation):
        """Take the agent's word; see ``observe_listed``."""
        return self._observe(self._agent_history, self._list_history, incarnation)

    def _observe(self, history, other, incarnation):
        if not history.record(incarnation) or incarnation in other.earlier:
            return False
        restarted = self.current.differs_from(incarnation)
        self.current = incarnation
        return restarted
