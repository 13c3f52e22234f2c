"""Resource cost of a node as a function of the size of its failure domain.

python -m benchmarks.capacity
"""

import argparse
import json
import random
import sys
import threading
import time

from benchmarks.report import commit, cpu_seconds, memory_bytes, print_table
from hawthornspoke.base import monotonic
from hawthornspoke.config import (
    build_document,
    document_digest,
    pack_document,
    unpack_document,
)
from hawthornspoke.protocol import Datagram, Gossip, Live, Member, Role, decode, encode
from tests.conftest import random_weights
from tests.fleet import Fleet, declarations

#: Size of a failure domain that the system is designed for: 1/9 of 330 entry hosts and
#: 1,600 agents.
DESIGN_ENTRIES = 37
DESIGN_AGENTS = 178
SIZES = ((2, 10), (6, 30), (12, 58))
HEADING = ["role", "entries", "agents", "cpu %", "sent B/s", "received B/s", "RSS MB"]


def measure_size(entries, agents, seconds):
    """Return idle cost by role, and table reads per second, of a fleet of this size."""
    with Fleet(
        entries=entries,
        agents=agents,
        plain=0,
        domains=("anderlecht",),
        engines_per_process=16,
        entry_settings={"heartbeat_every": 1.0, "suspect_after": 3.0, "threads": 16},
        agent_settings={"heartbeat_every": 1.0, "suspect_after": 3.0},
    ) as fleet:
        fleet.publish("redac-v1", random_weights(1, chunks=2))
        fleet.write_declaration("10-all.toml", declarations())
        fleet.apply("--wait", "60")
        fleet.wait_ready(seconds=120)
        time.sleep(3)
        names = fleet.host_names("entry")[:6] + fleet.host_names("runner")[:12]
        before = {name: sample(fleet, name) for name in names}
        reads = fleet.platform_counts()["reads"]
        time.sleep(seconds)
        after = {name: sample(fleet, name) for name in names}
        reads = (fleet.platform_counts()["reads"] - reads) / seconds
    cost_by_role = {}
    for prefix in ("entry", "runner"):
        chosen = [name for name in names if name.startswith(prefix)]
        cost_by_role[prefix] = mean_cost(chosen, before, after, seconds)
    return cost_by_role, reads


def sample(fleet, name):
    """Return CPU time, bytes sent, bytes received and memory of a node."""
    state = fleet.dump(name)
    pid = fleet.process_by_name[name].pid
    return (
        cpu_seconds(pid),
        state["datagram_bytes_sent"],
        state["datagram_bytes_received"],
        memory_bytes(pid),
    )


def mean_cost(names, before, after, seconds):
    """Return mean CPU utilization, sent and received bytes per second, and memory."""
    count = len(names)
    rates = [
        sum(after[name][column] - before[name][column] for name in names)
        / count
        / seconds
        for column in range(3)
    ]
    memory = sum(after[name][3] for name in names) / count
    return (*rates, memory)


