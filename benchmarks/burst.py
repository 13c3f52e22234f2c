"""Time until new weights are live on N hosts, and copies read from the origin.

Runs separate agent processes on loopback. Token buckets limit the origin's link to
twice the rate of a host's link, the ratio that the system is designed for: in the time
allowed for a distribution, the origin's link carries four copies of the weights, and a
host's link two copies in each direction.
With M bytes of weights and L bytes per second of a host's link, the time is at least
M / L, and at least M bytes are read from the origin.

    python -m benchmarks.burst --hosts 8 24 --strategies origin chain scatter
    python -m benchmarks.burst --hosts 24 --faults
"""

import argparse
import random
import signal
import sys
import threading
import time

from benchmarks.report import (
    bounds,
    check,
    commit,
    cpu_seconds,
    memory_bytes,
    print_table,
    quantile,
)
from tests.fleet import Fleet, declarations

CHUNK_SIZE = 16 * 1024
HEADING = [
    "strategy",
    "hosts",
    "faults",
    "live / (M/L)",
    "complete / (M/L)",
    "origin copies",
    "max sent per host, copies",
    "control B/s per node",
    "cpu s per node",
    "memory MB",
    "first token p95 ms: idle",
    "during distribution",
]


class DistributionRun:
    """Distribution of one version to all hosts of a new fleet.

    Parameters
    ----------
    strategy : str
    hosts : int
    chunks : int
    window : float
        M / L of the module's docstring, in seconds.
    faults : tuple of str
        Any of ``kill`` (a host is killed), ``stall`` (a host is suspended for some
        time), ``corrupt`` (the origin sends corrupt chunks), ``late`` (a host starts
        late) and ``cut`` (a failure domain is partitioned for some time).
    copies : int
        Number of copies of the weights to read from the origin in each scope, declared
        as ``origin_copies``.
    scope : str
        Hosts that share these copies, declared as ``origin_scope``.
    """

    def __init__(self, *, strategy, hosts, chunks, window, faults, copies, scope):
        self.strategy = strategy
        self.hosts = hosts
        self.chunks = chunks
        self.window = window
        self.faults = faults
        self.copies = copies
        self.scope = scope
        self.size = chunks * CHUNK_SIZE
        self.link = self.size / window
        self.fleet = None
        self.first_tokens = []
        self._load_enabled = threading.Event()

    def run(self):
        """Distribute the version; return a table row and the measurements by name."""
        self.fleet = Fleet(
            entries=3,
            agents=self.hosts,
            plain=0,
            engines_per_process=8,
            platform_options=["--origin-rate", str(2 * self.link)],
            agent_settings={
                "link_rate": self.link,
                "announce_every": max(0.1, self.window / 100),
                "origin_slots": 1,
                "stall_after": max(2.0, self.window / 10),
                "memory": 3 * self.size,
            },
        )
        with self.fleet as fleet:
            self._prepare(fleet)
            idle_latency = self._idle_first_token(self.window / 3)
            measurements = self._distribute(fleet)
            measurements["first_token_idle"] = idle_latency
        return self._row(measurements), measurements

    def _prepare(self, fleet):
        fleet.publish("redac-v1", random.Random(1).randbytes(2 * CHUNK_SIZE))
        fleet.publish("redac-v2", random.Random(2).randbytes(self.size))
        rollout = (
            f'[rollout]\nstrategy = "{self.strategy}"\n'
            f'origin_copies = {self.copies}\norigin_scope = "{self.scope}"\n'
        )
        fleet.write_declaration("10-all.toml", declarations())
        fleet.write_declaration("15-rollout.toml", rollout)
        fleet.apply("--wait", "60")
        fleet.wait_ready(seconds=120)

    def _distribute(self, fleet):
        names = fleet.host_names("runner")
        late = names[-1] if "late" in self.faults else None
        if late:
            fleet.kill(late)
        cpu = {name: self._cpu(name) for name in names if name != late}
        sent = {name: fleet.dump(name)["datagram_bytes_sent"] for name in cpu}
        origin_bytes_before = fleet.platform_counts()["origin_bytes"]
        if "corrupt" in self.faults:
            fleet.set_platform_faults(origin_corrupt_share=0.01)
        fleet.write_declaration(
            "20-version.toml",
            '[models.redac.versions.v2]\nsource = "redac-v2"\n'
            '[services.redacteur]\nversion = "v2"\n',
        )
        fleet.apply()
        started = time.monotonic()
        self._start_load()
        excluded = self._inject_faults(fleet, names, late)
        expected = [name for name in names if name not in excluded]
        limit = self.window * (self.hosts if self.strategy == "origin" else 3)
        fleet.wait_for(lambda: self._all_live(fleet, expected), limit)
        self._load_enabled.clear()
        states = {name: fleet.dump(name) for name in expected}
        return self._collect_measurements(
            fleet, states, started, origin_bytes_before, cpu, sent
        )

    def _inject_faults(self, fleet, names, late):
        """Inject the faults between 0.2 and 0.6 of the window.

        Returns
        -------
        list of str
            Hosts that are not expected to become live.
        """
        excluded = []
        time.sleep(self.window * 0.2)
        if late:
            fleet.start_node(late)
        time.sleep(self.window * 0.1)
        if "cut" in self.faults:
            fleet.partition("herstal")
        if "kill" in self.faults:
            fleet.kill(names[0])
            excluded.append(names[0])
        if "stall" in self.faults:
            fleet.suspend(names[1])
        time.sleep(self.window * 0.3)
        if "stall" in self.faults:
            fleet.resume(names[1])
        if "cut" in self.faults:
            fleet.heal_partitions()
        return excluded

    def _all_live(self, fleet, names):
        time.sleep(0.5)
        for name in names:
            state = fleet.dump(name)
            if state is None or not state["progress"]:
                return False
            if min(state["progress"].values()) < 1000:
                return False
        return True

    def _collect_measurements(
        self, fleet, states, started, origin_bytes_before, cpu, sent
    ):
        live_at = max(
            state["live_since_by_key"]["redacteur"] for state in states.values()
        )
        complete_at = max(
            transfer["completed_at"]
            for state in states.values()
            for transfer in state["swarm"]["by_digest"].values()
        )
        elapsed = time.monotonic() - started
        control = [
            (state["datagram_bytes_sent"] - sent[name]) / elapsed
            for name, state in states.items()
            if name in sent
        ]
        bytes_sent = [
            state["counters"].get("chunk_bytes_sent_total", 0)
            for state in states.values()
        ]
        cpu_used = [self._cpu(name) - cpu[name] for name in states if name in cpu]
        memory = [memory_bytes(fleet.process_by_name[name].pid) for name in states]
        read = fleet.platform_counts()["origin_bytes"] - origin_bytes_before
        return {
            "time": (live_at - started) / self.window,
            "complete": (complete_at - started) / self.window,
            "copies": read / self.size,
            "most_sent": max(bytes_sent) / self.size,
            "control": sum(control) / len(control),
            "cpu": sum(cpu_used) / len(cpu_used),
            "memory": max(memory) / 1e6,
            "first_token_distributing": quantile(self.first_tokens, 0.95),
        }

    def _row(self, measurements):
        return [
            self.strategy if self.copies == 1 else f"{self.strategy} x{self.copies}",
            self.hosts,
            "+".join(self.faults) or "none",
            f"{measurements['time']:.3f}",
            f"{measurements['complete']:.3f}",
            f"{measurements['copies']:.3f}",
            f"{measurements['most_sent']:.2f}",
            f"{measurements['control']:.0f}",
            f"{measurements['cpu']:.2f}",
            f"{measurements['memory']:.0f}",
            f"{measurements['first_token_idle'] * 1000:.0f}",
            f"{measurements['first_token_distributing'] * 1000:.0f}",
        ]

    def _cpu(self, name):
        return cpu_seconds(self.fleet.process_by_name[name].pid)

    def _idle_first_token(self, seconds):
        self._start_load()
        time.sleep(seconds)
        self._load_enabled.clear()
        idle_latency = quantile(self.first_tokens, 0.95)
        self.first_tokens = []
        return idle_latency

    def _start_load(self):
        """Start clients that stream responses at a low constant rate."""
        self._load_enabled.set()
        for entry in self.fleet.host_names("entry"):
            threading.Thread(
                target=self._stream_responses, args=(entry,), daemon=True
            ).start()

    def _stream_responses(self, entry):
        while self._load_enabled.is_set():
            sent = time.monotonic()
            try:
                first = first_token(self.fleet, entry)
            except Exception:
                continue
            if first is not None:
                self.first_tokens.append(first)
            time.sleep(max(0.0, 0.2 - (time.monotonic() - sent)))


