"""Where a request goes, and whether it is taken at all: a pure state machine."""

import random
from dataclasses import replace

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.catalog import DeclaredVersions
from hawthornspoke.placing._endpoint import Endpoint
from hawthornspoke.placing._herd import Herd, added_load
from hawthornspoke.placing._messages import (
    AgentLost,
    Ask,
    CatalogChanged,
    Decline,
    EndpointsListed,
    EngineReported,
    EntryHostsSeen,
    Finished,
    LoadSeen,
    Place,
    Recheck,
    Sent,
    WeightsDated,
    WeightsDeclared,
)
from hawthornspoke.placing._predict import first_token, slot_release, whole_answer

#: What the machine takes.
MESSAGES = (
    AgentLost,
    Ask,
    CatalogChanged,
    EndpointsListed,
    EngineReported,
    EntryHostsSeen,
    Finished,
    LoadSeen,
    Recheck,
    Sent,
    WeightsDated,
    WeightsDeclared,
)

#: Failure rate above which an endpoint is left alone for a while. Services whose
#: own errors reach one answer in seven stay well below it.
AVOID_RATE = 0.5

#: Failure rate with which it comes back: two more failures put it aside again.
RETURN_RATE = 0.35

#: Seconds for which it is left alone, doubled each time up to the most.
AVOID_FIRST = 0.5
AVOID_MOST = 8.0

#: Part of a service's endpoints that may be left alone at once. If most of them
#: fail the cause is not theirs, and the rest could not carry the load.
AVOID_SHARE = 0.5

#: Seconds before a bound at which a request that has not begun on older weights is
#: taken back. Its end needs as long to reach the engine as anything else on a link
#: full of pieces, 0.18 s as seen, and a busy process notices the time 0.1 s late.
WITHDRAW_MARGIN = 0.4

#: The same for engines of other failure domains: links between regions carry pieces
#: and configurations too, and nobody measures how long a message waits there.
WITHDRAW_MARGIN_FAR = 0.6

#: Times the expected time to the first token after which a request is taken to have
#: begun. On an engine four times slower than usual 1.05 s were seen for 0.4 s.
BEGIN_SHARE = 2.0

#: Seconds without an agent's word after which its engine is left alone: almost three
#: of the times after which it speaks again, in the own failure domain and in others.
QUIET_NEAR = 0.7
QUIET_FAR = 5.0

#: Seconds that messages wait on the way to an engine and back from which it is left
#: alone: as long as first events may take. Beside a spread of weights 0.1 s are usual.
LINK_FULL = 0.4

#: Seconds an entry that vanished just as the platform came back is still used.
#: Lapsed entries return within two seconds, and an endpoint that left goes on
#: serving for at least two.
LAPSE_TIME = 1.5
LAPSE_WINDOW = 2.5

#: Requests over its slots that an engine may have when it is given one of a caller
#: that is late already. With six, returned callers took every slot as it came free:
#: those that still could be on time were refused, returned, and were late as well. In
#: a lasting overload of a third 35% of the callers were answered on time; with none,
#: 60%, and no fewer were answered in all.
LATE_QUEUE = 0

#: Requests for each slot of a plain endpoint above which nothing more is sent to
#: it: with a queue of four times its slots it sheds.
PLAIN_QUEUE = 3

#: Part of the remaining time that callers are willing to wait before they return.
RETURN_SHARE = 1 / 3

#: Least seconds that a refused caller is told to wait: below this it comes back
#: before anything has changed.
LEAST_RETRY_AFTER = 0.2


class _Candidate:
    """An engine that may take a request: its load now and what follows from it."""

    __slots__ = ("endpoint", "load", "expected", "rank")

    def __init__(self, *, endpoint, load, expected, rank):
        self.endpoint = endpoint
        self.load = load
        self.expected = expected
        self.rank = rank


