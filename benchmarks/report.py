"""Tables, bounds, and what a process used."""

import os
import subprocess
import tomllib
from pathlib import Path

FOLDER = Path(__file__).parent
TICKS = os.sysconf("SC_CLK_TCK")


def bounds(section):
    """Return the bounds of one benchmark."""
    return tomllib.loads((FOLDER / "bounds.toml").read_text())[section]


def print_table(rows):
    """Print rows of cells with aligned columns, the first as heading."""
    widths = [max(len(str(row[at])) for row in rows) for at in range(len(rows[0]))]
    for row in rows:
        cells = (
            str(cell).ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print("| " + " | ".join(cells) + " |", flush=True)


def check(name, value, bound, *, at_most=True):
    """Print a bound and whether it holds; return whether it does."""
    holds = value <= bound if at_most else value >= bound
    sign = "<=" if at_most else ">="
    word = "holds" if holds else "FAILS"
    print(f"{word}: {name} = {value:.3f}, bound {sign} {bound}", flush=True)
    return holds


def cpu_seconds(pid):
    """Return the processor seconds a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_bytes(pid):
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096


def commit():
    """Return the commit that is checked out, for the table's caption."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=FOLDER,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()


def quantile(values, share):
    """Return a quantile of some values, 0.0 for none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
