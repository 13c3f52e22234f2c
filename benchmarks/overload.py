"""Goodput under overload, recovery, and retry amplification with a failing endpoint.

python -m benchmarks.overload
"""

import argparse
import itertools
import sys
import time

from benchmarks.load import Load
from benchmarks.report import bounds, check, commit, print_table, quantile
from tests.conftest import random_weights
from tests.fleet import Fleet, declarations

HEADING = [
    "case",
    "offered/s",
    "completed/s",
    "rejected",
    "rejection ms p95",
    "completed share, urgent",
    "completed share, idle",
    "sent / offered",
]
URGENT, IDLE = "u=0", "u=7"
AGENTS = 3
SLOTS = 4
TOKENS = 10
TOKEN_SECONDS = 0.02


def capacity():
    """Return the engines' capacity in requests per second.

    Decoding steps of a full batch take 1.5 times as long as those of an empty one.
    """
    service_time = 0.02 + TOKENS * TOKEN_SECONDS * 1.5
    return AGENTS * SLOTS / service_time


def run_case(fleet, name, rate, seconds):
    """Send requests at a rate for some time; return a table row and measurements."""
    priorities = itertools.cycle([URGENT, IDLE, "u=3"])
    attempts_before = engine_requests(fleet)
    started = time.monotonic()
    load = Load(
        fleet,
        rate=rate,
        seconds=seconds,
        tokens=TOKENS,
        headers=lambda: {"Priority": next(priorities), "X-Request-Timeout": "3"},
    ).run()
    elapsed = time.monotonic() - started
    sent = engine_requests(fleet) - attempts_before
    refused = [item for item in load.results if item.status in (429, 503)]
    measurements = {
        "goodput": len(load.completed()) / elapsed,
        "refusal": quantile([item.first_byte_seconds for item in refused], 0.95),
        "sent": sent / max(1, len(load.results)),
        "urgent": completed_share(load, URGENT),
        "idle": completed_share(load, IDLE),
    }
    row = [
        name,
        f"{rate:.0f}",
        f"{measurements['goodput']:.1f}",
        len(refused),
        f"{measurements['refusal'] * 1000:.0f}",
        f"{measurements['urgent']:.2f}",
        f"{measurements['idle']:.2f}",
        f"{measurements['sent']:.2f}",
    ]
    return row, measurements


def completed_share(load, priority):
    """Return the fraction of complete responses among requests of a priority."""
    requests = [
        item for item in load.results if item.extra_headers["Priority"] == priority
    ]
    completed_requests = [item for item in requests if item.status == 200]
    return len(completed_requests) / max(1, len(requests))


def engine_requests(fleet):
    """Return the number of requests that engines have received so far."""
    total = 0
    for name in fleet.host_names("runner"):
        total += fleet.get(fleet.engine_url(name) + "/state")["requests"]
    return total


def main():
    """Run all cases and check the bounds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    rows, by_name = [HEADING], {}
    with Fleet(
        agents=AGENTS,
        plain=0,
        domains=("anderlecht",),
        entry_settings={"threads": 256},
        agent_settings={"slots": SLOTS, "queue_limit": 8},
        engine_options=[
            "--token-seconds",
            str(TOKEN_SECONDS),
            "--slots",
            str(SLOTS),
        ],
    ) as fleet:
        fleet.publish("redac-v1", random_weights(1, chunks=2))
        fleet.write_declaration("10-all.toml", declarations())
        fleet.apply("--wait", "30")
        fleet.wait_ready()
        full_rate = capacity()
        cases = [("1x", 1.0), ("2x", 2.0), ("5x", 5.0), ("1x after 5x", 1.0)]
        for name, factor in cases:
            row, by_name[name] = run_case(
                fleet, name, full_rate * factor, options.seconds
            )
            rows.append(row)
        fleet.set_engine_faults("runner-0", fail_share=1.0)
        row, by_name["third fails"] = run_case(
            fleet, "one of three fails", full_rate * 0.5, options.seconds
        )
        rows.append(row)
    print(
        f"commit {commit()}, {AGENTS} endpoints of {SLOTS} slots, {options.seconds} s"
    )
    print_table(rows)
    return check_results(by_name)


def check_results(by_name):
    """Check the results against the bounds; return the exit code."""
    limit = bounds("overload")["goodput"]
    base = by_name["1x"]["goodput"]
    holds = True
    for name in ("2x", "5x", "1x after 5x"):
        ratio = by_name[name]["goodput"] / base
        holds &= check(f"{name}: goodput over 1x", ratio, limit, at_most=False)
    for name in ("2x", "5x"):
        margin = by_name[name]["urgent"] - by_name[name]["idle"]
        holds &= check(f"{name}: urgent above idle", margin, 0.0, at_most=False)
    amplification = by_name["third fails"]["sent"]
    bound = bounds("retries")["amplification"]
    holds &= check("one of three fails: sent/offered", amplification, bound)
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
