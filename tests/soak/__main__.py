"""Play seeds from the command line."""

import random
import shutil
import sys

from cyclopts import App

from tests.soak.soak import play

app = App(name="soak")


@app.default
def main(seed: int | None = None, seeds: int = 1, seconds: float = 15.0):
    """Play seeds one after the other; exit 1 if a promise was broken.

    Parameters
    ----------
    seed
        The first one; drawn if not given.
    seeds
        How many.
    seconds
        Of faults in each.
    """
    first = random.randrange(1_000_000) if seed is None else seed
    failed = 0
    for number in range(first, first + seeds):
        broken, faults, folder = play(number, seconds)
        print(f"seed {number}: {len(faults)} faults, {len(broken)} broken")
        for line in broken[:20]:
            print(f"  {line}")
        if broken:
            failed += 1
            print(f"  faults: {' '.join(faults)}\n  logs: {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
