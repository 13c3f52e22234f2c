"""Estimates the requests other entry hosts send to an engine between two reports.

All entry hosts see the same reports. If one engine of a full fleet reports a free slot,
each host sends it its next request: 26 of 34 hosts did so within 80 ms, and the engine
shed half of these requests and started the others 1.2 s late. A host therefore adds the
expected requests of the others to a reported load.
"""

from dataclasses import dataclass

from hawthornspoke.base import DecayingRate

#: Report age in seconds above which the estimate stops growing. Older reports come from
#: idle engines or from partitioned hosts.
MAX_REPORT_AGE = 1.0

#: Time constant in seconds of the rates that hosts exchange.
EXCHANGED_RATE_TIME = 4.0

#: Requests per second added to both rates before their ratio is taken, so that a few
#: requests don't decide it.
PRIOR_RATE = 4.0

#: Ratios between this one and its inverse count as equal demand. The rate of a host in
#: the last second then is the better estimate for the others too: it rises with the
#: requests that they all get during a burst.
MIN_UNEVEN_RATIO = 4.0


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestRates:
    """Requests per second of one entry host, or of several together.

    Parameters
    ----------
    requests : float
        For a service's engines.
    overflow : float
        Those for which the own failure domain had no capacity.
    """

    requests: float
    overflow: float


class PeerTraffic:
    """Estimates the request rate of the other entry hosts.

    Each of them is assumed to get as many requests as this host, unless agents report
    that they get far fewer or far more.

    Attributes
    ----------
    near_hosts, all_hosts : int
        Entry hosts in the own failure domain, and in all, including this one.
    """

    __slots__ = (
        "near_hosts",
        "all_hosts",
        "_request_rate",
        "_overflow_rate",
        "_exchanged_request_rate",
        "_exchanged_overflow_rate",
        "_near_ratio",
        "_far_ratio",
    )

    def __init__(self):
        self.near_hosts = 1
        self.all_hosts = 1
        self._request_rate = DecayingRate()
        self._overflow_rate = DecayingRate()
        self._exchanged_request_rate = DecayingRate(time_constant=EXCHANGED_RATE_TIME)
        self._exchanged_overflow_rate = DecayingRate(time_constant=EXCHANGED_RATE_TIME)
        self._near_ratio = 1.0
        self._far_ratio = 1.0

    def count_request(self, now):
        """Count a request for the service's engines."""
        self._request_rate.count(now)
        self._exchanged_request_rate.count(now)

    def count_overflow(self, now):
        """Count a request for which the own failure domain had no capacity."""
        self._overflow_rate.count(now)
        self._exchanged_overflow_rate.count(now)

    def own_rates(self, now):
        """Return the RequestRates of this host, as the agents sum them up."""
        return RequestRates(
            requests=self._exchanged_request_rate.value(now),
            overflow=self._exchanged_overflow_rate.value(now),
        )

    def update_sums(self, sums, *, now):
        """Update from the sums over all hosts that agents report.

        Parameters
        ----------
        sums : RequestRates or None
            Requests of the hosts in the own failure domain, and overflow of all hosts,
            including this one; None if no agent has reported any.
        now : float
        """
        self._near_ratio = self._far_ratio = 1.0
        if sums is None:
            return
        own = self.own_rates(now)
        self._near_ratio = _demand_ratio(sums.requests, own.requests, self.near_hosts)
        self._far_ratio = _demand_ratio(sums.overflow, own.overflow, self.all_hosts)

    def arrival_rate(self, *, near, now):
        """Return the total requests per second of the other hosts.

        Near engines (those of the own failure domain) get all requests of its hosts.
        Far engines get only overflow, possibly from every host.

        Parameters
        ----------
        near : bool
        now : float

        Returns
        -------
        float
        """
        if near:
            own_rate = self._request_rate.value(now)
            return own_rate * (self.near_hosts - 1) * self._near_ratio
        own_rate = self._overflow_rate.value(now)
        return own_rate * (self.all_hosts - 1) * self._far_ratio


def _demand_ratio(total, own, hosts):
    """Return the demand at the other hosts relative to equal demand at all hosts.

    1.0 unless demand is clearly uneven.
    """
    others = max(0.0, total - own)
    ratio = (others + PRIOR_RATE) / (own * (hosts - 1) + PRIOR_RATE)
    if 1 / MIN_UNEVEN_RATIO <= ratio <= MIN_UNEVEN_RATIO:
        return 1.0
    return ratio


def estimated_growth(*, arrival_rate, engines_with_room, load, slot_time, slots, age):
    """Return the estimated growth in an engine's load since it was reported.

    Parameters
    ----------
    arrival_rate : float
        Requests per second for all engines with free slots.
    engines_with_room : int
        Number of these engines.
    load : int
        Requests at the engine according to the report.
    slot_time : float
        Seconds for which a request holds its slot.
    slots : int
    age : float or None
        Seconds since the report.

    Returns
    -------
    float
        Arrivals less completions, at least 0.
    """
    if age is None:
        return 0.0
    completions = min(load, slots) / slot_time
    growth = arrival_rate / max(1, engines_with_room) - completions
    return max(0.0, growth) * min(age, MAX_REPORT_AGE)
