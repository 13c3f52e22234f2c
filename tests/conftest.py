"""Fleets shared by the tests of a file."""

import random

import pytest

from tests.fleet import Fleet, declarations

CHUNK = 16 * 1024
CHUNKS = 60


def weights(number, chunks=CHUNKS):
    """Return weights that differ by number."""
    return random.Random(number).randbytes(chunks * CHUNK - 7)


def start_fleet(fleet):
    """Start a fleet with redac-v1 live everywhere."""
    fleet.start()
    fleet.publish("redac-v1", weights(1))
    fleet.publish("redac-v2", weights(2))
    fleet.declare("10-all.toml", declarations())
    fleet.apply("--wait", "20")
    fleet.wait_ready()
    return fleet


@pytest.fixture(scope="module")
def fleet():
    """3 entry hosts, 3 model hosts and 2 plain hosts, serving version v1."""
    made = Fleet(agents=3, plain=2, entry_settings={"leave_wait": 0.5})
    try:
        yield start_fleet(made)
    finally:
        made.stop()


@pytest.fixture
def fresh_fleet():
    """The same, for one test alone that breaks it."""
    made = Fleet(agents=3, plain=2, entry_settings={"leave_wait": 0.5})
    try:
        yield start_fleet(made)
    finally:
        made.stop()
