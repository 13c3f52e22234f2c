"""Overload, retries under failing endpoints, and recovery.

python -m benchmarks.overload
"""

import argparse
import itertools
import sys
import time

from benchmarks.load import Load
from benchmarks.report import bounds, check, commit, print_table, quantile
from tests.conftest import weights
from tests.fleet import Fleet, declarations

HEADING = [
    "case",
    "offered/s",
    "whole/s",
    "refused",
    "refusal ms p95",
    "urgent whole share",
    "idle whole share",
    "sent / offered",
]
URGENT, IDLE = "u=0", "u=7"
AGENTS = 3
SLOTS = 4
TOKENS = 10
TOKEN_SECONDS = 0.02


def capacity():
    """Return requests a second that the engines bear (batch factor 1.5 at full)."""
    service = 0.02 + TOKENS * TOKEN_SECONDS * 1.5
    return AGENTS * SLOTS / service


def run_case(fleet, name, rate, seconds):
    """Return a row and the figures of one case."""
    turn = itertools.cycle([URGENT, IDLE, "u=3"])
    before = attempts(fleet)
    started = time.monotonic()
    load = Load(
        fleet,
        rate=rate,
        seconds=seconds,
        tokens=TOKENS,
        headers=lambda: {"Priority": next(turn), "X-Request-Timeout": "3"},
    ).run()
    elapsed = time.monotonic() - started
    sent = attempts(fleet) - before
    refused = [item for item in load.results if item.status in (429, 503)]
    figures = {
        "goodput": len(load.done()) / elapsed,
        "refusal": quantile([item.first for item in refused], 0.95),
        "sent": sent / max(1, len(load.results)),
        "urgent": whole_share(load, URGENT),
        "idle": whole_share(load, IDLE),
    }
    row = [
        name,
        f"{rate:.0f}",
        f"{figures['goodput']:.1f}",
        len(refused),
        f"{figures['refusal'] * 1000:.0f}",
        f"{figures['urgent']:.2f}",
        f"{figures['idle']:.2f}",
        f"{figures['sent']:.2f}",
    ]
    return row, figures


def whole_share(load, priority):
    """Return the share of whole answers among the requests of a priority."""
    asked = [item for item in load.results if item.extra["Priority"] == priority]
    whole = [item for item in asked if item.status == 200]
    return len(whole) / max(1, len(asked))


def attempts(fleet):
    """Return the requests that have reached engines so far."""
    total = 0
    for name in fleet.names("runner"):
        total += fleet.get(fleet.engine_url(name) + "/state")["requests"]
    return total


def main():
    """Run the cases; return the exit code."""
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
        fleet.publish("redac-v1", weights(1, chunks=2))
        fleet.declare("10-all.toml", declarations())
        fleet.apply("--wait", "30")
        fleet.wait_ready()
        full = capacity()
        plan = [("1x", 1.0), ("2x", 2.0), ("5x", 5.0), ("1x after 5x", 1.0)]
        for name, factor in plan:
            row, by_name[name] = run_case(fleet, name, full * factor, options.seconds)
            rows.append(row)
        fleet.engine_faults("runner-0", fail_share=1.0)
        row, by_name["third fails"] = run_case(
            fleet, "one of three fails", full * 0.5, options.seconds
        )
        rows.append(row)
    print(
        f"commit {commit()}, {AGENTS} endpoints of {SLOTS} slots, {options.seconds} s"
    )
    print_table(rows)
    return check_results(by_name)


def check_results(by_name):
    """Check the cases against the bounds; return the exit code."""
    limit = bounds("overload")["goodput"]
    base = by_name["1x"]["goodput"]
    holds = True
    for name in ("2x", "5x", "1x after 5x"):
        ratio = by_name[name]["goodput"] / base
        holds &= check(f"{name}: goodput over 1x", ratio, limit, at_most=False)
    for name in ("2x", "5x"):
        order = by_name[name]["urgent"] - by_name[name]["idle"]
        holds &= check(f"{name}: urgent above idle", order, 0.0, at_most=False)
    amplification = by_name["third fails"]["sent"]
    bound = bounds("retries")["amplification"]
    holds &= check("one of three fails: sent/offered", amplification, bound)
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
