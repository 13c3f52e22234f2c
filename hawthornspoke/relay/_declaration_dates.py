"""Dates of declarations by the reports of an agent on one connection."""

from hawthornspoke.peering import DatedReport, DeclarationReport

#: Seconds by which a bound of a declaration must become tighter to be used. Ages are
#: stated in whole milliseconds.
MIN_TIGHTENING = 0.002

#: Declarations per agent whose bounds are remembered.
MAX_DATED_VERSIONS = 8


class DeclarationDates:
    """Dates the declarations that an agent reports on one connection.

    A report states when it was made, on the agent's clock, and readings of both clocks
    that are exchanged on the connection bound that time. Any report was made after the
    connection was requested, which is all that is known without an exchange, or if the
    agent is of an older version and doesn't state the time. A host that dated a report
    by its arrival would take a declaration for younger by the time that the report
    waited in a queue.

    Parameters
    ----------
    opened_at : float
        When the connection was requested, in seconds of ``boottime_clock``.
    on_unusable : callable
        See ``LinkClock``.

    """

    __slots__ = ("_opened_at", "_dated", "_bounds_by_version")

    def __init__(self, *, opened_at, on_unusable):
        self._opened_at = opened_at
        self._dated = DatedReport(on_unusable=on_unusable)
        self._bounds_by_version = {}

    @property
    def clock(self):
        """The LinkClock of the connection."""
        return self._dated.clock

    @property
    def model(self):
        """Model of the last report; empty if it names none."""
        report = self._dated.report
        return "" if report is None else report.model or ""

    @property
    def reached_until(self):
        """Until when messages have reached the agent, as far as known."""
        return max(self._opened_at, self.clock.reached_until)

    def add_report(self, state, *, now):
        """Add a report.

        Parameters
        ----------
        state : EngineState
        now : float
            Current time of ``boottime_clock``.

        Returns
        -------
        tuple of (tuple of DeclarationBounds, float)
            Bounds that are tighter than those returned before, and the earliest time at
            which the report can have been made.
        """
        report = self._dated.report
        if report is None or state.model != report.model:
            self._bounds_by_version = {}
        self._dated.report = DeclarationReport.from_state(state)
        return self.update(now=now), self._made_between(now)[0]

    def update(self, *, now):
        """Return the bounds by the last report that have become tighter.

        Parameters
        ----------
        now : float
            Current time of ``boottime_clock``.

        Returns
        -------
        tuple of DeclarationBounds
        """
        report = self._dated.report
        if report is None or not report.declared:
            return ()
        self._dated.want_exchange(now)
        earliest, latest = self._made_between(now)
        changed = tuple(
            bounds
            for bounds in report.bounds(earliest_made=earliest, latest_made=latest)
            if self._is_tighter(bounds)
        )
        self._bounds_by_version.update({item.version: item for item in changed})
        for version in sorted(self._bounds_by_version)[:-MAX_DATED_VERSIONS]:
            del self._bounds_by_version[version]
        return changed

    def _made_between(self, now):
        earliest, latest = self._dated.made_between(now)
        if latest < self._opened_at:
            # A wrong clock, by which the report was made before the connection.
            return self._opened_at, now
        return max(earliest, self._opened_at), latest

    def _is_tighter(self, bounds):
        known = self._bounds_by_version.get(bounds.version)
        return (
            known is None
            or bounds.earliest > known.earliest + MIN_TIGHTENING
            or bounds.latest < known.latest - MIN_TIGHTENING
        )
