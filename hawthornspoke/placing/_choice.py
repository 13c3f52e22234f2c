"""The choice among endpoints that may take a request."""

from hawthornspoke.placing._herd import Herd, added_load
from hawthornspoke.placing._messages import Place
from hawthornspoke.placing._predict import first_token_at, slot_release, whole_answer
from hawthornspoke.placing._subset import Subset
from hawthornspoke.placing._validity import Prospect

#: Requests over its slots that an engine may have when it is given one of a caller
#: that is late already. With six, returned callers took every slot as it came free:
#: those that still could be on time were refused, returned, and were late as well. In
#: a lasting overload of a third 35% of the callers were answered on time; with none,
#: 60%, and no fewer were answered in all.
LATE_QUEUE = 0

#: Seconds by which an engine with all slots taken counts as slower than an empty one:
#: callers that come next find room where few are.
FULL_COST = 0.15

#: Requests for each slot of a plain endpoint above which nothing more is sent to
#: it: with a queue of four times its slots it sheds.
PLAIN_QUEUE = 3


class _Candidate:
    """An engine that may take a request: its load now and what follows from it.

    ``prospect`` is whether it begins before its weights are too old.
    """

    __slots__ = ("endpoint", "load", "expected", "prospect")

    def __init__(self, *, endpoint, load, expected, prospect):
        self.endpoint = endpoint
        self.load = load
        self.expected = expected
        self.prospect = prospect

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


class _Group:
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


class _Search:
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

    __slots__ = ("ask", "engine", "validity", "known", "groups")

    def __init__(self, *, ask, engine, validity, known):
        self.ask = ask
        self.engine = engine
        self.validity = validity
        self.known = known
        self.groups = []


