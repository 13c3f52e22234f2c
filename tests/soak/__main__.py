"""Command-line interface of the soak test."""

import random
import shutil
import sys

from cyclopts import App

from tests.soak.cuts import run_cuts
from tests.soak.endless import run_endless
from tests.soak.joint_ends import run_joint_ends
from tests.soak.neighbours import run_neighbours
from tests.soak.parts import run_parts
from tests.soak.restarts import run_restarts
from tests.soak.sizes import size_of
from tests.soak.soak import run_soak
from tests.soak.stops import run_stops
from tests.soak.stutter import run_stutter
from tests.soak.unframed import run_unframed

app = App(name="soak")


def _run_all_faults(processes):
    """Return the function that runs a seed with all kinds of faults."""

    def run(seed, seconds):
        return run_soak(seed, seconds, size_of(seed, processes))

    return run


@app.default
def main(
    seed: int | None = None,
    seeds: int = 1,
    seconds: float = 15.0,
    processes: int = 60,
    restarts: bool = False,
    parts: bool = False,
    stops: bool = False,
    endless: bool = False,
    unframed: bool = False,
    stutter: bool = False,
    joint_ends: bool = False,
    neighbours: bool = False,
    cuts: bool = False,
):
    """Run seeds one after the other; exit with 1 if a guarantee was violated.

    Parameters
    ----------
    seed
        First seed; chosen at random by default.
    seeds
        Number of consecutive seeds.
    seconds
        Duration of fault injection for each seed.
    processes
        Processes of every tenth seed; 0 to run few processes with each seed.
    restarts
        Kill hosts and start them again in series while most runs fail, in place of all
        kinds of faults.
    parts
        Send requests with a crashing prompt part, while engines end and all hosts and
        agents are killed and started again, in place of all kinds of faults.
    unframed
        Leave out the framing of answers while endpoints end and start again, in place
        of all kinds of faults.
    stutter
        Let endpoints repeat earlier answers on their connections, whole or in part,
        beside restarts and faults of links.
    joint_ends
        The same while the store is away at the starts, engines end with the hosts, and
        some crashes show neither as a refused connection nor in the list.
    neighbours
        Count sound requests with the key or the first part of crashing ones that begin.
    cuts
        End connections of answers without framing: those of an endpoint or of a host,
        with FIN or RST, alone or with the process.
    """
    run = _run_all_faults(processes)
    for is_chosen, chosen_run in (
        (restarts, run_restarts),
        (parts, run_parts),
        (stops, run_stops),
        (endless, run_endless),
        (unframed, run_unframed),
        (stutter, run_stutter),
        (joint_ends, run_joint_ends),
        (neighbours, run_neighbours),
        (cuts, run_cuts),
    ):
        if is_chosen:
            run = chosen_run
    prints_faults = any((restarts, stops, endless, unframed, stutter, neighbours, cuts))
    first = random.randrange(1_000_000) if seed is None else seed
    failed = 0
    for number in range(first, first + seeds):
        violations, faults, folder = run(number, seconds)
        print(
            f"seed {number}: {len(faults)} faults, {len(violations)} violations",
            flush=True,
        )
        for line in violations[:20]:
            print(f"  {line}")
        if violations or prints_faults:
            print(f"  faults: {' '.join(faults)}", flush=True)
        if violations:
            failed += 1
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
