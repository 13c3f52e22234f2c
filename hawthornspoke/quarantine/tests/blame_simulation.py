"""Simulation of hosts, agents and endpoints that a prompt part crashes, without I/O.

Answers the load of requests that share one crashing part, no two alike, beside sound
requests with common parts. Run many seeds by hand::

    python -m hawthornspoke.quarantine.tests.blame_simulation --seeds 1000
"""

import argparse
import collections
import heapq
import itertools
import random
import statistics
from concurrent.futures import ProcessPoolExecutor

from hawthornspoke.quarantine import (
    BLAME_RULES,
    Blocked,
    EndpointEnded,
    EvidenceExchange,
    EvidenceReceived,
    EvidenceUpdate,
    Isolated,
    Quarantine,
    RequestCompleted,
    RetrialClaimed,
    RetrialGranted,
    StreamContinued,
)

HOSTS = 9
AGENTS = 3
CRASHING_PART = "part:dead"

#: Sound requests per second, and number of parts in first and second place.
SOUND_RATE = 60.0
FIRST_PARTS = 5
SECOND_PARTS = 40

#: Seconds: from sending to the head, from the head to the first event and to the end
#: of the answer, from the head to the crash, from a crash to the restart, from one
#: process to another, and from a broken connection to the result of the probe.
HEAD_DELAY = (0.08, 0.25)
FIRST_EVENT_DELAY = (0.03, 0.1)
ANSWER_TIME = (0.5, 1.5)
CRASH_DELAY = (0.04, 0.12)
RESTART_DELAY = 3.0
HOP_DELAY = (0.01, 0.1)
PROBE_DELAY = (0.002, 0.01)

#: Seconds after its head for which a request counts as just begun.
JUST_BEGUN = 0.25

#: Seconds after its head from which a stream clears its parts.
CONTINUED = 0.5

MAX_ATTEMPTS = 2
WARM_UP = 10.0
DURATION = 15.0

#: Endpoint ends and seconds after them from which no host sends a crashing request.
RECOGNIZED_ENDS = 3
RECOGNITION_TIME = 0.5

#: Seconds for which a sound feature may be refused.
MAX_REFUSED = 2.0


class Request:
    """A request, and its current attempt."""

    __slots__ = (
        "number",
        "features",
        "host",
        "endpoint",
        "head_at",
        "event_at",
        "tries",
    )

    def __init__(self, *, number, parts, host):
        self.number = number
        self.features = (f"{number:024x}", *parts)
        self.host = host
        self.endpoint = None
        self.head_at = None
        self.event_at = None
        self.tries = 0

    @property
    def is_crashing(self):
        return CRASHING_PART in self.features


class Endpoint:
    """One endpoint; each start is a new incarnation."""

    __slots__ = ("number", "starts", "is_up", "requests")

    def __init__(self, *, number):
        self.number = number
        self.starts = 0
        self.is_up = True
        self.requests = set()

    @property
    def incarnation_id(self):
        return f"e{self.number}@{self.starts}"


class Result:
    """What callers and endpoints saw.

    Attributes
    ----------
    sent_late : int
        Crashing requests sent later than ``RECOGNITION_TIME`` after the third end.
    ends : int
        Endpoints that ended.
    sound, refused : int
        Sound requests during the crashes, and how many of them were refused.
    longest_refusal : float
        Longest time in seconds for which a host refused a feature of sound requests.
    """

    __slots__ = ("sent_late", "ends", "sound", "refused", "longest_refusal")

    def __init__(self):
        self.sent_late = 0
        self.ends = 0
        self.sound = 0
        self.refused = 0
        self.longest_refusal = 0.0


