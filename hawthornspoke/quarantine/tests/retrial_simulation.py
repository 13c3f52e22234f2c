"""Simulation of a crashing prompt part beside ends that have other causes.

Answers the load of ``blame_simulation`` while endpoints end by themselves, all at once
or one by one, ends go unnoticed, and hosts and agents start again. Run many seeds by
hand::

    python -m hawthornspoke.quarantine.tests.retrial_simulation --seeds 1000
"""

import argparse
import collections
from concurrent.futures import ProcessPoolExecutor

from hawthornspoke.quarantine import (
    Confirmed,
    EvidenceExchange,
    EvidenceReceived,
    Quarantined,
    Released,
    Retrial,
)
from hawthornspoke.quarantine.tests.blame_simulation import (
    MAX_REFUSED,
    BlameSimulation,
)

#: Requests with the part that all hosts together may send later than the recognition
#: time after the fifth crash.
MAX_SENT_LATE = 3

#: Seconds: between two ends of single endpoints, of mass ends, of the start of all
#: hosts and agents, and for how long the stored evidence can't be read then.
SINGLE_END_INTERVAL = 5.0
MASS_ENDS_AT = (10.0, 25.0)
RESTART_AT = 20.0
STORE_AWAY_TIME = 5.0

#: Seconds from the start of a host to its first evidence of agents, and between two
#: starts of single hosts.
CONNECT_DELAY = (0.3, 0.9)
HOST_RESTART_INTERVAL = 2.5

#: Share of the ends that a host doesn't notice.
UNNOTICED_SHARE = 0.5

TROUBLES = (
    "nothing",
    "single_ends",
    "mass_ends",
    "unnoticed",
    "restart",
    "restart_store_away",
    "hosts_in_turn",
    "cuts",
    "single_ends+restart",
    "single_ends+unnoticed+restart",
    "mass_ends+hosts_in_turn",
)


