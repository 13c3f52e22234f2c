"""Ablation study: simulated days are run with one mechanism disabled at a time.

Run by hand, with the simulation program, the site to simulate, and a folder
outside ``/tmp`` for scratch copies of the sources::

    python -m benchmarks.ablation PROGRAM SITE --scratch FOLDER \\
        --days scale-1,quiet-1 --seeds 11,12 --jobs 4 [WORD ...]

The program writes its entries to ``journal/`` of each copy; they must be kept. With
WORD arguments, only mechanisms whose name contains one of them are disabled. Each
ablation is compared with the unmodified code on the same days and seeds, by the
"worth" that the program prints for a day. In the table, "spread" is the standard
deviation of the differences, and "seen" lists violated rules and days without a result.
"""

import argparse
import re
import shutil
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from tests.mutations import Mutation, copy_mutated, copy_sources

#: Name of the unmodified baseline.
BASELINE = "nothing"

#: A result line of the simulation: day, hosts, score, worth and further columns.
RESULT_LINE = re.compile(r"^(?!day )\S+ +\d+/\d+ +\S+ +(-?\d+\.\d+) ", re.MULTILINE)

MECHANISMS = [
    Mutation(
        name="common level of the engines' costs",
        file="placing/_spreading.py",
        old="    if arrivals < MIN_ARRIVALS:\n",
        new="    if True:\n",
    ),
    Mutation(
        name="better of two random engines",
        file="placing/_spreading.py",
        old="    pair = rng.sample(range(len(costs)), min(2, len(costs)))\n",
        new="    pair = range(len(costs))\n",
    ),
    Mutation(
        name="request rates of other hosts",
        file="placing/_load_estimate.py",
        old="    if 1 / MIN_UNEVEN_RATIO <= ratio <= MIN_UNEVEN_RATIO:\n",
        new="    if True:\n",
    ),
    Mutation(
        name="admission by rank",
        file="placing/_admission.py",
        old="        if admission is None or not admission.is_active:\n"
        "            return self._selector",
        new="        if True:\n            return self._selector",
    ),
    Mutation(
        name="seeders",
        file="swarm/_seeders.py",
        old="    if not receivers:\n",
        new="    if True:\n",
    ),
    Mutation(
        name="grants that follow a narrowed link",
        file="spread/_granted_rate.py",
        old="        if throughput < share * granted:\n",
        new="        if False:\n",
    ),
    Mutation(
        name="ages of versions that hosts missed",
        file="spread/_directives.py",
        old="        for item in directive.earlier_versions or ():\n",
        new="        for item in ():\n",
    ),
    Mutation(
        name="added load of other hosts",
        file="placing/_choice.py",
        old="                arrival_rate=arrival_rate,\n",
        new="                arrival_rate=0.0,\n",
    ),
    Mutation(
        name="prompts that are yet to be read",
        file="placing/_predict.py",
        old="        + endpoint.prefill_backlog.remaining(now)\n",
        new="",
    ),
    Mutation(
        name="cost of taken slots",
        file="placing/_choice.py",
        old="OCCUPANCY_COST = 0.15",
        new="OCCUPANCY_COST = 0.0",
    ),
    Mutation(
        name="own failure domain first",
        file="placing/_choice.py",
        old="        return endpoint.is_in(self.failure_domain)\n",
        new="        return True\n",
    ),
    Mutation(
        name="late callers get free slots",
        file="placing/_choice.py",
        old="        if request.is_retry:\n",
        new="        if False:\n",
    ),
    Mutation(
        name="subset of the engines",
        file="placing/_subset.py",
        old="MIN_NEAR_ENGINES = 8",
        new="MIN_NEAR_ENGINES = 10_000",
    ),
    Mutation(
        name="avoidance of bad endpoints",
        file="placing/_avoidance.py",
        old="    if len(kept) < len(endpoints) * (1 - MAX_EJECTED_SHARE) "
        "or not kept:\n",
        new="    if True:\n",
    ),
    Mutation(
        name="delay of engines' links",
        file="placing/_endpoint.py",
        old="return self.state.link_delay if self.state is not None else 0.0",
        new="return 0.0",
    ),
    Mutation(
        name="endpoints that moved stay out",
        file="placing/_endpoint.py",
        old="        if self.moved:\n",
        new="        if False:\n",
    ),
    Mutation(
        name="old weights until the withdrawal",
        file="placing/_weights_eligibility.py",
        old="            return StartForecast.EXPECTED\n",
        new="            return StartForecast.TOO_LATE\n",
    ),
    Mutation(
        name="withdrawal",
        file="relay/_try.py",
        old="        if self.placement.start_deadline is None:\n",
        new="        if True:\n",
    ),
    Mutation(
        name="dates by the word of agents",
        file="placing/_fleet.py",
        old="        for version, at in message.declared:\n",
        new="        for version, at in ():\n",
    ),
    Mutation(
        name="waits of the feed drawn apart",
        file="mirror/_watch.py",
        old="WAIT_SPREAD = (0.4, 1.0)",
        new="WAIT_SPREAD = (1.0, 1.0)",
    ),
    Mutation(
        name="one reader for a failure domain",
        file="mirror/_watch.py",
        old="reader = None if progress.failed else self._neighbours.reader()",
        new="reader = None",
    ),
    Mutation(
        name="hedged questions to the platform",
        file="mirror/poll.py",
        old="HEDGE_AFTER = 0.3",
        new="HEDGE_AFTER = 3600.0",
    ),
    Mutation(
        name="retry budget",
        file="relay/_choosing.py",
        old="        if isinstance(verdict, RetryAllowed):\n",
        new="        if True:\n",
    ),
    Mutation(
        name="resumed streams",
        file="relay/_streams.py",
        old="                attempt = await self._resume(context, head, splitter)\n",
        new="                attempt = None\n",
    ),
    Mutation(
        name="late callers go second at engines",
        file="relay/_encoding.py",
        old="base_priority * PRIORITY_STEP + int(is_late)",
        new="base_priority * PRIORITY_STEP",
    ),
    Mutation(
        name="spread of Retry-After",
        file="placing/_rejection.py",
        old="        jittered = earliest "
        "+ (longest_wait - earliest) * self._prng.random()\n",
        new="        jittered = earliest\n",
    ),
    Mutation(
        name="engines change in groups",
        file="spread/_changeover.py",
        old="    interval = min(SWITCH_TIME, span / (groups - 1))\n",
        new="    interval = 0.0\n",
    ),
    Mutation(
        name="drop of the first of two versions",
        file="spread/_upgrade.py",
        old="SUPERSEDE_WINDOW_SHARE = 0.5",
        new="SUPERSEDE_WINDOW_SHARE = 0.0",
    ),
    Mutation(
        name="origin asked again soon",
        file="spread/_exchange.py",
        old="ORIGIN_AVOID_FOR = 0.2",
        new="ORIGIN_AVOID_FOR = 0.4",
    ),
    Mutation(
        name="pieces leave room for requests",
        file="spread/_uploads.py",
        old="SHARE_BESIDE_REQUESTS = 0.86",
        new="SHARE_BESIDE_REQUESTS = 0.97",
    ),
]