class BlameSimulation:
    """One random run.

    Parameters
    ----------
    seed : int
    endpoints : int
    crashing_rate : float
        Crashing requests per second.
    rule : str, default="explanation"
    is_young : bool, default=False
        Whether all processes have just started.
    always_beside : str or None, default=None
        First part that all crashing requests have.
    """

    host_count = HOSTS
    duration = DURATION
    recognized_ends = RECOGNIZED_ENDS
    recognition_time = RECOGNITION_TIME
    restart_delay = RESTART_DELAY

    def __init__(
        self,
        *,
        seed,
        endpoints,
        crashing_rate,
        rule="explanation",
        is_young=False,
        always_beside=None,
    ):
        self.rng = random.Random(seed)
        self.crashing_rate = crashing_rate
        self.always_beside = always_beside
        self.rule = rule
        self.hosts = [self._new_host() for _ in range(self.host_count)]
        self.agents = [EvidenceExchange() for _ in range(AGENTS)]
        self.endpoints = [Endpoint(number=number) for number in range(endpoints)]
        self.starts_at = 0.0 if is_young else WARM_UP
        self.stops_at = self.starts_at + self.duration
        self.result = Result()
        self.now = 0.0
        self.recognized_at = float("inf")
        self._isolated_by_host = [None] * self.host_count
        self._refused_since = {}
        self._numbers = itertools.count(1)
        self._order = itertools.count()
        self._events = []

    def run(self):
        """Run; return a Result."""
        self._after(0.0, self._arrive_sound)
        self._after(self.starts_at, self._arrive_crashing)
        while self._events:
            at, _, call, args = heapq.heappop(self._events)
            if at >= self.stops_at:
                break
            self.now = at
            call(*args)
        return self.result

    def _new_host(self):
        return Quarantine(
            rule=self.rule, phase=self.rng.random(), hosts=self.host_count
        )

    def _after(self, delay, call, *args):
        heapq.heappush(self._events, (self.now + delay, next(self._order), call, args))

    def _arrive_sound(self):
        self._after(self.rng.expovariate(SOUND_RATE), self._arrive_sound)
        if self.now >= self.starts_at:
            self.result.sound += 1
        self._send(self._request(self._random_parts()))

    def _arrive_crashing(self):
        rate = self.crashing_rate
        self._after(self.rng.expovariate(rate), self._arrive_crashing)
        first, second = self._random_parts()
        self._send(self._request((self.always_beside or first, CRASHING_PART, second)))

    def _random_parts(self):
        first = self.rng.randrange(FIRST_PARTS)
        second = self.rng.randrange(SECOND_PARTS)
        return f"part:a{first}", f"part:b{second}"

    def _request(self, parts):
        number = next(self._numbers)
        return Request(
            number=number, parts=parts, host=self.rng.randrange(self.host_count)
        )

    def _send(self, request):
        machine = self.hosts[request.host]
        verdict = machine.verdict(request.features, now=self.now)
        if verdict is not None and not self._may_isolate(request, verdict):
            if isinstance(verdict, Isolated) and verdict.is_due:
                if self._claim(request.host, verdict.features):
                    # Once the grants have arrived.
                    self._after(HOP_DELAY[1], self._send, request)
                    return
            self._refuse(request, verdict)
            return
        up = [item for item in self.endpoints if item.is_up]
        if not up:
            return
        if verdict is None:
            self._end_refusal(request)
        else:
            retrials = machine.begin_trial(verdict.features, now=self.now)
            self._share_from(request.host, retrials)
            self._isolated_by_host[request.host] = request
        if (
            request.is_crashing
            and self.now > self.recognized_at + self.recognition_time
        ):
            self.result.sent_late += 1
        request.tries += 1
        request.head_at = request.event_at = None
        request.endpoint = self.rng.choice(up)
        request.endpoint.requests.add(request)
        args = (request, request.endpoint.incarnation_id)
        self._after(self.rng.uniform(*HEAD_DELAY), self._begin, *args)

    def _may_isolate(self, request, verdict):
        return not isinstance(verdict, Blocked) and verdict.free_at <= self.now

    def _claim(self, host, features):
        """Claim the retrials of some features from the first agent."""
        granted = []
        for feature in features:
            known = self.hosts[host].retrial(feature, now=self.now)
            (answer,) = self.agents[0].step(RetrialClaimed(known=known), now=self.now)
            if isinstance(answer, RetrialGranted):
                granted.append(feature)
                self._after(self.rng.uniform(*HOP_DELAY), self._grant, host, answer)
        return granted

    def _grant(self, host, answer):
        self.hosts[host].step(answer, now=self.now)

    def _refuse(self, request, verdict):
        if isinstance(verdict, Blocked) and verdict.is_due:
            self._claim(request.host, verdict.features)
        if request.is_crashing:
            return
        self.result.refused += request.tries == 0
        if isinstance(verdict, Blocked) and any(item.is_up for item in self.endpoints):
            key = (request.host, verdict.features)
            since = self._refused_since.setdefault(key, self.now)
            longest = max(self.result.longest_refusal, self.now - since)
            self.result.longest_refusal = longest

    def _end_refusal(self, request):
        for host, features in list(self._refused_since):
            if host == request.host and features.issubset(request.features):
                del self._refused_since[host, features]

    def _begin(self, request, incarnation_id):
        endpoint = request.endpoint
        if (
            request not in endpoint.requests
            or endpoint.incarnation_id != incarnation_id
        ):
            return
        request.head_at = self.now
        request.event_at = self.now + self.rng.uniform(*FIRST_EVENT_DELAY)
        if request.is_crashing:
            self._after(
                self.rng.uniform(*CRASH_DELAY), self._crash, endpoint, incarnation_id
            )
        else:
            self._after(CONTINUED, self._continue, request, endpoint, incarnation_id)
            delay = self.rng.uniform(*ANSWER_TIME)
            self._after(delay, self._answer, request, endpoint, incarnation_id)

    def _continue(self, request, endpoint, incarnation_id):
        """Tell the host that an answer is beyond its beginning."""
        is_current = endpoint.incarnation_id == incarnation_id
        if request in endpoint.requests and is_current:
            message = StreamContinued(shared=request.features[1:])
            self._step(request.host, message)

    def _answer(self, request, endpoint, incarnation_id):
        if (
            request not in endpoint.requests
            or endpoint.incarnation_id != incarnation_id
        ):
            return
        endpoint.requests.discard(request)
        self._end_attempt(request)
        fingerprint, *shared = request.features
        message = RequestCompleted(fingerprint=fingerprint, shared=tuple(shared))
        self._step(request.host, message)

    def _end_attempt(self, request):
        if self._isolated_by_host[request.host] is request:
            self._isolated_by_host[request.host] = None
            self.hosts[request.host].end_trial()

    def _crash(self, endpoint, incarnation_id):
        if not endpoint.is_up or endpoint.incarnation_id != incarnation_id:
            return
        self.result.ends += 1
        if self.result.ends == self.recognized_ends:
            self.recognized_at = self.now
        self._end(endpoint)

    def _end(self, endpoint):
        """End an endpoint, whatever the cause."""
        incarnation_id = endpoint.incarnation_id
        requests, endpoint.requests = endpoint.requests, set()
        endpoint.is_up = False
        self._after(self.restart_delay, self._restart, endpoint)
        by_host = collections.defaultdict(list)
        for request in sorted(requests, key=lambda item: item.number):
            by_host[request.host].append(request)
        for host, broken in by_host.items():
            features = {
                feature for request in broken for feature in self._blamed(request)
            }
            delay = self.rng.uniform(*PROBE_DELAY)
            self._after(delay, self._record_end, host, incarnation_id, features, broken)

    def _blamed(self, request):
        fingerprint, *shared = request.features
        is_blamed = request.head_at is not None and (
            self.now < request.event_at or self.now < request.head_at + JUST_BEGUN
        )
        return [fingerprint, *shared] if is_blamed else [fingerprint]

    def _record_end(self, host, incarnation_id, features, broken):
        in_use = {
            endpoint
            for endpoint in self.endpoints
            if any(request.host == host for request in endpoint.requests)
        }
        message = EndpointEnded(
            incarnation_id=incarnation_id,
            fingerprints=tuple(sorted(features)),
            other_endpoints_in_use=len(in_use),
        )
        self._step(host, message)
        for request in broken:
            # As at a host, a trial that was broken off isn't followed by another one
            # before its timeout.
            if self._isolated_by_host[host] is request:
                self._isolated_by_host[host] = None
            if request.tries < MAX_ATTEMPTS:
                self._send(request)

    def _restart(self, endpoint):
        endpoint.starts += 1
        endpoint.is_up = True

    def _step(self, host, message, *, share=True):
        for outcome in self.hosts[host].step(message, now=self.now):
            self._on_outcome(host, outcome)
            if share and isinstance(outcome, EvidenceUpdate):
                self._share(outcome.items, host=host)

    def _on_outcome(self, host, outcome):
        """Hook for subclasses."""

    def _share_from(self, host, items):
        """Share retrials of a host."""
        self._share(items)

    def _share(self, items, *, host=None):
        if items:
            for agent in self.agents:
                delay = self.rng.uniform(*HOP_DELAY)
                self._after(delay, self._merge, agent, items)

    def _merge(self, agent, items):
        received = EvidenceReceived(items=items)
        for outcome in agent.step(received, now=self.now):
            for host in range(self.host_count):
                update = EvidenceReceived(items=outcome.items)
                delay = self.rng.uniform(*HOP_DELAY)
                self._after(delay, self._receive, host, update)

    def _receive(self, host, update):
        self._step(host, update, share=False)