def first_token(fleet, entry):
    """Return the time to first token of a streamed response, or None on error."""
    import json

    from tests.fleet import auth_headers

    sent = time.monotonic()
    body = {"model": "redacteur", "prompt": f"{sent}", "max_tokens": 4, "stream": True}
    response = fleet.http.request(
        "POST",
        fleet.entry_url(entry) + "/v1/completions",
        body=json.dumps(body).encode(),
        headers=auth_headers(),
        preload_content=False,
        timeout=10,
    )
    if response.status != 200:
        response.drain_conn()
        return None
    response.read1(1)
    first = time.monotonic() - sent
    response.read()
    response.release_conn()
    return first


def main():
    """Run the selected configurations and check the bounds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[8])
    parser.add_argument("--strategies", nargs="+", default=["scatter"])
    parser.add_argument("--chunks", type=int, default=400)
    parser.add_argument("--window", type=float, default=20.0)
    parser.add_argument("--copies", type=int, default=1)
    parser.add_argument("--scope", default="fleet")
    parser.add_argument("--faults", nargs="*", default=[])
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    rows, results = [HEADING], []
    for hosts in options.hosts:
        for strategy in options.strategies:
            run = DistributionRun(
                strategy=strategy,
                hosts=hosts,
                chunks=options.chunks,
                window=options.window,
                faults=tuple(options.faults),
                copies=options.copies,
                scope=options.scope,
            )
            row, measurements = run.run()
            print(" | ".join(str(cell) for cell in row), flush=True)
            rows.append(row)
            results.append((strategy, hosts, measurements))
    print(f"\ncommit {commit()}, {options.chunks} chunks, M/L = {options.window} s")
    print_table(rows)
    return check_results(results, faulty=bool(options.faults), copies=options.copies)


def check_results(results, *, faulty, copies):
    """Check runs of the strategy ``scatter`` against bounds; return the exit code."""
    limits = bounds("burst")
    prefix = "faulty" if faulty else "scatter"
    holds = True
    for strategy, hosts, measurements in results:
        if strategy != "scatter":
            continue
        name = f"N = {hosts}:"
        holds &= check(f"{name} time", measurements["time"], limits[f"{prefix}_time"])
        allowed = copies * limits[f"{prefix}_copies"]
        holds &= check(f"{name} copies", measurements["copies"], allowed)
        if measurements["first_token_idle"]:
            ratio = (
                measurements["first_token_distributing"]
                / measurements["first_token_idle"]
            )
            holds &= check(f"{name} first token", ratio, limits["first_token"])
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