def fit(points):
    """Return offset, slope and maximum residual of a least-squares line.

    The cost model is a + b * entries + c * agents. Entry hosts and agents grow
    together here, so a single slope over agents is fitted; the residual shows how
    linear the cost is.
    """
    xs = [point[0] for point in points]
    ys = [point[1] for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    variance_sum = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_sum
    offset = mean_y - slope * mean_x
    residual = max(abs(offset + slope * x - y) for x, y in points)
    return offset, slope, residual


def measure_idle_cost(seconds):
    """Measure the idle cost at all sizes; print it with a linear extrapolation."""
    rows, points = [HEADING], {"entry": [], "runner": []}
    for entries, agents in SIZES:
        cost_by_role, reads = measure_size(entries, agents, seconds)
        for role, cost in cost_by_role.items():
            rows.append(
                [
                    role,
                    entries,
                    agents,
                    f"{cost[0] * 100:.2f}",
                    f"{cost[1]:.0f}",
                    f"{cost[2]:.0f}",
                    f"{cost[3] / 1e6:.1f}",
                ]
            )
            points[role].append((agents, cost))
        print(f"{entries} + {agents}: {reads:.1f} table reads/s", flush=True)
    print_table(rows)
    names = ("cpu %", "sent B/s", "received B/s", "RSS MB")
    scales = (100, 1, 1, 1e-6)
    for role, measured in points.items():
        for column, (name, scale) in enumerate(zip(names, scales, strict=True)):
            line = [(agents, cost[column] * scale) for agents, cost in measured]
            offset, slope, residual = fit(line)
            predicted = offset + slope * DESIGN_AGENTS
            print(
                f"{role} {name}: {offset:.3f} + {slope:.5f} x agents "
                f"(+- {residual:.3f}); at {DESIGN_AGENTS}: {predicted:.2f}"
            )


def document_cost(services):
    """Return size in bytes and unpack time in milliseconds of a document."""
    tree = make_declarations(services)
    pinned = {f"s{number}": "d" * 64 for number in range(services)}
    document = build_document(tree=tree, digest_by_source=pinned)
    data = pack_document(document)
    started = monotonic()
    unpack_document(data, digest=document_digest(data))
    return len(data), (monotonic() - started) * 1000


def make_declarations(services):
    """Return declarations with one model for each service."""
    models, declared = {}, {}
    for number in range(services):
        models[f"m{number}"] = {"versions": {"v1": {"source": f"s{number}"}}}
        declared[f"service-{number}"] = {
            "kind": "model",
            "model": f"m{number}",
            "version": "v1",
            "hosts": [f"pool-{number}-*"],
            "organisations": ["*"],
        }
    return {"models": models, "services": declared}


def gossip_cost(members):
    """Return size in bytes and decoding time in microseconds of a gossip datagram."""
    rng = random.Random(3)
    relayed = [
        Member(
            node=f"anderlecht-runner-{number:04d}",
            role=Role.AGENT,
            failure_domain="anderlecht",
            address=f"10.1.{number % 250}.7",
            port=7700,
            incarnation=rng.randrange(2**40),
            seq=rng.randrange(2**20),
            live=[Live(service_name="redacteur", digest="d" * 64)],
            running=3,
            queued=1,
            slots=8,
            revision=100000,
            age_ms=300,
        )
        for number in range(members)
    ]
    datagram = Datagram(gossip=Gossip(version=1, revision=100000, members=relayed))
    data = encode(datagram)
    started = monotonic()
    for _ in range(50):
        decode(Datagram, data)
    return len(data), (monotonic() - started) / 50 * 1e6


def token_cost(seconds):
    """Return CPU microseconds per token by node, and the token rate."""
    with Fleet(
        entries=1,
        agents=1,
        plain=0,
        domains=("anderlecht",),
        engine_options=["--slots", "32", "--token-seconds", "0.05"],
        agent_settings={"slots": 32},
    ) as fleet:
        fleet.publish("redac-v1", random_weights(1, chunks=2))
        fleet.write_declaration("10-all.toml", declarations())
        fleet.apply("--wait", "60")
        fleet.wait_ready()
        deadline = time.monotonic() + seconds
        token_counts = []
        threads = [
            threading.Thread(target=stream_until, args=(fleet, deadline, token_counts))
            for _ in range(24)
        ]
        pids = {
            name: fleet.process_by_name[name].pid for name in ("entry-0", "runner-0")
        }
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        after = {name: cpu_seconds(pid) for name, pid in pids.items()}
    tokens = sum(token_counts)
    return {
        name: (after[name] - before[name]) / tokens * 1e6 for name in pids
    }, tokens / seconds


def stream_until(fleet, deadline, token_counts):
    """Stream responses until a deadline (monotonic clock), counting their tokens."""
    while time.monotonic() < deadline:
        response = fleet.send_completion("entry-0", stream=True, max_tokens=80)
        token_counts.append(response.data.count(b"data: {"))


def main():
    """Run all measurements and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args()
    print(f"commit {commit()}")
    measure_idle_cost(options.seconds)
    print_table(
        [["services", "document bytes", "unpack ms"]]
        + [[count, *map(str, document_cost(count))] for count in (10, 100, 400)]
    )
    print_table(
        [["relayed members", "datagram bytes", "decode us"]]
        + [[count, *map(str, gossip_cost(count))] for count in (1, 10, 40)]
    )
    costs, rate = token_cost(options.seconds)
    print(f"CPU us per token at {rate:.0f} tokens/s: {json.dumps(costs)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