def run_case(case):
    """Run one seed; return the case and its Result."""
    return case, BlameSimulation(**case).run()


def cases(*, seeds, rules, rates=(2.0, 5.0, 20.0), endpoints=(9, 40)):
    """Return the parameters of all runs; a third of them has no history."""
    return [
        {
            "seed": seed,
            "rule": rule,
            "crashing_rate": rates[seed % len(rates)],
            "endpoints": endpoints[seed // len(rates) % len(endpoints)],
            "is_young": seed // 6 % 3 == 0,
            "always_beside": "part:a0" if seed // 18 % 2 else None,
        }
        for rule in rules
        for seed in seeds
    ]


def main():
    """Print a table of all rules."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=180)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--rules", default=",".join(BLAME_RULES.names()))
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    rows = collections.defaultdict(list)
    with ProcessPoolExecutor(options.jobs) as pool:
        todo = cases(seeds=seeds, rules=options.rules.split(","))
        for case, result in pool.map(run_case, todo, chunksize=8):
            key = tuple(
                case[name]
                for name in ("rule", "endpoints", "crashing_rate", "is_young")
            )
            rows[key].append((case["seed"], result))
    print("rule endpoints rate young | seeds late>0 refused>2s ends sound-refused")
    for key, pairs in sorted(rows.items()):
        results = [result for _, result in pairs]
        late = [seed for seed, result in pairs if result.sent_late]
        long = [s for s, result in pairs if result.longest_refusal > MAX_REFUSED]
        share = sum(r.refused for r in results) / sum(r.sound for r in results)
        ends = statistics.mean(result.ends for result in results)
        print(
            *key,
            "|",
            len(results),
            len(late),
            sum(result.sent_late for result in results),
            len(long),
            round(ends, 1),
            max(result.ends for result in results),
            f"{share:.4f}",
            late[:4],
            long[:4],
        )


if __name__ == "__main__":
    main()
