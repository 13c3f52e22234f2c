"""Estimates the outstanding prefill work of an engine, as seen by one entry host.

Guards against bursts: after a gap, or while engines load new weights, a dozen requests
reach one engine within a tenth of a second. It has slots for all of them but processes
their prompts one after the other, so the first token of the last request is half a
second late. Slot counts don't show that.
"""

#: Growth in load between two reports that isn't attributed to other hosts: a request
#: of this host may reach the engine only after the next report was made.
IN_FLIGHT_ALLOWANCE = 1

#: Interval between two reports in seconds above which growth in load is ignored, since
#: it is too uncertain when the additional requests arrived.
MAX_REPORT_INTERVAL = 1.0


class PrefillBacklog:
    """Tracks until when an engine is busy with the prefill of known prompts.

    Attributes
    ----------
    busy_until : float
    """

    __slots__ = ("busy_until",)

    def __init__(self):
        self.busy_until = float("-inf")

    def remaining(self, now):
        """Return the remaining prefill time in seconds.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
        """
        return max(0.0, self.busy_until - now)

    def add(self, seconds, now):
        """Add the prefill of one or more prompts.

        Parameters
        ----------
        seconds : float
            Prefill time.
        now : float
        """
        self.busy_until = max(self.busy_until, now) + seconds

    def add_remote_requests(self, *, growth, age, mean_prefill_time, now):
        """Add the prompts of other hosts, estimated from the growth in load.

        Parameters
        ----------
        growth : int
            Reported load less the load assumed before the report.
        age : float or None
            Seconds since the previous report; None if there was none.
        mean_prefill_time : float
            Prefill time in seconds of a prompt of mean length.
        now : float
        """
        if (
            age is not None
            and age < MAX_REPORT_INTERVAL
            and growth > IN_FLIGHT_ALLOWANCE
        ):
            self.add((growth - IN_FLIGHT_ALLOWANCE) * mean_prefill_time, now)
