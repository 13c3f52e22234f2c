"""Selects among the endpoints that may serve a request."""

from dataclasses import replace
from statistics import fmean

from hawthornspoke.placing._balance import (
    MAX_SHIFT_SHARE,
    has_recent_load,
    is_loaded,
    shift_share,
)
from hawthornspoke.placing._candidates import Candidate, CandidateGroup, Selection
from hawthornspoke.placing._load_estimate import PeerTraffic, estimated_growth
from hawthornspoke.placing._messages import Placement
from hawthornspoke.placing._predict import (
    expected_first_token,
    expected_response_time,
    prefill_time,
    slot_release_interval,
)
from hawthornspoke.placing._spreading import SPREADING
from hawthornspoke.placing._subset import Subset
from hawthornspoke.placing._weights_eligibility import StartForecast

#: Queue length from which an engine gets no request that can't be on time any more; 0
#: requires a free slot. Otherwise late requests take the slots of requests that could
#: still be on time, so that these become late as well.
MAX_LATE_QUEUE = 0

#: Seconds by which a full engine counts as slower than an empty one, so that requests
#: go to emptier engines and the last free slots stay available.
OCCUPANCY_COST = 0.15

#: Seconds until a request that was sent to an engine shows in the loads that the other
#: hosts know: agents observe their engines every 0.1 s.
REPORT_DELAY = 0.15

#: Step of a low-discrepancy sequence from 0 to 1.
GOLDEN_RATIO = 0.6180339887498949

#: Requests per slot at which a plain endpoint (one without an engine) gets no more; it
#: rejects requests itself once its queue is four times its slots.
MAX_PLAIN_QUEUE = 3


