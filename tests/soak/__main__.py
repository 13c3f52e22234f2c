"""Command-line interface of the soak test."""

import random
import shutil
import sys

from cyclopts import App

from tests.soak.endless import run_endless
from tests.soak.parts import run_parts
from tests.soak.restarts import run_restarts
from tests.soak.sizes import size_of
from tests.soak.soak import run_soak
from tests.soak.stops import run_stops
from tests.soak.unframed import run_unframed

app = App(name="soak")


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
    """
    first = random.randrange(1_000_000) if seed is None else seed
    failed = 0
    for number in range(first, first + seeds):
        if restarts:
            violations, faults, folder = run_restarts(number, seconds)
        elif parts:
            violations, faults, folder = run_parts(number, seconds)
        elif stops:
            violations, faults, folder = run_stops(number, seconds)
        elif endless:
            violations, faults, folder = run_endless(number, seconds)
        elif unframed:
            violations, faults, folder = run_unframed(number, seconds)
        else:
            violations, faults, folder = run_soak(
                number, seconds, size_of(number, processes)
            )
        print(
            f"seed {number}: {len(faults)} faults, {len(violations)} violations",
            flush=True,
        )
        for line in violations[:20]:
            print(f"  {line}")
        if violations or restarts or stops or endless or unframed:
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
