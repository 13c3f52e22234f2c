"""Simulates callers, entry hosts and engines, including the load reports."""

import heapq
import itertools
import random

from hawthornspoke.catalog import EndpointEntry, Service
from hawthornspoke.catalog.tests.profiles import engine_profile
from hawthornspoke.placing import (
    CatalogChanged,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    Fleet,
    Placement,
    PlacementRequest,
    RequestFinished,
    RequestSent,
)
from hawthornspoke.placing._predict import slot_release_interval

SLOTS = 8
ENGINE = engine_profile(
    slots=SLOTS,
    step=0.0101,
    step_per_request=0.00003,
    steps_per_prefill=7,
    prefill_rate=20400.0,
    mean_answer_tokens=98.0,
    layers=0,
)

#: Mean seconds for which a request holds its slot.
MEAN_SLOT_TIME = slot_release_interval(ENGINE) * SLOTS

#: Seconds to the first token of a request in a slot, until a request is late, and until
#: its deadline.
FIRST_TOKEN = 0.15
TARGET_LATENCY = 0.55
CALLER_TIMEOUT = 6.0

#: Seconds between load samples of agents, between subset updates of entry hosts, and
#: maximum report intervals for followed and other engines; the values in production.
SAMPLE_INTERVAL = 0.1
SUBSET_UPDATE_INTERVAL = 0.5
REPORT_INTERVAL = 0.25
UNFOLLOWED_REPORT_INTERVAL = 1.0

#: Length of the warm-up in seconds, which is excluded from the results.
WARM_UP = 2.0


class _Request:
    __slots__ = ("host", "asked_at", "slot_time", "is_retry")

    def __init__(self, *, host, asked_at, slot_time):
        self.host = host
        self.asked_at = asked_at
        self.slot_time = slot_time
        self.is_retry = False


class LoadSimulation:
    """Simulation of the callers of one failure domain.

    Parameters
    ----------
    mean_demand : float
        Mean demand as a share of the available slots.
    uses_subset : bool
        Whether hosts use a subset of the engines, or all of them.
    hosts, engines : int
    seconds : float
    seed : int

    Attributes
    ----------
    on_time, late, refused : int
        Requests by outcome.
    messages : int
        Load reports sent.
    requests_by_engine : list of int
        Requests received by each engine.
    """

    def __init__(
        self, *, mean_demand, uses_subset, hosts=20, engines=31, seconds=8.0, seed=3
    ):
        self.seconds = seconds
        self.on_time = self.late = self.refused = self.messages = 0
        self.requests_by_engine = [0] * engines
        self._uses_subset = uses_subset
        self._fleets = [self._fleet(place, hosts, engines) for place in range(hosts)]
        self._running = [0] * engines
        self._waiting = [[] for _ in range(engines)]
        self._last_reports = {}
        self._events = []
        self._order = itertools.count()
        self._followed = [fleet.followed_addresses() for fleet in self._fleets]
        rng = random.Random(seed)
        rate = mean_demand * engines * SLOTS / MEAN_SLOT_TIME
        now = 0.0
        while now < seconds:
            now += rng.expovariate(rate)
            request = _Request(
                host=rng.randrange(hosts),
                asked_at=now,
                slot_time=MEAN_SLOT_TIME * rng.uniform(0.7, 1.3),
            )
            self._at(now, self._ask, request)
        self._at(0.0, self._sample_loads)
        self._at(SUBSET_UPDATE_INTERVAL, self._update_followed)

    def run(self):
        """Run the simulation to its end and return it."""
        while self._events:
            now, _, step, args = heapq.heappop(self._events)
            if now > self.seconds:
                break
            step(now, *args)
        return self

    def share_on_time(self):
        """Return the share of requests that were served on time."""
        return self.on_time / (self.on_time + self.late + self.refused)

    def imbalance(self):
        """Return the requests of the busiest engine relative to the mean."""
        return (
            max(self.requests_by_engine)
            * len(self.requests_by_engine)
            / sum(self.requests_by_engine)
        )

    def _fleet(self, place, hosts, engines):
        fleet = Fleet(failure_domain="a", seed=place)
        services = {"s": Service(name="s", engine=ENGINE)}
        fleet.step(CatalogChanged(service_by_name=services), now=0.0)
        entries = tuple(
            EndpointEntry(
                endpoint_id=f"e{number}",
                service="s",
                address=_address(number),
                failure_domain="a",
                slots=SLOTS,
            )
            for number in range(engines)
        )
        if not self._uses_subset:
            # So large that halving it during the simulation still leaves all engines.
            fleet._selector.subset("s").width = engines * 2**20
        fleet.step(EndpointsListed(entries=entries), now=0.0)
        seen = EntryHostsUpdated(near=hosts, all=hosts, position=place)
        fleet.step(seen, now=0.0)
        return fleet

    def _at(self, moment, step, *args):
        heapq.heappush(self._events, (moment, next(self._order), step, args))

    def _ask(self, now, request):
        waited = now - request.asked_at
        placement_request = PlacementRequest(
            service="s",
            prompt_tokens=900,
            time_until_late=TARGET_LATENCY - waited,
            time_left=CALLER_TIMEOUT - waited,
            is_retry=request.is_retry,
        )
        (answer,) = self._fleets[request.host].step(placement_request, now=now)
        if isinstance(answer, Placement):
            self._send(now, request, answer.endpoint_id)
        elif not request.is_retry:
            request.is_retry = True
            self._at(now + answer.retry_after, self._ask, request)
        elif now > WARM_UP:
            self.refused += 1

    def _send(self, now, request, endpoint_id):
        number = int(endpoint_id[1:])
        self.requests_by_engine[number] += 1
        self._fleets[request.host].step(RequestSent(endpoint_id=endpoint_id), now=now)
        if self._running[number] < SLOTS:
            self._start(now, number, request)
        else:
            self._waiting[number].append(request)

    def _start(self, now, number, request):
        self._running[number] += 1
        if now > WARM_UP:
            in_time = now + FIRST_TOKEN - request.asked_at <= TARGET_LATENCY
            self.on_time += in_time
            self.late += not in_time
        self._at(now + request.slot_time, self._end, number, request)

    def _end(self, now, number, request):
        self._running[number] -= 1
        done = RequestFinished(endpoint_id=f"e{number}", outcome="done")
        self._fleets[request.host].step(done, now=now)
        if self._waiting[number]:
            self._start(now, number, self._waiting[number].pop(0))

    def _update_followed(self, now):
        self._followed = [fleet.followed_addresses() for fleet in self._fleets]
        self._at(now + SUBSET_UPDATE_INTERVAL, self._update_followed)

    def _sample_loads(self, now):
        for place, fleet in enumerate(self._fleets):
            for number, running in enumerate(self._running):
                load = running + len(self._waiting[number])
                if self._is_due(place, number, load, now):
                    self._send_report(fleet, place, number, load, now)
        self._at(now + SAMPLE_INTERVAL, self._sample_loads)

    def _is_due(self, place, number, load, now):
        last_load, reported_at = self._last_reports.get(
            (place, number), (None, float("-inf"))
        )
        if _address(number) not in self._followed[place]:
            return now >= reported_at + UNFOLLOWED_REPORT_INTERVAL
        return load != last_load or now >= reported_at + REPORT_INTERVAL

    def _send_report(self, fleet, place, number, load, now):
        self.messages += 1
        self._last_reports[place, number] = load, now
        report = EngineReported(
            address=_address(number), load=load, weights_version=None, layers=None
        )
        fleet.step(report, now=now)


def _address(number):
    return f"10.0.0.{number}:80"
