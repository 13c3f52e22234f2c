"""The choice among endpoints that may take a request."""

from hawthornspoke.placing._herd import PeerTraffic, estimated_growth
from hawthornspoke.placing._messages import Place
from hawthornspoke.placing._predict import (
    expected_first_token,
    expected_response_time,
    slot_release_interval,
)
from hawthornspoke.placing._subset import Subset
from hawthornspoke.placing._validity import Prospect

#: Requests over its slots that an engine may have when it is given one of a caller
#: that is late already. With six, returned callers took every slot as it came free:
#: those that still could be on time were refused, returned, and were late as well. In
#: a lasting overload of a third 35% of the callers were answered on time; with none,
#: 60%, and no fewer were answered in all.
MAX_LATE_QUEUE = 0

#: Seconds by which an engine with all slots taken counts as slower than an empty one:
#: callers that come next find room where few are.
FULL_COST = 0.15

#: Requests for each slot of a plain endpoint above which nothing more is sent to
#: it: with a queue of four times its slots it sheds.
MAX_PLAIN_QUEUE = 3


class _Candidate:
    """An engine that may take a request: its load now and what follows from it.

    ``prospect`` is whether it begins before its weights are too old.
    """

    __slots__ = ("endpoint", "load", "expected", "forecast")

    def __init__(self, *, endpoint, load, expected, forecast):
        self.endpoint = endpoint
        self.load = load
        self.expected = expected
        self.forecast = forecast

    def cost(self, slots):
        """Return the seconds to the first token, and for the room that it takes.

        Parameters
        ----------
        slots : int

        Returns
        -------
        float
        """
        return self.expected + FULL_COST * self.load / slots


class _CandidateGroup:
    """Some of the engines, for one request.

    Attributes
    ----------
    near : bool
        Whether they are in the own failure domain.
    candidates : list of _Candidate
        All whose weights may answer.
    valid : list of _Candidate
        Those that begin before their weights are too old.
    on_time : list of _Candidate
        Those of them that answer in time.
    """

    __slots__ = ("near", "candidates", "valid", "on_time")

    def __init__(self, *, near, candidates, valid, on_time):
        self.near = near
        self.candidates = candidates
        self.valid = valid
        self.on_time = on_time


class _Selection:
    """One request that looks for an engine.

    Attributes
    ----------
    ask : Ask
    engine : EngineProfile
    validity : Validity
    known : list of Endpoint
        All that may be chosen.
    groups : list of _Group
        Those that were looked at.
    """

    __slots__ = ("ask", "engine", "eligibility", "known", "groups")

    def __init__(self, *, ask, engine, eligibility, known):
        self.ask = ask
        self.engine = engine
        self.eligibility = eligibility
        self.known = known
        self.groups = []


