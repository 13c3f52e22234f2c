"""Cold times, host counts, shares and slots on their own."""

import random

import pytest

from hawthornspoke.slow_start import (
    ASSUMED_ENTRY_HOSTS,
    COUNT_MEMORY,
    ENTRY_DELAY,
    OPEN_TIME,
    SETTLING_TIME,
    ColdState,
    HostCounts,
    SendSlots,
    share_of_rate,
    sustained_rate,
)


def test_entry_without_a_cold_time_starts_no_ramp():
    """Guards against warm endpoints that are restricted after each of their entries."""
    state = ColdState()
    state.observe_entry(0.0, 10.0)
    assert not state.restricts(10.0)


def test_entry_that_may_be_older_raises_an_assumed_time_but_does_not_end_it():
    state = ColdState()
    state.assume(3.0, 10.0)
    state.observe_entry(0.0, 10.5)
    assert state.deadline == 13.0
    state.observe_entry(4.0, 10.6)
    assert state.deadline == 14.6
    state.observe_entry(0.0, 10.0 + ENTRY_DELAY)
    assert state.deadline == 10.0 + ENTRY_DELAY


def test_share_doubles_in_steps():
    state = ColdState()
    state.observe_entry(1.0, 0.0)
    factors = [state.ramp_factor(at) for at in (0.5, 1.01, 1.21, 1.41, 1.61, 1.81)]
    assert factors == [1, 2, 4, 8, 16, 32]


def test_counts_are_assumed_until_they_have_settled_and_once_they_are_outdated():
    counts = HostCounts(failure_domains=3)
    assumed = (ASSUMED_ENTRY_HOSTS / 3, ASSUMED_ENTRY_HOSTS)
    counts.update(near=1, all_hosts=2, now=0.0)
    assert (counts.near(0.0), counts.all(0.0)) == assumed
    counts.update(near=15, all_hosts=45, now=SETTLING_TIME)
    assert (counts.near(SETTLING_TIME), counts.all(SETTLING_TIME)) == (15, 45)
    counts.update(near=None, all_hosts=None, now=SETTLING_TIME + 1)
    outdated = SETTLING_TIME + COUNT_MEMORY
    assert (counts.near(outdated), counts.all(outdated)) == assumed


def test_smaller_count_holds_only_after_the_larger_one_is_outdated():
    counts = HostCounts(failure_domains=3)
    for now in range(10):
        counts.update(near=15, all_hosts=45, now=float(now))
    now = 9.0
    while now < 9.0 + COUNT_MEMORY:
        counts.update(near=14, all_hosts=15, now=now)
        assert (counts.near(now), counts.all(now)) == (15, 45)
        now += 0.5
    counts.update(near=14, all_hosts=15, now=now)
    assert (counts.near(now), counts.all(now)) == (14, 15)


def test_long_cut_does_not_lower_the_count():
    """Guards against sides of a cut that each send a cold endpoint its whole rate."""
    counts = HostCounts(failure_domains=3)
    for now in range(10):
        counts.update(near=15, all_hosts=45, now=float(now))
    for now in range(10, 200):
        counts.update(near=15, all_hosts=15, now=float(now), is_view_whole=False)
        assert counts.all(float(now)) == 45


@pytest.mark.parametrize(("near", "far"), [(15, 30), (1, 44), (45, 0), (1, 0)])
def test_shares_add_up_to_the_rate_at_most(near, far):
    shares = [
        share_of_rate(15.0, is_near=is_near, near=near, all_hosts=near + far)
        for is_near in [True] * near + [False] * far
    ]
    assert sum(shares) <= 15.0


@pytest.mark.parametrize("rate", [0.5, 15.0, 400.0])
@pytest.mark.parametrize(("overage", "allowance"), [(1.0, 0), (1.5, 5), (3.0, 0)])
def test_sustained_rate_leaves_room_below_the_bound_of_a_second(
    rate, overage, allowance
):
    bound = rate * overage + allowance
    sustained = sustained_rate(rate, max_per_second=bound)
    assert 0 < sustained <= rate
    assert sustained * (1 + OPEN_TIME) <= bound


def advance(slots, now, *, spacing=2.0, ends_at=100.0):
    slots.advance(now, spacing=spacing, ends_at=ends_at, rng=random.Random(1))
    return slots.is_open(now)


def test_slot_that_is_not_used_is_lost():
    """Guards against credit that is saved up while no request comes."""
    slots = SendSlots()
    advance(slots, 0.0)
    start = slots.next_at(0.0, spacing=2.0)
    assert 0.0 < start < 2.0
    assert advance(slots, start)
    assert not advance(slots, start + OPEN_TIME)
    assert not advance(slots, start + 20.0 + OPEN_TIME)
    assert advance(slots, start + 20.001)
    slots.take()
    assert not advance(slots, start + 20.002)
    assert slots.next_at(start + 20.002, spacing=2.0) == pytest.approx(start + 22.0)


def test_slots_follow_a_longer_spacing_at_once():
    slots = SendSlots()
    advance(slots, 0.0)
    start = slots.next_at(0.0, spacing=2.0)
    assert advance(slots, start)
    slots.take()
    assert not advance(slots, start + 2.1, spacing=20.0)
    assert advance(slots, start + 20.1, spacing=20.0)


def test_first_slot_is_not_far_away_once_the_spacing_is_shorter():
    """Guards against hosts without slots in the ramp, all unlimited after it."""
    slots = SendSlots()
    advance(slots, 0.0, spacing=1000.0)
    advance(slots, 0.1, spacing=0.5)
    assert slots.next_at(0.1, spacing=0.5) <= 0.6


def test_new_cold_time_has_a_new_phase():
    """Guards against hosts whose grids were brought into step."""
    slots = SendSlots()
    rng = random.Random(7)
    slots.advance(0.0, spacing=2.0, ends_at=5.0, rng=rng)
    first = slots.next_at(0.0, spacing=2.0)
    slots.advance(10.0, spacing=2.0, ends_at=15.0, rng=rng)
    assert (slots.next_at(10.0, spacing=2.0) - first) % 2.0 != pytest.approx(0.0)


def test_endpoint_that_is_cold_again_in_its_ramp_has_slots_at_new_phases():
    """Guards against hosts whose grids were brought into step by the end of a ramp."""
    starts = []
    for seed in range(20):
        state, rng = ColdState(), random.Random(seed)
        state.observe_entry(1.0, 0.0)
        for now, spacing in ((0.0, 2.0), (1.9, 0.0625)):
            ends_at = state.restricted_until
            state.send_slots.advance(now, spacing=spacing, ends_at=ends_at, rng=rng)
        state.observe_entry(5.0, 1.95)
        ends_at = state.restricted_until
        state.send_slots.advance(1.95, spacing=2.0, ends_at=ends_at, rng=rng)
        starts.append(state.send_slots.next_at(2.5, spacing=2.0))
    assert max(starts) - min(starts) > 1.0
