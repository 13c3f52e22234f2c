"""Short soak test with a fixed seed and all seeds that failed before."""

import shutil

import pytest

from tests.soak.soak import play

#: Seeds that failed before, with the cause, as regression tests.
FAILED_BEFORE = {}

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, *FAILED_BEFORE])
def test_promises_hold_under_faults(seed):
    broken, faults, folder = play(seed, SECONDS)
    assert broken == [], f"faults: {faults}, logs: {folder}"
    shutil.rmtree(folder)