class EndpointSelector:
    """Ranks endpoints and selects one, or rejects the request if all are full.

    Parameters
    ----------
    failure_domain : str
        Of this host.
    host : str
        Identifies this host.
    rejections : RejectionBuilder
    rng : random.Random
    spreading : str, default="common_level"
        Name in ``SPREADING``.
    """

    __slots__ = (
        "failure_domain",
        "host",
        "entry_hosts",
        "_rejections",
        "_prng",
        "_spread",
        "_point",
        "_peer_traffic_by_service",
        "subset_by_service",
    )

    def __init__(
        self, *, failure_domain, host, rejections, rng, spreading="common_level"
    ):
        self.failure_domain = failure_domain
        self.host = host
        self.entry_hosts = (1, 1)
        self._rejections = rejections
        self._prng = rng
        self._spread = SPREADING.get(spreading)
        self._point = rng.random()
        self._peer_traffic_by_service = {}
        self.subset_by_service = {}

    def select_plain(self, request, endpoints, now):
        """Return a Placement for a service without engines, or a Rejection.

        Parameters
        ----------
        request : PlacementRequest
        endpoints : list of Endpoint
        now : float

        Returns
        -------
        Placement or Rejection
        """
        available = [
            endpoint
            for endpoint in endpoints
            if endpoint.load < endpoint.entry.slots * MAX_PLAIN_QUEUE
        ]
        if not available:
            soonest = min(expected_response_time(item, now) for item in endpoints)
            return self._rejections.full(request, soonest)
        ranked = [
            (
                self._rank(
                    item, expected_response_time(item, now), near=self._is_near(item)
                ),
                item,
            )
            for item in available
        ]
        best = min(ranked, key=lambda pair: pair[0])[1]
        return _make_placement(best, expected_response_time(best, now), now)

    def select_engine(self, request, endpoints, engine, eligibility, *, limit=None):
        """Return a Placement at one of the engines, or a Rejection.

        The engines that this host prefers (its ``Subset``) are evaluated first, and the
        others only if none of these responds in time: evaluating all engines took a
        third of an entry host's CPU time.

        Parameters
        ----------
        request : PlacementRequest
        endpoints : list of Endpoint
        engine : EngineProfile
        eligibility : WeightsEligibility
            Evaluated at the current time.
        limit : AdmissionLimit or None, default=None
            None if the request competes with no others.

        Returns
        -------
        Placement, Rejection or None
            None if no engine has eligible weights.
        """
        now = eligibility.now
        peer_traffic = self._peer_traffic_of(request.service)
        selection = Selection(
            request=request,
            engine=engine,
            eligibility=eligibility,
            known=endpoints,
            limit=limit,
        )
        # What the other hosts refuse for the same reasons fills no engine.
        counts_rejected = limit is None and not request.is_hedge
        if counts_rejected:
            peer_traffic.count_request(now)
        placed = near = self._select_near(selection)
        if near is None:
            if counts_rejected:
                peer_traffic.count_overflow(now)
            placed = self._select_far(selection)
        decision = placed or self._select_late(selection)
        if not counts_rejected and isinstance(decision, Placement):
            peer_traffic.count_request(now)
            if near is None:
                peer_traffic.count_overflow(now)
        return decision

    def _select_near(self, selection):
        """Return a Placement in the own failure domain, None if none is on time."""
        now = selection.eligibility.now
        subset = self.subset(selection.request.service)
        subset_group = self._build_group(selection, near=True, in_subset=True)
        if subset.near_share < 1.0:
            # If a request has to queue, there is no reason to prefer the subset:
            # evaluate the whole failure domain.
            free = [
                item
                for item in subset_group.admitting
                if item.load < selection.engine.slots
            ]
        else:
            free = subset_group.admitting
        if not selection.request.is_hedge:
            subset.record_request(spilled=not free, now=now)
        if free:
            return self._pick_balanced(free, selection, share=subset.near_share)
        other_group = self._build_group(selection, near=True, in_subset=False)
        admitting = subset_group.admitting + other_group.admitting
        if admitting:
            return self._pick_balanced(admitting, selection)
        if not selection.request.is_hedge:
            subset.widen_to_all(now)
        return None

    def _select_far(self, selection):
        """Return a Placement in another failure domain, None if none is on time."""
        subset = self.subset(selection.request.service)
        for in_subset in (True, False):
            group = self._build_group(selection, near=False, in_subset=in_subset)
            if group.admitting:
                share = subset.far_share if in_subset else 1.0 - subset.far_share
                return self._pick(group.admitting, selection, share=share)
        return None

    def _select_late(self, selection):
        """Return the result for a request that no engine serves on time.

        A retry may still take a free slot; any other request is rejected.
        """
        request = selection.request
        if request.is_retry:
            for near in (True, False):
                groups = [item for item in selection.groups if item.near is near]
                valid = [item for group in groups for item in group.valid]
                acceptable = selection.admitting(
                    _usable_when_late(valid, request, selection.engine)
                )
                if acceptable:
                    return self._pick(acceptable, selection)
        if selection.limit is not None and selection.has_free_slot:
            return self._rejections.reserved(
                request, slot_release_interval(selection.engine)
            )
        times = [
            item.expected for group in selection.groups for item in group.candidates
        ]
        if not times:
            return None
        excess = max(0.0, min(times) - max(0.0, request.time_until_late))
        return self._rejections.full(
            request, max(excess, slot_release_interval(selection.engine))
        )

    def subset(self, service):
        """Return the Subset of a service's engines, creating it if necessary."""
        subset = self.subset_by_service.get(service)
        if subset is None:
            subset = self.subset_by_service[service] = Subset(host=self.host)
        return subset

    def request_rates(self, service, now):
        """Return the RequestRates of this host for a service's engines."""
        return self._peer_traffic_of(service).own_rates(now)

    def update_request_rate_sums(self, service, sums, now):
        """Update the requests expected of other hosts; see ``PeerTraffic``."""
        self._peer_traffic_of(service).update_sums(sums, now=now)

    def dump_subsets(self, *, now):
        """Return the subsets of this host as plain data."""
        return {
            service: subset.dump(now=now)
            for service, subset in self.subset_by_service.items()
        }

    def _build_group(self, selection, *, near, in_subset):
        """Evaluate the near or far engines that are in the subset, or those outside."""
        request, engine, eligibility = (
            selection.request,
            selection.engine,
            selection.eligibility,
        )
        subset_ids = self.subset(request.service).added_at_by_id
        usable = [
            item
            for item in selection.known
            if self._is_near(item) is near
            and (item.endpoint_id in subset_ids) is in_subset
            and eligibility.allows(item, engine, request)
        ]
        candidates = self._candidates(selection, usable, near=near, in_subset=in_subset)
        # The forecasts are based on the estimated load. By the reported load, requests
        # would be sent just before the engine's weights expire and be withdrawn again,
        # and their callers wouldn't know whether they had run.
        valid = [
            item for item in candidates if item.forecast is not StartForecast.TOO_LATE
        ]
        on_time = [item for item in valid if item.expected <= request.time_until_late]
        group = CandidateGroup(
            near=near,
            candidates=candidates,
            valid=valid,
            on_time=on_time,
            admitting=selection.admitting(on_time),
        )
        selection.groups.append(group)
        return group

    def _candidates(self, selection, endpoints, *, near, in_subset):
        """Return a candidate for each endpoint."""
        if not endpoints:
            return []
        request, engine, now = (
            selection.request,
            selection.engine,
            selection.eligibility.now,
        )
        slot_time = slot_release_interval(engine) * engine.slots
        arrival_rate = self._peer_traffic_of(request.service).arrival_rate(
            near=near, now=now
        )
        # The requests of the other hosts are assumed to spread evenly over the engines
        # in this host's subset and those outside.
        subset = self.subset(request.service)
        share = subset.near_share if near else subset.far_share
        arrival_rate *= share if in_subset else 1.0 - share
        loads = [item.load for item in endpoints]
        queue_share = selection.queue_share
        engines_with_room = sum(load < engine.slots for load in loads)
        candidates = []
        for endpoint, reported_load in zip(endpoints, loads, strict=True):
            load = reported_load + estimated_growth(
                arrival_rate=arrival_rate,
                engines_with_room=engines_with_room,
                load=reported_load,
                slot_time=slot_time,
                slots=engine.slots,
                age=endpoint.report_age(now),
            )
            expected = expected_first_token(
                endpoint,
                engine,
                request,
                load=load,
                now=now,
                queue_share=queue_share,
            )
            candidates.append(
                Candidate(
                    endpoint=endpoint,
                    load=load,
                    expected=expected,
                    forecast=selection.eligibility.forecast(endpoint, engine, expected),
                )
            )
        return candidates

    def _peer_traffic_of(self, service):
        peer_traffic = self._peer_traffic_by_service.get(service)
        if peer_traffic is None:
            peer_traffic = self._peer_traffic_by_service[service] = PeerTraffic()
        peer_traffic.near_hosts, peer_traffic.all_hosts = self.entry_hosts
        return peer_traffic

    def _is_near(self, endpoint):
        return endpoint.is_in(self.failure_domain)

    def _pick_balanced(self, candidates, selection, *, share=1.0):
        """Return a Placement at one of these near engines, or at a less loaded far one.

        ``share`` is the part of the failure domain's engines they are chosen from.
        """
        now = selection.eligibility.now
        loads = [item.load for item in candidates]
        if (
            is_loaded(loads, selection.engine.slots)
            and self._prng.random() < MAX_SHIFT_SHARE
        ):
            group = self._build_group(selection, near=False, in_subset=True)
            far = [
                item
                for item in group.admitting
                if has_recent_load(item.endpoint.report_age(now))
            ]
            if far and self._is_shifted(candidates, far, selection.engine):
                subset = self.subset(selection.request.service)
                self._peer_traffic_of(selection.request.service).count_overflow(now)
                placement = self._pick(far, selection, share=subset.far_share)
                return replace(placement, is_shifted=True)
        return self._pick(candidates, selection, share=share)

    def _is_shifted(self, near, far, engine):
        """Return whether a request that is considered for a shift is shifted."""
        # Means, since the cheapest of many engines whose loads are a second old is
        # likely to be one that has got requests since.
        wanted = shift_share(
            near_cost=fmean(_costs(near, engine)), far_cost=fmean(_costs(far, engine))
        )
        return self._prng.random() * MAX_SHIFT_SHARE < wanted

    def _expected_arrivals(self, candidates, selection, share):
        """Return the requests of other hosts until the next reports."""
        arrival_rate = self._peer_traffic_of(selection.request.service).arrival_rate(
            near=self._is_near(candidates[0].endpoint), now=selection.eligibility.now
        )
        return arrival_rate * share * REPORT_DELAY

    def _next_point(self):
        """Return the next number of a sequence that fills 0 to 1 evenly.

        Requests of this host are spread more evenly than by independent draws.
        """
        self._point = (self._point + GOLDEN_RATIO) % 1.0
        return self._point

    def _pick(self, candidates, selection, *, share=1.0):
        """Return a Placement at one of the engines, drawn by their costs."""
        engine, now = selection.engine, selection.eligibility.now
        sure = [item for item in candidates if item.forecast is StartForecast.SURE]
        among = sure or candidates
        chosen = among[
            self._spread(
                _costs(among, engine),
                arrivals=self._expected_arrivals(among, selection, share),
                cost_per_request=_cost_per_request(engine),
                point=self._next_point(),
                rng=self._prng,
            )
        ]
        return _make_placement(chosen.endpoint, chosen.expected, now)

    def _rank(self, endpoint, expected, *, near):
        return not near, expected, endpoint.own_in_flight, self._prng.random()


def _costs(candidates, engine):
    """Return the seconds to the first token plus a penalty for the occupancy."""
    per_request = OCCUPANCY_COST / engine.slots
    return [item.expected + per_request * item.load for item in candidates]


def _cost_per_request(engine):
    """Return the seconds by which a request raises the cost of its engine."""
    prefill = prefill_time(engine, engine.mean_prompt_tokens, load=engine.slots)
    return prefill + OCCUPANCY_COST / engine.slots


def _usable_when_late(candidates, request, engine):
    """Return the candidates that may serve a request that can't be on time."""
    return [
        item
        for item in candidates
        if item.load - engine.slots < MAX_LATE_QUEUE
        and item.expected < request.time_left / 2
    ]


def _make_placement(endpoint, expected, now):
    return Placement(
        endpoint_id=endpoint.entry.endpoint_id,
        address=endpoint.entry.address,
        load=endpoint.load,
        report_age=endpoint.report_age(now),
        expected=expected,
        weights_version=endpoint.weights_version,
        incarnation=endpoint.incarnation,
        rate_limit=endpoint.rate_limit.rate,
    )
