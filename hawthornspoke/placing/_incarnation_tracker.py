"""Tracks an endpoint's current incarnation from two sources that may lag.

An incarnation is one run of the endpoint's process, identified by its start time.
"""

from hawthornspoke.catalog import UNKNOWN_START

#: Earlier incarnations remembered for each source. Reports are late by seconds at
#: most, and an endpoint takes at least one second to start, so they name none older.
MAX_EARLIER_INCARNATIONS = 4


class _ReportHistory:
    """Incarnations reported by one source: the latest and some before it."""

    __slots__ = ("latest", "earlier")

    def __init__(self):
        self.latest = UNKNOWN_START
        self.earlier = []

    def record(self, incarnation):
        """Record an incarnation and return whether it differs from the latest."""
        if not incarnation.is_known or incarnation == self.latest:
            return False
        if incarnation in self.earlier:
            # Reported again, so it is no longer a past one.
            self.earlier.remove(incarnation)
        if self.latest.is_known:
            self.earlier.append(self.latest)
            del self.earlier[:-MAX_EARLIER_INCARNATIONS]
        self.latest = incarnation
        return True


class IncarnationTracker:
    """Determines which incarnation of an endpoint is current.

    The platform's endpoint list and the agent on the endpoint's host each report
    incarnations in the order in which they happened: list rows by revision, agent
    reports over one connection. There is no order between the two sources, and start
    times don't give one if a clock was set back. Either source may lag by seconds:
    the list on a host that is partitioned, the agent's report when a partition heals.
    A report is stale if the other source reported the same incarnation before and has
    moved on to another one; any other change is the newest incarnation.
    """

    __slots__ = ("current", "_list_history", "_agent_history")

    def __init__(self):
        self.current = UNKNOWN_START
        self._list_history = _ReportHistory()
        self._agent_history = _ReportHistory()

    def observe_listed(self, incarnation):
        """Record an incarnation from the endpoint list.

        Parameters
        ----------
        incarnation : Incarnation

        Returns
        -------
        bool
            Whether the current incarnation changed.
        """
        return self._observe(self._list_history, self._agent_history, incarnation)

    def observe_reported(self, incarnation):
        """Record an incarnation from the agent; see ``observe_listed``."""
        return self._observe(self._agent_history, self._list_history, incarnation)

    def _observe(self, history, other, incarnation):
        if not history.record(incarnation) or incarnation in other.earlier:
            return False
        restarted = self.current.differs_from(incarnation)
        self.current = incarnation
        return restarted
