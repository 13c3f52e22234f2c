"""Comparison of routing policies when one endpoint is slow or fails fast.

python -m benchmarks.routing
"""

import argparse
import sys

from benchmarks.load import Load
from benchmarks.report import bounds, check, commit, print_table
from hawthornspoke.routing import POLICIES
from tests.conftest import random_weights
from tests.fleet import Fleet, declarations

HEADING = [
    "policy",
    "case",
    "first token ms p50",
    "p95",
    "p99",
    "completed",
    "max / mean load",
    "prefix hits",
    "share of the faulty endpoint",
]
CASES = ("healthy", "one slow", "one fails fast")
AGENTS = 6


def run_case(fleet, case, *, rate, seconds):
    """Send the requests of a case; return load, prefix hits, share of ``runner-0``."""
    if case == "one slow":
        fleet.set_engine_faults("runner-0", slow_factor=5.0)
    if case == "one fails fast":
        fleet.set_engine_faults("runner-0", fail_share=1.0)
    before = engine_counts(fleet)
    load = Load(fleet, rate=rate, seconds=seconds, prompts=64).run()
    after = engine_counts(fleet)
    fleet.set_engine_faults("runner-0", slow_factor=1.0, fail_share=0.0)
    engine_requests = [after[name][0] - before[name][0] for name in after]
    hits = sum(after[name][1] - before[name][1] for name in after)
    return (
        load,
        hits / max(1, sum(engine_requests)),
        engine_requests[0] / max(1, sum(engine_requests)),
    )


def engine_counts(fleet):
    """Return the number of requests and prefix hits by engine."""
    counts = {}
    for name in fleet.host_names("runner"):
        state = fleet.get(fleet.engine_url(name) + "/state")
        counts[name] = (state["requests"], state["prefix_hits"])
    return counts


def run_policy(policy, *, rate, seconds):
    """Return the table rows of a policy and its measurements by case."""
    rows, measurements = [], {}
    with Fleet(
        agents=AGENTS,
        plain=0,
        domains=("anderlecht",),
        entry_settings={"policy": policy},
        engine_options=["--prefill-seconds", "0.05", "--slots", "8"],
    ) as fleet:
        fleet.publish("redac-v1", random_weights(1, chunks=2))
        fleet.write_declaration("10-all.toml", declarations())
        fleet.apply("--wait", "30")
        fleet.wait_ready()
        for case in CASES:
            load, hits, faulty_share = run_case(fleet, case, rate=rate, seconds=seconds)
            counts = load.by_host().values()
            max_over_mean = max(counts) * AGENTS / max(1, sum(counts))
            measurements[case] = (load.first_token(0.95), faulty_share)
            rows.append(
                [
                    policy,
                    case,
                    *(f"{load.first_token(s) * 1000:.0f}" for s in (0.5, 0.95, 0.99)),
                    f"{len(load.completed())}/{len(load.results)}",
                    f"{max_over_mean:.2f}",
                    f"{hits:.2f}",
                    f"{faulty_share:.3f}",
                ]
            )
    return rows, measurements


def main():
    """Run all policies and check the bounds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    rows, by_policy = [HEADING], {}
    for policy in POLICIES.names():
        policy_rows, by_policy[policy] = run_policy(
            policy, rate=options.rate, seconds=options.seconds
        )
        rows += policy_rows
    print(f"commit {commit()}, {options.rate} requests/s, {AGENTS} endpoints")
    print_table(rows)
    limits = bounds("routing")
    default_policy = by_policy["two_choices"]
    slow = default_policy["one slow"][0] / by_policy["random"]["one slow"][0]
    share = default_policy["one fails fast"][1] * AGENTS
    holds = check("one slow: p95 over random", slow, limits["two_choices_over_random"])
    holds &= check("failing endpoint's share", share, limits["failing_share"])
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
