"""Short soak test with a fixed seed and all seeds that failed before."""

import shutil

import pytest

from tests.soak.soak import run_soak

#: Seeds that failed before, with the cause, as regression tests.
FAILED_BEFORE = {}

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, *FAILED_BEFORE])
def test_promises_hold_under_faults(seed):
    violations, faults, folder = run_soak(seed, SECONDS)
    assert violations == [], f"faults: {faults}, logs: {folder}"
    shutil.rmtree(folder)
