"""The last report of declarations on a connection, and when it was made."""

from hawthornspoke.peering._link_clock import LinkClock


class DatedReport:
    """Bounds the time of the last DeclarationReport by the clocks of a connection.

    Parameters
    ----------
    on_unusable : callable or None, default=None
        See ``LinkClock``.

    Attributes
    ----------
    clock : LinkClock
    report : DeclarationReport or None
        None before the first.
    """

    __slots__ = ("clock", "report")

    def __init__(self, *, on_unusable=None):
        self.clock = LinkClock(on_unusable=on_unusable)
        self.report = None

    def want_exchange(self, now):
        """Let the clocks be compared again if that dates the report more closely.

        Parameters
        ----------
        now : float
            Seconds of ``boottime_clock``.
        """
        if self.report is not None and self.report.declared:
            self.clock.want_exchange_for(self.report.made_us, now)

    def made_between(self, now):
        """Return bounds on the time at which the report was made.

        Parameters
        ----------
        now : float
            Seconds of ``boottime_clock``.

        Returns
        -------
        tuple of float
            See ``LinkClock``; unknown and ``now`` without a report.
        """
        made_us = None if self.report is None else self.report.made_us
        return self.clock.made_between(made_us, now)
