"""Fixtures of running fleets."""

import random

import pytest

from tests.fleet import Fleet, declarations

CHUNK_SIZE = 16 * 1024
DEFAULT_CHUNK_COUNT = 60


def random_weights(seed, chunks=DEFAULT_CHUNK_COUNT):
    """Return pseudorandom weights for a seed; the last chunk is not full."""
    return random.Random(seed).randbytes(chunks * CHUNK_SIZE - 7)


def start_fleet(fleet):
    """Start a fleet and wait until redac-v1 is live on all model hosts."""
    fleet.start()
    fleet.publish("redac-v1", random_weights(1))
    fleet.publish("redac-v2", random_weights(2))
    fleet.write_declaration("10-all.toml", declarations())
    fleet.apply("--wait", "20")
    fleet.wait_ready()
    return fleet


@pytest.fixture(scope="module")
def fleet():
    """Fleet of 3 entry hosts, 3 model hosts and 2 plain hosts, per test module."""
    running_fleet = Fleet(agents=3, plain=2, entry_settings={"leave_wait": 0.5})
    try:
        yield start_fleet(running_fleet)
    finally:
        running_fleet.stop()


@pytest.fixture
def fresh_fleet():
    """Fleet like ``fleet``, for a single test that modifies its processes."""
    running_fleet = Fleet(agents=3, plain=2, entry_settings={"leave_wait": 0.5})
    try:
        yield start_fleet(running_fleet)
    finally:
        running_fleet.stop()
