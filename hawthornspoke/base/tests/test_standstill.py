"""What is read after a process stood still had arrived before."""

import pytest

from hawthornspoke.base import Standstill
from hawthornspoke.base._standstill import CATCHING_UP, LONGEST_PAUSE
from hawthornspoke.base._ticks import TICK_EVERY


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 10.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def woke():
    return []


@pytest.fixture
def standstill(clock, woke):
    made = Standstill(on_woke=woke.append, clock=clock)
    made.note()
    return made


def test_loop_that_runs_reads_what_has_just_come(standstill, clock):
    for _ in range(20):
        clock.now += TICK_EVERY
        assert standstill.arrived_after() == clock.now
        standstill.note()


def test_what_is_read_first_on_waking_came_after_the_last_note(standstill, clock):
    clock.now += 4.0
    assert standstill.arrived_after() == 10.0


def test_what_is_read_in_the_next_turns_may_have_waited_too(standstill, clock, woke):
    clock.now += 4.0
    standstill.note()
    assert woke == [4.0]
    clock.now += CATCHING_UP / 2
    standstill.note()
    assert standstill.arrived_after() == 10.0
    clock.now += CATCHING_UP / 2
    standstill.note()
    assert standstill.arrived_after() == clock.now


def test_busy_loop_has_not_stood_still(standstill, clock, woke):
    clock.now += LONGEST_PAUSE * 0.9
    assert standstill.arrived_after() == clock.now
    standstill.note()
    assert standstill.arrived_after() == clock.now
    assert not woke
