"""The choice among endpoints that may take a request."""

from hawthornspoke.placing._herd import Herd, added_load
from hawthornspoke.placing._messages import Place
from hawthornspoke.placing._predict import first_token_at, slot_release, whole_answer

#: Requests over its slots that an engine may have when it is given one of a caller
#: that is late already. With six, returned callers took every slot as it came free:
#: those that still could be on time were refused, returned, and were late as well. In
#: a lasting overload of a third 35% of the callers were answered on time; with none,
#: 60%, and no fewer were answered in all.
LATE_QUEUE = 0

#: Requests for each slot of a plain endpoint above which nothing more is sent to
#: it: with a queue of four times its slots it sheds.
PLAIN_QUEUE = 3


class _Candidate:
    """An engine that may take a request: its load now and what follows from it."""

    __slots__ = ("endpoint", "load", "expected")

    def __init__(self, *, endpoint, load, expected):
        self.endpoint = endpoint
        self.load = load
        self.expected = expected


class _Group:
    """The engines of the own failure domain, or of all others, for one request.

    Attributes
    ----------
    near : bool
    candidates : list of _Candidate
        All whose weights may answer.
    valid : list of _Candidate
        Those that begin before their weights are too old.
    """

    __slots__ = ("near", "candidates", "valid")

    def __init__(self, *, near, candidates, valid):
        self.near = near
        self.candidates = candidates
        self.valid = valid


class Choice:
    """Ranks endpoints and takes one, or refuses if none has room.

    Parameters
    ----------
    failure_domain : str
        Of this host.
    refusal : Refusal
    chance : random.Random
    """

    __slots__ = (
        "failure_domain",
        "entry_hosts",
        "_refusal",
        "_chance",
        "_herd_by_service",
    )

    def __init__(self, *, failure_domain, refusal, chance):
        self.failure_domain = failure_domain
        self.entry_hosts = (1, 1)
        self._refusal = refusal
        self._chance = chance
        self._herd_by_service = {}

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

        The engines of the own failure domain are looked at first, and the others only
        if none of these answers in time: one domain of five has a fifth of them, and
        a choice among all was a third of an entry host's processor time.

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
        groups = []
        for near in (True, False):
            group = self._group(ask, endpoints, engine, validity, near=near)
            groups.append(group)
            on_time = [
                item for item in group.valid if item.expected <= ask.on_time_left
            ]
            if on_time:
                if not near:
                    herd.count_overflowed(now)
                return self._less_loaded_of_two(on_time, now)
        herd.count_overflowed(now)
        return self._late(ask, groups, engine, now)

    def _group(self, ask, endpoints, engine, validity, *, near):
        """Return the engines near or far whose weights may answer."""
        usable = [
            item
            for item in endpoints
            if self._is_near(item) is near and validity.allows(item, engine, ask)
        ]
        candidates = self._candidates(ask, usable, engine, validity.now, near=near)
        # Of the load that others will have added, not of the one that was told: just
        # before a bound requests would be sent only to be withdrawn, and answered
        # with an outcome that nobody knows.
        valid = [
            item
            for item in candidates
            if validity.begins_in_time(item.endpoint, engine, item.expected)
        ]
        return _Group(near=near, candidates=candidates, valid=valid)

    def _late(self, ask, groups, engine, now):
        """Return what becomes of a request that no engine answers in time."""
        if ask.returned:
            for group in groups:
                useful = _still_useful(group.valid, ask, engine)
                if useful:
                    return self._less_loaded_of_two(useful, now)
        times = [item.expected for group in groups for item in group.candidates]
        if not times:
            return None
        excess = max(0.0, min(times) - max(0.0, ask.on_time_left))
        return self._refusal.full(ask, max(excess, slot_release(engine)))

    def _candidates(self, ask, endpoints, engine, now, *, near):
        """Return a candidate for each endpoint."""
        if not endpoints:
            return []
        holding = slot_release(engine) * engine.slots
        arrivals = self._herd_of(ask.service).arrivals(near=near, now=now)
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
            expected = first_token_at(endpoint, engine, ask, load=load)
            candidates.append(
                _Candidate(endpoint=endpoint, load=load, expected=expected)
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

    def _less_loaded_of_two(self, candidates, now):
        """Return a Place at the less loaded of two random engines.

        Several entry hosts see the same loads, some 0.1 s old. If each took the
        least loaded engine, all would take the same one, and its callers be late.
        """
        pair = self._chance.sample(candidates, min(2, len(candidates)))
        chosen = min(pair, key=lambda item: (item.load, item.expected))
        return _place(chosen.endpoint, chosen.expected, now)

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
