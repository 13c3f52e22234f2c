"""The single-file executable runs the demo without starting other processes."""

import subprocess
import sys
import time
from pathlib import Path

import pytest

from hawthornspoke.base.tests.addresses import random_port

ROOT = Path(__file__).parent.parent
BINARY = ROOT / "dist" / "hawthornspoke"


@pytest.fixture(scope="module")
def binary():
    """Build the executable from the working tree."""
    build = [sys.executable, str(ROOT / "packaging" / "build_binary.py")]
    subprocess.run(build, check=True, capture_output=True)
    return BINARY


def children(pid):
    """Return the ids of a process's children."""
    pids = set()
    for task in Path(f"/proc/{pid}/task").glob("*/children"):
        pids |= set(task.read_text().split())
    return pids


def test_demo_runs_from_the_binary_as_one_process(binary, tmp_path):
    """Guards against a demo that starts processes or writes files.

    Under load, the process can exit while its children are listed, which raises
    OSError and ends the loop. Its exit code is None until ``communicate`` has waited
    for it.
    """
    port = str(random_port(15000, 20000))
    process = subprocess.Popen(
        [sys.executable, str(binary), "demo", "--once", "--port", port],
        cwd=tmp_path,
        stdout=subprocess.PIPE,
        text=True,
    )
    child_pids = set()
    while process.poll() is None:
        try:
            child_pids |= children(process.pid)
        except OSError:
            break
        time.sleep(0.02)
    printed, _ = process.communicate()
    assert process.returncode == 0, printed
    assert "1.00 copies read from the origin" in printed
    assert child_pids == set()
    assert list(tmp_path.iterdir()) == []