@dataclass(slots=True, kw_only=True)
class Result:
    """Results of all simulated days with one mechanism disabled.

    Parameters
    ----------
    name : str
        Name of the disabled mechanism.
    worth_by_day : dict of (str, str) to float
        Worth by day and seed; days without a result are omitted.
    failures : list of str
        Violated rules and days without a result.
    """

    name: str
    worth_by_day: dict = field(default_factory=dict)
    failures: list = field(default_factory=list)


def simulate_day(program, site, copy, *, name, day, seed):
    """Simulate one day with a copy of the sources.

    Parameters
    ----------
    program, site : str
    copy : Path
    name : str
        Name of the mechanism disabled in the copy.
    day, seed : str

    Returns
    -------
    tuple of (float or None, str)
        The worth, None without a result line, and a description of violated rules.
    """
    done = subprocess.run(
        [
            *(program, "run", site, day, "--no-cpu", "--jobs", "1", "--seed", seed),
            *("--why", f"ablation: without {name}"),
        ],
        cwd=copy,
        capture_output=True,
        text=True,
    )
    match = RESULT_LINE.search(done.stdout)
    violations = re.findall(r"BROKEN: (.*)", done.stdout)
    return float(match.group(1)) if match else None, "; ".join(violations)


def run_ablations(mechanisms, options):
    """Simulate all days for the baseline and for each ablation.

    Parameters
    ----------
    mechanisms : list of Mutation
    options : argparse.Namespace

    Returns
    -------
    list of Result
        The baseline first.
    """
    baseline = Mutation(name=BASELINE, file="__init__.py", old="", new="")
    results, jobs = [], []
    for mechanism in [baseline, *mechanisms]:
        copy = Path(options.scratch) / re.sub(r"\W+", "-", mechanism.name)
        shutil.rmtree(copy, ignore_errors=True)
        result = Result(name=mechanism.name)
        results.append(result)
        if mechanism is baseline:
            copy_sources(copy)
        elif not copy_mutated(mechanism, copy):
            result.failures.append("not applied")
            continue
        (copy / "journal").mkdir(exist_ok=True)
        jobs += [
            (result, copy, day, seed)
            for day in options.days.split(",")
            for seed in options.seeds.split(",")
        ]

    def run(job):
        result, copy, day, seed = job
        worth, failure = simulate_day(
            options.program, options.site, copy, name=result.name, day=day, seed=seed
        )
        if worth is None or failure:
            result.failures.append(f"{day} {seed}: {failure or 'no result'}")
        if worth is not None:
            result.worth_by_day[day, seed] = worth

    with ThreadPoolExecutor(max_workers=options.jobs) as pool:
        list(pool.map(run, jobs))
    return results


def format_table(results):
    """Format the results as lines of a Markdown table.

    Parameters
    ----------
    results : list of Result
        The baseline first.

    Returns
    -------
    list of str
    """
    baseline = results[0].worth_by_day
    lines = [
        "| without | days | worth with | without | difference | spread | seen |",
        "|---|---|---|---|---|---|---|",
    ]
    for result in results[1:]:
        days = sorted(set(baseline) & set(result.worth_by_day))
        seen = "; ".join(result.failures)
        if not days:
            lines.append(f"| {result.name} | 0 | | | | | {seen} |")
            continue
        differences = [result.worth_by_day[day] - baseline[day] for day in days]
        spread = statistics.pstdev(differences)
        lines.append(
            f"| {result.name} | {len(days)} "
            f"| {statistics.mean(baseline[day] for day in days):.3f} "
            f"| {statistics.mean(result.worth_by_day[day] for day in days):.3f} "
            f"| {statistics.mean(differences):+.3f} | {spread:.3f} | {seen} |"
        )
    return lines


def main():
    """Run the ablations and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("site")
    parser.add_argument("words", nargs="*")
    parser.add_argument("--scratch", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    words = options.words
    selected = [
        item for item in MECHANISMS if not words or any(w in item.name for w in words)
    ]
    for line in format_table(run_ablations(selected, options)):
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