class RetrialSimulation(BlameSimulation):
    """One random run.

    Parameters
    ----------
    troubles : str
        Names joined by ``+``.
    """

    host_count = 7
    duration = 60.0
    recognized_ends = 5
    recognition_time = 3.0
    restart_delay = 0.8

    def __init__(self, *, troubles, **options):
        super().__init__(**options)
        self.troubles = troubles.split("+")
        self._stored_by_feature = {}
        self._silent_until = [float("-inf")] * self.host_count
        self._cut_until = [float("-inf")] * self.host_count
        if "single_ends" in self.troubles:
            self._after(self.starts_at, self._end_single)
        if "mass_ends" in self.troubles:
            for at in MASS_ENDS_AT:
                self._after(self.starts_at + at, self._end_all)
        if "restart" in self.troubles:
            self._after(self.starts_at + RESTART_AT, self._restart_all, 0.0)
        if "restart_store_away" in self.troubles:
            args = (self._restart_all, STORE_AWAY_TIME)
            self._after(self.starts_at + RESTART_AT, *args)
        if "hosts_in_turn" in self.troubles:
            self._after(self.starts_at, self._restart_next, 0)
        if "cuts" in self.troubles:
            self._after(self.starts_at + 3.0, self._cut)

    def _end_single(self):
        self._after(self.rng.expovariate(1 / SINGLE_END_INTERVAL), self._end_single)
        up = [endpoint for endpoint in self.endpoints if endpoint.is_up]
        if up:
            self._end(self.rng.choice(up))

    def _end_all(self):
        for endpoint in self.endpoints:
            if endpoint.is_up:
                self._end(endpoint)

    def _restart_all(self, away_time):
        self.agents = [EvidenceExchange() for _ in self.agents]
        for host in range(self.host_count):
            self._restart_host(host, away_time)

    def _restart_next(self, host):
        self._restart_host(host, 0.0)
        following = (host + 1) % self.host_count
        self._after(HOST_RESTART_INTERVAL, self._restart_next, following)

    def _restart_host(self, host, away_time):
        self.hosts[host] = self._new_host()
        self._isolated_by_host[host] = None
        for endpoint in self.endpoints:
            for request in list(endpoint.requests):
                if request.host == host:
                    endpoint.requests.discard(request)
        for key in [key for key in self._refused_since if key[0] == host]:
            del self._refused_since[key]
        # A host serves no requests before it has read the stored evidence.
        delay = away_time + self.rng.uniform(0.1, 0.5)
        self._silent_until[host] = self.now + delay
        self._after(delay, self._read_stored, host)
        self._after(self.rng.uniform(*CONNECT_DELAY), self._connect, host)

    def _read_stored(self, host):
        items = [
            item
            for stored in self._stored_by_feature.values()
            for item in stored.values()
        ]
        if items:
            self._step(host, EvidenceReceived(items=tuple(items)))

    def _connect(self, host):
        for agent in self.agents:
            items = tuple(agent.evidence(now=self.now))
            if items:
                self._receive(host, EvidenceReceived(items=items))
        self._share(tuple(self.hosts[host].evidence(now=self.now)), host=host)

    def _cut(self):
        host = self.rng.randrange(self.host_count)
        seconds = self.rng.uniform(1.0, 5.0)
        self._cut_until[host] = self.now + seconds
        self._after(seconds + 0.01, self._connect, host)
        self._after(seconds + self.rng.uniform(0.0, 3.0), self._cut)

    def _is_cut(self, host):
        return host is not None and self.now < self._cut_until[host]

    def _send(self, request):
        if self.now >= self._silent_until[request.host]:
            super()._send(request)

    def _claim(self, host, features):
        return [] if self._is_cut(host) else super()._claim(host, features)

    def _share(self, items, *, host=None):
        if not self._is_cut(host):
            super()._share(items)

    def _share_from(self, host, items):
        self._store(items)
        self._share(items, host=host)

    def _receive(self, host, update):
        if not self._is_cut(host):
            super()._receive(host, update)

    def _record_end(self, host, incarnation_id, features, broken):
        if "unnoticed" in self.troubles and self.rng.random() < UNNOTICED_SHARE:
            features = ()
        super()._record_end(host, incarnation_id, features, broken)

    def _on_outcome(self, host, outcome):
        if isinstance(outcome, (Quarantined, Confirmed, Released)):
            evidence = self.hosts[host].evidence(now=self.now)
            self._store(
                item for item in evidence if item.fingerprint == outcome.fingerprint
            )

    def _store(self, items):
        for item in items:
            stored = self._stored_by_feature.setdefault(item.fingerprint, {})
            if item.cleared:
                stored.pop(item.incarnation_id, None)
            elif isinstance(item, Retrial):
                stored[None] = item
            else:
                stored[item.incarnation_id] = item


def run_case(case):
    """Run one seed; return the case and its Result."""
    return case, RetrialSimulation(**case).run()


def cases(*, seeds):
    """Return the parameters of all runs, which go through the troubles."""
    return [
        {
            "seed": seed,
            "troubles": TROUBLES[seed % len(TROUBLES)],
            "crashing_rate": (2.0, 5.0, 10.0)[seed // len(TROUBLES) % 3],
            "endpoints": 5,
            "is_young": seed // 3 % 3 == 0,
            "always_beside": "part:a0" if seed % 2 else None,
        }
        for seed in seeds
    ]


def main():
    """Print a table of all troubles."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=110)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    rows = collections.defaultdict(list)
    with ProcessPoolExecutor(options.jobs) as pool:
        for case, result in pool.map(run_case, cases(seeds=seeds), chunksize=4):
            rows[case["troubles"]].append((case["seed"], result))
    print("troubles | seeds late>3 refused>2s most-late crashes sound-refused")
    for troubles, pairs in rows.items():
        results = [result for _, result in pairs]
        late = [s for s, result in pairs if result.sent_late > MAX_SENT_LATE]
        long = [s for s, result in pairs if result.longest_refusal > MAX_REFUSED]
        share = sum(r.refused for r in results) / sum(r.sound for r in results)
        most = max(result.sent_late for result in results)
        crashes = max(result.ends for result in results)
        row = (troubles, "|", len(results), len(late), len(long), most, crashes)
        print(*row, f"{share:.4f}", late[:6], long[:6])


if __name__ == "__main__":
    main()