class EndpointSelector:
    """Ranks endpoints and takes one, or refuses if none has room.

    Parameters
    ----------
    failure_domain : str
        Of this host.
    host : str
        What tells it from others.
    refusal : Refusal
    chance : random.Random
    """

    __slots__ = (
        "failure_domain",
        "host",
        "entry_hosts",
        "_refusal",
        "_chance",
        "_peer_traffic_by_service",
        "subset_by_service",
    )

    def __init__(self, *, failure_domain, host, refusal, rng):
        self.failure_domain = failure_domain
        self.host = host
        self.entry_hosts = (1, 1)
        self._refusal = refusal
        self._chance = rng
        self._peer_traffic_by_service = {}
        self.subset_by_service = {}

    def select_plain(self, ask, endpoints, now):
        """Return a Place at one of a plain service's endpoints, or a Decline.

        Parameters
        ----------
        ask : Ask
        endpoints : list of Endpoint
        now : float

        Returns
        -------
        Place or Decline
        """
        available = [
            endpoint
            for endpoint in endpoints
            if endpoint.load < endpoint.entry.slots * MAX_PLAIN_QUEUE
        ]
        if not available:
            soonest = min(expected_response_time(endpoint) for endpoint in endpoints)
            return self._refusal.full(ask, soonest)
        ranked = [
            (
                self._rank(
                    item, expected_response_time(item), near=self._is_near(item)
                ),
                item,
            )
            for item in available
        ]
        best = min(ranked, key=lambda pair: pair[0])[1]
        return _place(best, expected_response_time(best), now)

    def select_engine(self, ask, endpoints, engine, eligibility):
        """Return a Place at one of the engines, or a Decline.

        Those that this host keeps to are looked at first, and the others only if
        none of these answers in time: a choice among all was a third of an entry
        host's processor time.

        Parameters
        ----------
        ask : Ask
        endpoints : list of Endpoint
        engine : EngineProfile
        validity : Validity
            What may answer at this moment.

        Returns
        -------
        Place, Decline or None
            None if no engine has weights that may answer.
        """
        now = eligibility.now
        peer_traffic = self._peer_traffic_of(ask.service)
        peer_traffic.count_request(now)
        selection = _Selection(
            ask=ask, engine=engine, eligibility=eligibility, known=endpoints
        )
        placed = self._select_near(selection)
        if placed is None:
            peer_traffic.count_overflow(now)
            placed = self._select_far(selection)
        return placed or self._select_late(selection)

    def _select_near(self, selection):
        """Return a Place in the own failure domain, None if none answers in time."""
        now = selection.eligibility.now
        subset = self.subset(selection.ask.service)
        kept = self._build_group(selection, near=True, followed=True)
        if subset.near_share < 1.0:
            # With a request waiting before it no engine is better than those that
            # this host doesn't keep to: all of the failure domain are looked at.
            free = [item for item in kept.on_time if item.load < selection.engine.slots]
        else:
            free = kept.on_time
        subset.count(spilled=not free, now=now)
        if free:
            return self._pick_better_of_two(free, selection)
        others = self._build_group(selection, near=True, followed=False)
        on_time = kept.on_time + others.on_time
        if on_time:
            return self._pick_better_of_two(on_time, selection)
        subset.widen(now)
        return None

    def _select_far(self, selection):
        """Return a Place in another failure domain, None if none answers in time."""
        for followed in (True, False):
            group = self._build_group(selection, near=False, followed=followed)
            if group.on_time:
                return self._pick_better_of_two(group.on_time, selection)
        return None

    def _select_late(self, selection):
        """Return what becomes of a request that no engine answers in time."""
        ask = selection.ask
        if ask.returned:
            for near in (True, False):
                groups = [item for item in selection.groups if item.near is near]
                valid = [item for group in groups for item in group.valid]
                acceptable = _usable_when_late(valid, ask, selection.engine)
                if acceptable:
                    return self._pick_better_of_two(acceptable, selection)
        times = [
            item.expected for group in selection.groups for item in group.candidates
        ]
        if not times:
            return None
        excess = max(0.0, min(times) - max(0.0, ask.on_time_left))
        return self._refusal.full(
            ask, max(excess, slot_release_interval(selection.engine))
        )

    def subset(self, service):
        """Return the Subset of a service's engines."""
        subset = self.subset_by_service.get(service)
        if subset is None:
            subset = self.subset_by_service[service] = Subset(host=self.host)
        return subset

    def dump_subsets(self, *, now):
        """Return the engines that this host keeps to as plain data."""
        return {
            service: subset.dump(now=now)
            for service, subset in self.subset_by_service.items()
        }

    def _build_group(self, selection, *, near, followed):
        """Return the engines near or far that this host keeps to, or all others."""
        ask, engine, eligibility = (
            selection.ask,
            selection.engine,
            selection.eligibility,
        )
        kept = self.subset(ask.service).since_by_id
        usable = [
            item
            for item in selection.known
            if self._is_near(item) is near
            and (item.endpoint_id in kept) is followed
            and eligibility.allows(item, engine, ask)
        ]
        candidates = self._candidates(selection, usable, near=near, followed=followed)
        # Of the load that others will have added, not of the one that was told: just
        # before a bound requests would be sent only to be withdrawn, and answered
        # with an outcome that nobody knows.
        valid = [item for item in candidates if item.forecast is not Prospect.TOO_LATE]
        on_time = [item for item in valid if item.expected <= ask.on_time_left]
        group = _CandidateGroup(
            near=near, candidates=candidates, valid=valid, on_time=on_time
        )
        selection.groups.append(group)
        return group

    def _candidates(self, selection, endpoints, *, near, followed):
        """Return a candidate for each endpoint."""
        if not endpoints:
            return []
        ask, engine, now = selection.ask, selection.engine, selection.eligibility.now
        slot_time = slot_release_interval(engine) * engine.slots
        arrivals = self._peer_traffic_of(ask.service).arrivals(near=near, now=now)
        # The other hosts send to the engines of both groups.
        subset = self.subset(ask.service)
        share = subset.near_share if near else subset.far_share
        arrivals *= share if followed else 1.0 - share
        loads = [item.load for item in endpoints]
        engines_with_room = sum(load < engine.slots for load in loads)
        candidates = []
        for endpoint, reported_load in zip(endpoints, loads, strict=True):
            load = reported_load + estimated_growth(
                arrivals=arrivals,
                engines_with_room=engines_with_room,
                load=reported_load,
                slot_time=slot_time,
                slots=engine.slots,
                age=endpoint.report_age(now),
            )
            expected = expected_first_token(endpoint, engine, ask, load=load, now=now)
            candidates.append(
                _Candidate(
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

    def _pick_better_of_two(self, candidates, selection):
        """Return a Place at the better of two random engines.

        Several entry hosts see the same loads, some 0.1 s old. If each took the
        best engine, all would take the same one, and its callers be late.
        """
        sure = [item for item in candidates if item.forecast is Prospect.SURE]
        among = sure or candidates
        pair = self._chance.sample(among, min(2, len(among)))
        chosen = min(pair, key=lambda item: item.cost(selection.engine.slots))
        return _place(chosen.endpoint, chosen.expected, selection.eligibility.now)

    def _rank(self, endpoint, expected, *, near):
        return not near, expected, endpoint.own_running, self._chance.random()


def _usable_when_late(candidates, ask, engine):
    """Return the engines for a caller that is late already."""
    return [
        item
        for item in candidates
        if item.load - engine.slots < MAX_LATE_QUEUE
        and item.expected < ask.time_left / 2
    ]


def _place(endpoint, expected, now):
    return Place(
        endpoint_id=endpoint.entry.endpoint_id,
        address=endpoint.entry.address,
        load=endpoint.load,
        report_age=endpoint.report_age(now),
        expected=expected,
        weights_version=endpoint.weights_version,
        incarnation=endpoint.incarnation,
    )
