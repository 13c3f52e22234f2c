"""Trunk reservation: the last free slots are left to more urgent requests."""

import math

from hawthornspoke.admission._capacity import NO_SLOT
from hawthornspoke.admission._policy import RANK_POLICIES, RankPolicy
from hawthornspoke.base import DecayingRate

#: Mean number of free slots of an engine at which the second rank gets none. Engines
#: differ by a few requests, and most of them then have a free slot for an urgent one.
RESERVED_SLOTS = 0.5

#: Free slots by which that number is higher for the last rank. Those between get a part
#: of it each, so that many ranks don't leave more slots empty than three.
SPREAD_SLOTS = 1.0

#: Range of the mean load over which the share of admitted requests falls from all to
#: none, in slots of an engine. The hosts see the same loads: with a sharp bound all of
#: them would admit, and then refuse, at the same time.
RAMP_SLOTS = 1.0

#: Slots by which the bounds are higher where scarcity only begins.
SLACK_SLOTS = 1.0


@RANK_POLICIES.register("trunk_reservation")
class PooledReservation(RankPolicy):
    """Reserves slots of all engines together.

    A request is admitted with a probability that falls with the engines' mean load, the
    sooner the less urgent it is. Some engine then has a free slot for an urgent request
    at nearly all times, and no single engine has to keep one.
    """

    __slots__ = ()

    def reserved_slots(self, step, capacity, now, *, scarcity):
        """Return 0 for an admitted request, ``NO_SLOT`` for any other."""
        spread = SPREAD_SLOTS * (step - 1) / max(1, self.steps - 2)
        bound = capacity.slots - RESERVED_SLOTS - spread
        bound += SLACK_SLOTS * (1.0 - scarcity)
        share = (bound - capacity.mean_load) / RAMP_SLOTS
        return 0 if self.rng.random() < share else NO_SLOT


@RANK_POLICIES.register("engine_reservation")
class EngineReservation(RankPolicy):
    """Reserves slots of each engine for the more urgent requests expected soon.

    The reserve is the number of more urgent requests that one engine is expected to get
    until it releases a slot. The hosts compute it from their own arrivals.
    """

    __slots__ = ("_arrivals",)

    def __init__(self, *, steps, rng):
        super().__init__(steps=steps, rng=rng)
        self._arrivals = [DecayingRate() for _ in range(steps)]

    def count(self, step, now, *, is_placed):
        """Count the first try of a request."""
        self._arrivals[step].count(now)

    def reserved_slots(self, step, capacity, now, *, scarcity):
        """Return the slots of each engine that a request has to leave free."""
        ahead = self._arrivals[: math.ceil(step)]
        rate = sum(item.value(now) for item in ahead) * capacity.hosts
        at_one_engine = rate / max(1, capacity.engines)
        return math.ceil(at_one_engine * capacity.release_interval)

    def dump(self, *, now):
        """Return the arrivals per second at this host, the most urgent first."""
        return {"arrivals": [round(item.value(now), 2) for item in self._arrivals]}