@MACHINES.register("fleet")
class Fleet(Machine):
    """Knows the endpoints and chooses one for each request.

    Parameters
    ----------
    failure_domain : str, default=""
        Of this host; endpoints there are preferred, since bytes between failure
        domains are slow and dear.
    version_bound : float, default=8.0
        Seconds after its declaration from which only a version or a newer one may
        begin to answer.
    version_margin : float, default=0.95
        Seconds before that from which nothing is sent to an older version. A
        request that is sent begins later: 0.84 s were seen, 0.18 s of them on a
        link full of pieces and the rest in the engine.
    seed : int, default=0
    """

    __slots__ = (
        "failure_domain",
        "version_bound",
        "version_margin",
        "seed",
        "endpoint_by_id",
        "service_by_name",
        "_ids_by_service",
        "_id_by_address",
        "declared",
        "_entry_hosts",
        "_herd_by_service",
        "_random",
    )
    PARAMS = {
        "failure_domain": Bounds(kind=str),
        "version_bound": Bounds(kind=(int, float), low=0),
        "version_margin": Bounds(kind=(int, float), low=0),
        "seed": Bounds(kind=int),
    }

    def __init__(
        self, *, failure_domain="", version_bound=8.0, version_margin=0.95, seed=0
    ):
        self.failure_domain = failure_domain
        self.version_bound = version_bound
        self.version_margin = version_margin
        self.seed = seed
        self.endpoint_by_id = {}
        self.service_by_name = {}
        self._ids_by_service = {}
        self._id_by_address = {}
        self.declared = DeclaredVersions()
        self._entry_hosts = (1, 1)
        self._herd_by_service = {}
        self._random = random.Random(seed)

    def on_catalog_changed(self, message, *, now):
        """Take the services of a newer configuration."""
        self.service_by_name = message.service_by_name
        return []

    def on_endpoints_listed(self, message, *, now):
        """Take the platform's list."""
        entry_by_id = {entry.endpoint_id: entry for entry in message.entries}
        for endpoint_id, entry in entry_by_id.items():
            endpoint = self.endpoint_by_id.get(endpoint_id)
            if endpoint is None:
                self.endpoint_by_id[endpoint_id] = Endpoint(entry=entry)
                continue
            endpoint.take_entry(entry)
        lapsed = now < message.contact_regained_at + LAPSE_WINDOW
        for endpoint_id, endpoint in list(self.endpoint_by_id.items()):
            if endpoint_id in entry_by_id:
                continue
            if not endpoint.gone:
                endpoint.gone = True
                endpoint.doubtful_deadline = now + LAPSE_TIME if lapsed else now
            if endpoint.own_running == 0 and now >= endpoint.doubtful_deadline:
                del self.endpoint_by_id[endpoint_id]
        self._index()
        return []

    def on_weights_declared(self, message, *, now):
        """Take a declared version."""
        self.declared.add(
            message.declared, at=message.at, known_until=message.known_until
        )
        return []

    def on_weights_dated(self, message, *, now):
        """Take when versions were declared that this process found declared."""
        for version, at in message.moments:
            self.declared.hear(message.model, version, at=at)
        return []

    def on_engine_reported(self, message, *, now):
        """Take an agent's word."""
        endpoint = self._at(message.address)
        if endpoint is not None:
            endpoint.take_state(message, now)
        for version, at in message.declared:
            self.declared.hear(message.model, version, at=at)
        return []

    def on_agent_lost(self, message, *, now):
        """Go back to what the platform's list says."""
        # Also where the entry is gone: it may come back with another start.
        for endpoint in self.endpoint_by_id.values():
            if endpoint.entry.address == message.address:
                endpoint.state = None
        return []

    def on_entry_hosts_seen(self, message, *, now):
        """Take how many entry hosts there are."""
        self._entry_hosts = (max(1, message.near), max(1, message.near, message.all))
        return []

    def on_sent(self, message, *, now):
        """Count a request that was sent."""
        endpoint = self._sent_to(message)
        if endpoint is not None:
            endpoint.own_running += 1
            endpoint.sent_since_report += 1
        return []

    def on_load_seen(self, message, *, now):
        """Take the load that a response told."""
        endpoint = self._sent_to(message)
        if endpoint is not None:
            endpoint.report(message.load, now)
        return []

    def on_finished(self, message, *, now):
        """Count what became of a request."""
        endpoint = self._sent_to(message)
        if endpoint is None:
            return []
        if message.outcome != "unreachable":
            endpoint.end_one()
        if message.outcome == "moved":
            # Another endpoint has the address: its own entry is on the way.
            endpoint.gone = True
            endpoint.doubtful_deadline = now
        if message.outcome in ("left", "moved"):
            return []
        endpoint.note(message.outcome in ("failed", "silent", "unreachable"))
        if message.outcome == "done":
            endpoint.avoided = 0
            if message.seconds is not None:
                endpoint.note_time(message.seconds)
        # What doesn't answer at all is dead, cut off or standing still; a few more
        # requests would only wait there for nothing.
        at_once = message.outcome in ("silent", "unreachable")
        if at_once or endpoint.failure_rate > AVOID_RATE:
            self._avoid(endpoint, now)
        return []

    def on_ask(self, message, *, now):
        """Choose an endpoint, or say why there is none.

        Parameters
        ----------
        message : Ask
        now : float

        Returns
        -------
        list of Place or Decline
        """
        contact_now = now if message.contact_now is None else message.contact_now
        service = self.service_by_name.get(message.service)
        known = [
            endpoint
            for endpoint in self._of_service(message.service)
            if endpoint.accepts(now) and endpoint.entry.endpoint_id not in message.tried
        ]
        if service is None or not known:
            return [self._decline(message, "no_endpoint", 0.5)]
        known = self._without_avoided(known, now)
        if service.engine is None:
            return [self._place_plain(message, known, now)]
        usable = [
            endpoint
            for endpoint in known
            if self._has_weights(endpoint, service.engine, message, contact_now)
            and self._begins_in_time(endpoint, service.engine, message, contact_now)
        ]
        if not usable:
            return [self._decline_for_weights(message, known, now)]
        answer = self._place_on_engine(message, usable, service.engine, now)
        if isinstance(answer, Place):
            answer = self._with_deadline(answer, service.engine, contact_now - now)
        return [answer]

    def on_recheck(self, message, *, now):
        """Look once more at a place just before the request is sent there.

        Parameters
        ----------
        message : Recheck
        now : float

        Returns
        -------
        list of Place or Decline
        """
        ask, place = message.ask, message.place
        contact_now = now if ask.contact_now is None else ask.contact_now
        service = self.service_by_name.get(ask.service)
        endpoint = self.endpoint_by_id.get(place.endpoint_id)
        is_there = endpoint is not None and endpoint.accepts(now)
        if service is None or not is_there or endpoint.entry.address != place.address:
            return [self._decline(ask, "no_endpoint", 0.5)]
        engine = service.engine
        if engine is None:
            return [place]
        if not (
            self._has_weights(endpoint, engine, ask, contact_now)
            and self._begins_in_time(endpoint, engine, ask, contact_now)
        ):
            return [self._decline_for_weights(ask, [endpoint], now)]
        place = replace(place, weights_version=endpoint.weights_version)
        return [self._with_deadline(place, engine, contact_now - now)]

    def floor_version(self, model, contact_now):
        """Return the oldest version that may still begin to answer."""
        return self.declared.floor(
            model, bound=self.version_bound - self.version_margin, now=contact_now
        )

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "declared": self.declared.dump(now=now),
            "endpoint_by_id": {
                endpoint_id: {
                    "service": endpoint.entry.service,
                    "address": endpoint.entry.address,
                    "started_ms": endpoint.incarnation.started_ms,
                    "listed_started_ms": endpoint.entry.incarnation.started_ms,
                    "told_started_ms": _told_start(endpoint),
                    "leaving": endpoint.entry.leaving,
                    "gone": endpoint.gone,
                    "load": endpoint.load,
                    "own_running": endpoint.own_running,
                    "report_age": _age(endpoint, now),
                    "weights_version": endpoint.weights_version,
                    "layers": endpoint.layers,
                    "loading": endpoint.loading,
                    "failure_rate": round(endpoint.failure_rate, 3),
                    "avoided_for": round(max(0.0, endpoint.avoid_deadline - now), 3),
                }
                for endpoint_id, endpoint in self.endpoint_by_id.items()
            },
        }

    def _index(self):
        self._ids_by_service = {}
        self._id_by_address = {}
        for endpoint_id, endpoint in self.endpoint_by_id.items():
            ids = self._ids_by_service.setdefault(endpoint.entry.service, [])
            ids.append(endpoint_id)
            if not endpoint.gone:
                self._id_by_address[endpoint.entry.address] = endpoint_id

    def _at(self, address):
        return self.endpoint_by_id.get(self._id_by_address.get(address))

    def _sent_to(self, message):
        """Return the endpoint that a request was sent to, None if it is over.

        A request ends up to its deadline after the start that it was sent to. Were
        it counted for the next one, that one would be avoided for failures of
        before, and filled beyond its slots as if its own requests had ended.
        """
        endpoint = self.endpoint_by_id.get(message.endpoint_id)
        if endpoint is None or not endpoint.was_sent_to(message.incarnation):
            return None
        return endpoint

    def _of_service(self, name):
        return [self.endpoint_by_id[key] for key in self._ids_by_service.get(name, ())]

    def _avoid(self, endpoint, now):
        if now < endpoint.avoid_deadline:
            return
        pause = min(AVOID_MOST, AVOID_FIRST * 2**endpoint.avoided)
        endpoint.avoided += 1
        endpoint.avoid_deadline = now + pause
        endpoint.failure_rate = RETURN_RATE

    def _is_quiet(self, endpoint, now):
        """Tell whether the agent beside an engine has said nothing for too long.

        The connection of a host that stands still, or is cut off, stays open; the
        first sign of it is that its regular word is missing.
        """
        if endpoint.state is None:
            return False
        if endpoint.link_delay >= LINK_FULL:
            return True
        quiet = QUIET_NEAR if self._is_near(endpoint) else QUIET_FAR
        return now >= endpoint.heard_at + quiet

    def _without_avoided(self, endpoints, now):
        kept = [
            item
            for item in endpoints
            if now >= item.avoid_deadline and not self._is_quiet(item, now)
        ]
        if len(kept) < len(endpoints) * (1 - AVOID_SHARE) or not kept:
            return endpoints
        return kept

    def _with_deadline(self, place, engine, suspended):
        """Return a place with the moment at which a request must have begun there.

        Parameters
        ----------
        place : Place
        engine : EngineProfile
        suspended : float
            Seconds by which the clock of declarations is ahead of that of deadlines.
        """
        if not engine.layers or place.weights_version is None:
            return place
        too_old_at = self.declared.too_old_at(
            engine.model, place.weights_version, bound=self.version_bound
        )
        if too_old_at is None:
            return place
        near = self._is_near(self.endpoint_by_id[place.endpoint_id])
        margin = WITHDRAW_MARGIN if near else WITHDRAW_MARGIN_FAR
        return replace(place, begin_deadline=too_old_at - suspended - margin)

    def _has_weights(self, endpoint, engine, message, contact_now):
        if endpoint.loading:
            return False
        if engine.layers and endpoint.layers != (0, engine.layers):
            return False
        version = endpoint.weights_version
        if message.same_version is not None:
            return version == message.same_version
        if not engine.layers:
            return True
        if version is None:
            return False
        return version >= self.floor_version(engine.model, contact_now)

    def _begins_in_time(self, endpoint, engine, message, contact_now):
        """Tell whether a request begins there before its weights are too old.

        An engine that is full, or slow, begins later than the margin allows for.
        """
        if not engine.layers or endpoint.weights_version is None:
            return True
        expected = _first_token_at(endpoint, engine, message, load=endpoint.load)
        begins = contact_now + BEGIN_SHARE * expected
        return endpoint.weights_version >= self.floor_version(engine.model, begins)

    def _place_plain(self, message, endpoints, now):
        open_ones = [
            endpoint
            for endpoint in endpoints
            if endpoint.load < endpoint.entry.slots * PLAIN_QUEUE
        ]
        if not open_ones:
            soonest = min(whole_answer(endpoint) for endpoint in endpoints)
            return self._decline(message, "full", soonest)
        ranked = [(self._rank(item, whole_answer(item)), item) for item in open_ones]
        best = min(ranked, key=lambda pair: pair[0])[1]
        return self._place(best, whole_answer(best), now)

    def _place_on_engine(self, message, endpoints, engine, now):
        herd = self._herd_of(message.service)
        herd.count_asked(now)
        candidates = self._candidates(message, endpoints, engine, herd, now)
        on_time = [item for item in candidates if item.expected <= message.on_time_left]
        if not on_time or not self._is_near(on_time[0].endpoint):
            herd.count_overflowed(now)
        if not on_time and message.returned:
            on_time = [
                item
                for item in candidates
                if item.load - engine.slots < LATE_QUEUE
                and item.expected < message.time_left / 2
            ]
        if on_time:
            chosen = self._less_loaded_of_two(on_time)
            return self._place(chosen.endpoint, chosen.expected, now)
        expected = min(item.expected for item in candidates)
        excess = max(0.0, expected - max(0.0, message.on_time_left))
        return self._decline(message, "full", max(excess, slot_release(engine)))

    def _candidates(self, message, endpoints, engine, herd, now):
        """Return a candidate for each endpoint, the best first."""
        holding = slot_release(engine) * engine.slots
        arrivals = {near: herd.arrivals(near=near, now=now) for near in (True, False)}
        sharing = {True: 0, False: 0}
        for endpoint in endpoints:
            sharing[self._is_near(endpoint)] += endpoint.load < engine.slots
        candidates = []
        for endpoint in endpoints:
            near = self._is_near(endpoint)
            load = endpoint.load + added_load(
                arrivals=arrivals[near],
                sharing=sharing[near],
                load=endpoint.load,
                holding=holding,
                slots=engine.slots,
                age=_age(endpoint, now),
            )
            expected = _first_token_at(endpoint, engine, message, load=load)
            rank = self._rank(endpoint, expected)
            candidates.append(
                _Candidate(endpoint=endpoint, load=load, expected=expected, rank=rank)
            )
        candidates.sort(key=lambda item: item.rank)
        return candidates

    def _herd_of(self, service):
        herd = self._herd_by_service.get(service)
        if herd is None:
            herd = self._herd_by_service[service] = Herd()
        herd.near_hosts, herd.all_hosts = self._entry_hosts
        return herd

    def _is_near(self, endpoint):
        return endpoint.entry.failure_domain == self.failure_domain

    def _less_loaded_of_two(self, candidates):
        """Return the less loaded of two random ones, near ones before far ones.

        Several entry hosts see the same loads, some 0.1 s old. If each took the
        least loaded engine, all would take the same one, and its callers be late.
        """
        first_near = self._is_near(candidates[0].endpoint)
        alike = [
            item for item in candidates if self._is_near(item.endpoint) == first_near
        ]
        pair = self._random.sample(alike, min(2, len(alike)))
        return min(pair, key=lambda item: (item.load, item.rank))

    def _rank(self, endpoint, expected):
        far = not self._is_near(endpoint)
        return far, expected, endpoint.own_running, self._random.random()

    def _place(self, endpoint, expected, now):
        return Place(
            endpoint_id=endpoint.entry.endpoint_id,
            address=endpoint.entry.address,
            load=endpoint.load,
            report_age=_age(endpoint, now),
            expected=expected,
            weights_version=endpoint.weights_version,
            incarnation=endpoint.incarnation,
        )

    def _decline_for_weights(self, message, endpoints, now):
        times = [
            endpoint.agent_word.next_ready_at
            for endpoint in endpoints
            if endpoint.agent_word is not None
            and endpoint.agent_word.next_ready_at is not None
        ]
        soonest = max(0.0, min(times) - now) if times else 1.0
        return self._decline(message, "no_weights", soonest)

    def _decline(self, message, reason, seconds):
        # Callers refused together come back over a span, not at one moment. They
        # wait a third of their time at most, so a later time would only be cut.
        most = max(LEAST_RETRY_AFTER, message.time_left * RETURN_SHARE)
        earliest = min(max(LEAST_RETRY_AFTER, seconds), most)
        spread = earliest + (most - earliest) * self._random.random()
        return Decline(reason=reason, retry_after=round(spread, 3))


def _told_start(endpoint):
    word = endpoint.state
    return None if word is None else word.incarnation.started_ms


def _age(endpoint, now):
    if endpoint.reported_at is None:
        return None
    return round(now - endpoint.reported_at, 3)


def _first_token_at(endpoint, engine, message, *, load):
    return first_token(
        engine,
        load=load,
        prompt_tokens=message.prompt_tokens,
        pace=endpoint.pace,
    )