class Choice:
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
        "_herd_by_service",
        "subset_by_service",
    )

    def __init__(self, *, failure_domain, host, refusal, chance):
        self.failure_domain = failure_domain
        self.host = host
        self.entry_hosts = (1, 1)
        self._refusal = refusal
        self._chance = chance
        self._herd_by_service = {}
        self.subset_by_service = {}

    def plain(self, ask, endpoints, now):
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
        open_ones = [
            endpoint
            for endpoint in endpoints
            if endpoint.load < endpoint.entry.slots * PLAIN_QUEUE
        ]
        if not open_ones:
            soonest = min(whole_answer(endpoint) for endpoint in endpoints)
            return self._refusal.full(ask, soonest)
        ranked = [
            (self._rank(item, whole_answer(item), near=self._is_near(item)), item)
            for item in open_ones
        ]
        best = min(ranked, key=lambda pair: pair[0])[1]
        return _place(best, whole_answer(best), now)

    def on_engine(self, ask, endpoints, engine, validity):
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
        now = validity.now
        herd = self._herd_of(ask.service)
        herd.count_asked(now)
        search = _Search(ask=ask, engine=engine, validity=validity, known=endpoints)
        placed = self._near(search)
        if placed is None:
            herd.count_overflowed(now)
            placed = self._far(search)
        return placed or self._late(search)

    def _near(self, search):
        """Return a Place in the own failure domain, None if none answers in time."""
        now = search.validity.now
        subset = self.subset(search.ask.service)
        kept = self._group(search, near=True, followed=True)
        if subset.near_share < 1.0:
            # With a request waiting before it no engine is better than those that
            # this host doesn't keep to: all of the failure domain are looked at.
            free = [item for item in kept.on_time if item.load < search.engine.slots]
        else:
            free = kept.on_time
        subset.count(spilled=not free, now=now)
        if free:
            return self._better_of_two(free, search)
        others = self._group(search, near=True, followed=False)
        on_time = kept.on_time + others.on_time
        if on_time:
            return self._better_of_two(on_time, search)
        subset.widen(now)
        return None

    def _far(self, search):
        """Return a Place in another failure domain, None if none answers in time."""
        for followed in (True, False):
            group = self._group(search, near=False, followed=followed)
            if group.on_time:
                return self._better_of_two(group.on_time, search)
        return None

    def _late(self, search):
        """Return what becomes of a request that no engine answers in time."""
        ask = search.ask
        if ask.returned:
            for near in (True, False):
                groups = [item for item in search.groups if item.near is near]
                valid = [item for group in groups for item in group.valid]
                useful = _still_useful(valid, ask, search.engine)
                if useful:
                    return self._better_of_two(useful, search)
        times = [item.expected for group in search.groups for item in group.candidates]
        if not times:
            return None
        excess = max(0.0, min(times) - max(0.0, ask.on_time_left))
        return self._refusal.full(ask, max(excess, slot_release(search.engine)))

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

    def _group(self, search, *, near, followed):
        """Return the engines near or far that this host keeps to, or all others."""
        ask, engine, validity = search.ask, search.engine, search.validity
        kept = self.subset(ask.service).since_by_id
        usable = [
            item
            for item in search.known
            if self._is_near(item) is near
            and (item.endpoint_id in kept) is followed
            and validity.allows(item, engine, ask)
        ]
        candidates = self._candidates(search, usable, near=near, followed=followed)
        # Of the load that others will have added, not of the one that was told: just
        # before a bound requests would be sent only to be withdrawn, and answered
        # with an outcome that nobody knows.
        valid = [item for item in candidates if item.prospect is not Prospect.TOO_LATE]
        on_time = [item for item in valid if item.expected <= ask.on_time_left]
        group = _Group(near=near, candidates=candidates, valid=valid, on_time=on_time)
        search.groups.append(group)
        return group

    def _candidates(self, search, endpoints, *, near, followed):
        """Return a candidate for each endpoint."""
        if not endpoints:
            return []
        ask, engine, now = search.ask, search.engine, search.validity.now
        holding = slot_release(engine) * engine.slots
        arrivals = self._herd_of(ask.service).arrivals(near=near, now=now)
        # The other hosts send to the engines of both groups.
        subset = self.subset(ask.service)
        share = subset.near_share if near else subset.far_share
        arrivals *= share if followed else 1.0 - share
        loads = [item.load for item in endpoints]
        sharing = sum(load < engine.slots for load in loads)
        candidates = []
        for endpoint, told in zip(endpoints, loads, strict=True):
            load = told + added_load(
                arrivals=arrivals,
                sharing=sharing,
                load=told,
                holding=holding,
                slots=engine.slots,
                age=endpoint.report_age(now),
            )
            expected = first_token_at(endpoint, engine, ask, load=load, now=now)
            candidates.append(
                _Candidate(
                    endpoint=endpoint,
                    load=load,
                    expected=expected,
                    prospect=search.validity.prospect(endpoint, engine, expected),
                )
            )
        return candidates

    def _herd_of(self, service):
        herd = self._herd_by_service.get(service)
        if herd is None:
            herd = self._herd_by_service[service] = Herd()
        herd.near_hosts, herd.all_hosts = self.entry_hosts
        return herd

    def _is_near(self, endpoint):
        return endpoint.is_in(self.failure_domain)

    def _better_of_two(self, candidates, search):
        """Return a Place at the better of two random engines.

        Several entry hosts see the same loads, some 0.1 s old. If each took the
        best engine, all would take the same one, and its callers be late.
        """
        sure = [item for item in candidates if item.prospect is Prospect.SURE]
        among = sure or candidates
        pair = self._chance.sample(among, min(2, len(among)))
        chosen = min(pair, key=lambda item: item.cost(search.engine.slots))
        return _place(chosen.endpoint, chosen.expected, search.validity.now)

    def _rank(self, endpoint, expected, *, near):
        return not near, expected, endpoint.own_running, self._chance.random()


def _still_useful(candidates, ask, engine):
    """Return the engines for a caller that is late already."""
    return [
        item
        for item in candidates
        if item.load - engine.slots < LATE_QUEUE and item.expected < ask.time_left / 2
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
