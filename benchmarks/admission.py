"""Comparison of the policies for admission by rank, without a network.

python -m benchmarks.admission
"""

import argparse
import sys
from dataclasses import replace

from benchmarks.report import bounds, check, commit, print_table
from hawthornspoke.admission import DEFAULT_POLICY, RANK_POLICIES
from hawthornspoke.admission.tests.three_ranks import (
    RANKS,
    SERVED,
    simulate,
    worst_relative_share,
)

#: Multiples of the requests that the engines can serve.
OVERLOADS = (1.2, 1.7, 2.5)

#: Name of the case in which no ranks are configured.
UNRANKED = "none"

HEADING = [
    "policy",
    "requests",
    "on time, by rank",
    "served, by rank",
    "least relative share in 8 s",
]


def run_case(policy, overload, *, seconds, seeds):
    """Return the mean shares by rank, on time and served, and the least share."""
    streams = [replace(stream, rate=overload * stream.rate) for stream in RANKS]
    ranks = [stream.rank for stream in RANKS]
    settings = {"ranks": ranks[:1]} if policy == UNRANKED else {"policy": policy}
    runs = [simulate(streams, seconds=seconds, seed=seed, **settings) for seed in seeds]
    on_time = [sum(run.share(rank=rank) for run in runs) / len(runs) for rank in ranks]
    served = [
        sum(run.share(SERVED, rank=rank) for run in runs) / len(runs) for rank in ranks
    ]
    least = min(worst_relative_share(run, rank=rank) for run in runs for rank in ranks)
    return on_time, served, least


def main():
    """Print the table and check the bounds; return 1 if one fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[3, 5, 6, 7])
    parser.add_argument(
        "--policies", nargs="+", default=[UNRANKED, *RANK_POLICIES.names()]
    )
    options = parser.parse_args()
    rows, default = [HEADING], {}
    for overload in OVERLOADS:
        for policy in options.policies:
            on_time, served, least = run_case(
                policy, overload, seconds=options.seconds, seeds=options.seeds
            )
            shares = [_shares(on_time), _shares(served), f"{least:.2f}"]
            rows.append([policy, overload, *shares])
            if policy == DEFAULT_POLICY:
                default[overload] = on_time[0], least
    print(commit())
    print_table(rows)
    limits = bounds("admission")
    verdicts = []
    for overload, (urgent, least) in default.items():
        verdicts.append(
            check(
                f"least relative share, {overload} times",
                least,
                limits["relative_share"],
                at_most=False,
            )
        )
        bound = limits["urgent_share"].get(str(overload))
        if bound is not None:
            name = f"rank 0 on time, {overload} times"
            verdicts.append(check(name, urgent, bound, at_most=False))
    return 0 if all(verdicts) else 1


def _shares(values):
    return " ".join(f"{value:.3f}" for value in values)


if __name__ == "__main__":
    sys.exit(main())
