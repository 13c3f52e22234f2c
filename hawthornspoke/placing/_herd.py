"""How many requests other entry hosts send to an engine between two of its reports.

All entry hosts see the same reports. When one engine of a full fleet reports a free
slot, each of them sends it the next request that it has: 26 of 34 hosts did within
80 ms, the engine shed half of these and began the others 1.2 s late. So a host adds
to a reported load what the others will have sent since.
"""

import math

#: Seconds over which the rate of questions is measured: long enough for a dozen
#: requests of one host, short beside a burst.
RATE_TIME_CONSTANT = 1.0

#: Seconds of a report's age from which it tells no more about the moment. Older
#: reports come from engines that are quiet, or from hosts that are cut off.
MAX_REPORT_AGE = 1.0


class DecayingRate:
    """Events a second, with exponentially less weight on older ones."""

    __slots__ = ("_value", "_updated_at")

    def __init__(self):
        self._value = 0.0
        self._updated_at = 0.0

    def count(self, now):
        """Count one event."""
        self._value = self.value(now) + 1 / RATE_TIME_CONSTANT
        self._updated_at = now

    def value(self, now):
        """Return events a second."""
        return self._value * math.exp((self._updated_at - now) / RATE_TIME_CONSTANT)


class PeerTraffic:
    """Other entry hosts' share in the load of engines.

    Attributes
    ----------
    near_hosts, all_hosts : int
        Entry hosts of the own failure domain, and of all, this one too.
    """

    __slots__ = ("near_hosts", "all_hosts", "_request_rate", "_overflow_rate")

    def __init__(self):
        self.near_hosts = 1
        self.all_hosts = 1
        self._request_rate = DecayingRate()
        self._overflow_rate = DecayingRate()

    def count_request(self, now):
        """Count a request for the engines."""
        self._request_rate.count(now)

    def count_overflow(self, now):
        """Count a request for which no engine of the own failure domain had room."""
        self._overflow_rate.count(now)

    def arrivals(self, *, near, now):
        """Return the requests a second that the other hosts send, all together.

        Near engines get all requests of the hosts near them. Far ones get only what
        overflows, and may get it from every host.

        Parameters
        ----------
        near : bool
        now : float

        Returns
        -------
        float
        """
        if near:
            return self._request_rate.value(now) * (self.near_hosts - 1)
        return self._overflow_rate.value(now) * (self.all_hosts - 1)


def estimated_growth(*, arrivals, engines_with_room, load, slot_time, slots, age):
    """Return the requests by which an engine's load has grown since it was told.

    Parameters
    ----------
    arrivals : float
        Requests a second, for all engines that have room.
    sharing : int
        How many have.
    load : int
        Requests there as far as is known.
    holding : float
        Seconds that a request holds its slot.
    slots : int
    age : float or None
        Seconds since the load was told.

    Returns
    -------
    float
        What comes less what ends meanwhile; not below 0.
    """
    if age is None:
        return 0.0
    completions = min(load, slots) / slot_time
    growth = arrivals / max(1, engines_with_room) - completions
    return max(0.0, growth) * min(age, MAX_REPORT_AGE)
