"""State machine, without I/O, that estimates the queueing delay of a host's link."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Number of latest probes that count. Probes alternate between entry hosts, so that one
#: unresponsive host is not mistaken for a congested link.
RECENT_PROBES = 2


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeSent:
    """A probe was sent.

    Parameters
    ----------
    number : int
        Sequence number of the probe.
    """

    number: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ProbeEnded:
    """A probe was answered or failed.

    Parameters
    ----------
    number : int
    answered : bool
        False if it timed out or its connection was closed.
    """

    number: int
    answered: bool


@MACHINES.register("link")
class LinkDelayEstimator(Machine):
    """Estimates the queueing delay of this host's link from probe round-trip times.

    The link becomes congested when its bandwidth is reduced or pieces fill it. Requests
    then reach the engine up to two seconds late, some after their callers have
    disconnected, while the engine itself reports a low load. Only traffic that crosses
    the link shows this.

    Parameters
    ----------
    least_kept : float, default=30.0
        Seconds after which the minimum round-trip time is measured anew.
    """

    __slots__ = (
        "least_kept",
        "_sent_at_by_number",
        "_recent_delays",
        "_min_rtt",
        "_min_rtt_at",
    )
    PARAMS = {"least_kept": Bounds(kind=(int, float), low=0)}

    def __init__(self, *, least_kept=30.0):
        self.least_kept = least_kept
        self._sent_at_by_number = {}
        self._recent_delays = {}
        self._min_rtt = None
        self._min_rtt_at = 0.0

    def on_probe_sent(self, message, *, now):
        """Record the time at which a probe was sent."""
        self._sent_at_by_number[message.number] = now
        return []

    def on_probe_ended(self, message, *, now):
        """Record a probe's round-trip time; a failed probe is ignored."""
        sent_at = self._sent_at_by_number.pop(message.number, None)
        if sent_at is None or not message.answered:
            return []
        rtt = now - sent_at
        is_current = (
            self._min_rtt is not None and now < self._min_rtt_at + self.least_kept
        )
        if not is_current or rtt <= self._min_rtt:
            self._min_rtt, self._min_rtt_at = rtt, now
        self._recent_delays[message.number] = rtt - self._min_rtt
        for number in sorted(self._recent_delays)[:-RECENT_PROBES]:
            del self._recent_delays[number]
        return []

    def delay(self, now):
        """Return the queueing delay of a round trip in seconds.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
            Minimum over the latest probes. An unanswered probe counts with the time
            since it was sent, less the minimum round-trip time.
        """
        delay_by_number = dict(self._recent_delays)
        for number, sent_at in self._sent_at_by_number.items():
            overdue = now - sent_at - (self._min_rtt or 0.0)
            if overdue > 0:
                delay_by_number[number] = overdue
        latest = sorted(delay_by_number)[-RECENT_PROBES:]
        return min((delay_by_number[number] for number in latest), default=0.0)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"delay": round(self.delay(now), 3), "least": self._min_rtt}
