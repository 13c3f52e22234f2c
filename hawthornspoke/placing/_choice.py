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

    __slots__ = ("endpoint", "near", "load", "expected", "rank")

    def __init__(self, *, endpoint, near, load, expected, rank):
        self.endpoint = endpoint
        self.near = near
        self.load = load
        self.expected = expected
        self.rank = rank


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

        Parameters
        ----------
        ask : Ask
        endpoints : list of Endpoint
            Those whose weights may answer.
        engine : EngineProfile
        validity : Validity
            What may answer at this moment.

        Returns
        -------
        Place or Decline
        """
        now = validity.now
        herd = self._herd_of(ask.service)
        herd.count_asked(now)
        candidates = self._candidates(ask, endpoints, engine, herd, now)
        # Of the load that others will have added, not of the one that was told: just
        # before a bound requests would be sent only to be withdrawn, and answered
        # with an outcome that nobody knows.
        valid = [
            item
            for item in candidates
            if validity.begins_in_time(item.endpoint, engine, item.expected)
        ]
        on_time = [item for item in valid if item.expected <= ask.on_time_left]
        if not on_time or not on_time[0].near:
            herd.count_overflowed(now)
        if not on_time and ask.returned:
            on_time = _still_useful(valid, ask, engine)
        if on_time:
            chosen = self._less_loaded_of_two(on_time)
            return _place(chosen.endpoint, chosen.expected, now)
        expected = min(item.expected for item in candidates)
        excess = max(0.0, expected - max(0.0, ask.on_time_left))
        return self._refusal.full(ask, max(excess, slot_release(engine)))

    def _candidates(self, ask, endpoints, engine, herd, now):
        """Return a candidate for each endpoint, the best first."""
        holding = slot_release(engine) * engine.slots
        arrivals = {near: herd.arrivals(near=near, now=now) for near in (True, False)}
        sharing = {True: 0, False: 0}
        placed = [(item, self._is_near(item), item.load) for item in endpoints]
        for _, near, load in placed:
            sharing[near] += load < engine.slots
        candidates = []
        for endpoint, near, told in placed:
            load = told + added_load(
                arrivals=arrivals[near],
                sharing=sharing[near],
                load=told,
                holding=holding,
                slots=engine.slots,
                age=endpoint.report_age(now),
            )
            expected = first_token_at(endpoint, engine, ask, load=load)
            candidates.append(
                _Candidate(
                    endpoint=endpoint,
                    near=near,
                    load=load,
                    expected=expected,
                    rank=self._rank(endpoint, expected, near=near),
                )
            )
        candidates.sort(key=lambda item: item.rank)
        return candidates

    def _herd_of(self, service):
        herd = self._herd_by_service.get(service)
        if herd is None:
            herd = self._herd_by_service[service] = Herd()
        herd.near_hosts, herd.all_hosts = self.entry_hosts
        return herd

    def _is_near(self, endpoint):
        return endpoint.is_in(self.failure_domain)

    def _less_loaded_of_two(self, candidates):
        """Return the less loaded of two random ones, near ones before far ones.

        Several entry hosts see the same loads, some 0.1 s old. If each took the
        least loaded engine, all would take the same one, and its callers be late.
        """
        alike = [item for item in candidates if item.near == candidates[0].near]
        pair = self._chance.sample(alike, min(2, len(alike)))
        return min(pair, key=lambda item: (item.load, item.rank))

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
