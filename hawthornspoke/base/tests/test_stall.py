"""Arrival time of messages that are read after a stall of the process."""

import pytest

from hawthornspoke.base import StallDetector
from hawthornspoke.base._stall import CATCH_UP_TIME, STALL_THRESHOLD
from hawthornspoke.base._ticks import TICK_INTERVAL


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now = 10.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def stalls():
    return []


@pytest.fixture
def detector(clock, stalls):
    stall_detector = StallDetector(on_resume=stalls.append, clock=clock)
    stall_detector.record_heartbeat()
    return stall_detector


def test_running_loop_reads_data_that_has_just_arrived(detector, clock):
    for _ in range(20):
        clock.now += TICK_INTERVAL
        assert detector.earliest_arrival() == clock.now
        detector.record_heartbeat()


def test_first_read_after_a_stall_is_dated_to_the_last_heartbeat(detector, clock):
    clock.now += 4.0
    assert detector.earliest_arrival() == 10.0


def test_reads_shortly_after_a_stall_may_have_been_buffered(detector, clock, stalls):
    clock.now += 4.0
    detector.record_heartbeat()
    assert stalls == [4.0]
    clock.now += CATCH_UP_TIME / 2
    detector.record_heartbeat()
    assert detector.earliest_arrival() == 10.0
    clock.now += CATCH_UP_TIME / 2
    detector.record_heartbeat()
    assert detector.earliest_arrival() == clock.now


def test_busy_loop_is_not_stalled(detector, clock, stalls):
    clock.now += STALL_THRESHOLD * 0.9
    assert detector.earliest_arrival() == clock.now
    detector.record_heartbeat()
    assert detector.earliest_arrival() == clock.now
    assert not stalls
