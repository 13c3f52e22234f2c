"""A short seeded soak of the real programs, and every seed that ever failed."""

import shutil

import pytest

from tests.soak.soak import play

#: Seeds that failed once, with the cause; each is played again.
FAILED_BEFORE = {}

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, *FAILED_BEFORE])
def test_promises_hold_under_faults(seed):
    broken, faults, folder = play(seed, SECONDS)
    assert broken == [], f"faults: {faults}, logs: {folder}"
    shutil.rmtree(folder)
