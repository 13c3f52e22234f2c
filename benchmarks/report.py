"""Tables, bounds and resource usage of processes for benchmark reports."""

import os
import subprocess
import tomllib
from pathlib import Path

FOLDER = Path(__file__).parent
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def bounds(section):
    """Return the bounds of one benchmark from ``bounds.toml``."""
    return tomllib.loads((FOLDER / "bounds.toml").read_text())[section]


def print_table(rows):
    """Print rows as a table with aligned columns; the first row is the heading."""
    widths = [
        max(len(str(row[column])) for row in rows) for column in range(len(rows[0]))
    ]
    for row in rows:
        cells = (
            str(cell).ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print("| " + " | ".join(cells) + " |", flush=True)


def check(name, value, bound, *, at_most=True):
    """Print whether a value is within its bound, and return it."""
    holds = value <= bound if at_most else value >= bound
    sign = "<=" if at_most else ">="
    verdict = "holds" if holds else "FAILS"
    print(f"{verdict}: {name} = {value:.3f}, bound {sign} {bound}", flush=True)
    return holds


def cpu_seconds(pid):
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_bytes(pid):
    """Return the resident set size of a process in bytes, with 4096-byte pages."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096


def commit():
    """Return a description of the checked-out commit."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=FOLDER,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()


def quantile(values, share):
    """Return the quantile of the values at a share (0 to 1), or 0.0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
