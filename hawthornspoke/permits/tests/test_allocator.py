"""Permits granted within the rate limit of an endpoint."""

import random

import pytest

from hawthornspoke.catalog import Incarnation
from hawthornspoke.permits import (
    PermitAllocator,
    PermitClaimed,
    PermitsDenied,
    PermitsGranted,
    RateLimitReported,
    RateLimitUpdated,
)

#: Requests that an endpoint with a rate limit may get in ``WINDOW`` seconds: 1.5 times
#: what the limit allows, and 5 more.
WINDOW = 4.0
TOLERANCE = 1.5
ALLOWANCE = 5


def claim(machine, *, now, rate=1.0, **options):
    """Claim permits; return the answer without updates of limits."""
    message = PermitClaimed(endpoint_id="e", rate=rate, **options)
    return machine.step(message, now=now)[0]


def report(machine, rate, *, now, **options):
    """Report a limit and return the updates."""
    message = RateLimitReported(endpoint_id="e", rate=rate, **options)
    return machine.step(message, now=now)


def simulate(machine, *, hosts, rate, seconds, seed, prompt=False):
    """Let hosts claim whenever they may; return the times at which permits are used.

    Each host uses its permits at random times while they are valid, or at once.
    """
    prng = random.Random(seed)
    next_claim_at = [0.0] * hosts
    used_at = []
    for tick in range(int(seconds * 100)):
        now = tick / 100
        for host in prng.sample(range(hosts), hosts):
            if now < next_claim_at[host]:
                continue
            answer = claim(machine, now=now, rate=rate, wanted=prng.randint(1, 30))
            if isinstance(answer, PermitsDenied):
                next_claim_at[host] = answer.retry_at
                continue
            times = [
                answer.usable_at
                if prompt
                else prng.uniform(answer.usable_at, answer.expires_at)
                for _ in range(answer.count)
            ]
            used_at += times
            next_claim_at[host] = max(times)
    return sorted(used_at)


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 2.5, 10.0, 40.0])
@pytest.mark.parametrize("hosts", [1, 9, 60])
def test_any_window_stays_within_the_limit(rate, hosts):
    """Guards against hosts that each keep to a limit and together exceed it."""
    used_at = simulate(
        PermitAllocator(), hosts=hosts, rate=rate, seconds=20, seed=hosts
    )
    allowed = TOLERANCE * WINDOW * rate + ALLOWANCE
    for start in used_at:
        assert sum(start <= at < start + WINDOW for at in used_at) <= allowed


@pytest.mark.parametrize("hosts", [1, 9, 60])
def test_limit_is_used_up_while_there_is_demand(hosts):
    used_at = simulate(
        PermitAllocator(), hosts=hosts, rate=5.0, seconds=20, seed=1, prompt=True
    )
    assert len(used_at) >= 0.9 * 20 * 5.0


def test_permits_are_not_saved_up_while_nobody_claims():
    machine = PermitAllocator()
    report(machine, 1.0, now=0.0)
    claim(machine, now=0.0)
    answers = [claim(machine, now=20.0) for _ in range(5)]
    granted = [item for item in answers if isinstance(item, PermitsGranted)]
    assert [item.usable_at for item in granted] == [20.0, 21.0]


def test_denied_claim_names_the_time_of_the_next_permit():
    machine = PermitAllocator(max_lead=1.0)
    report(machine, 1.0, now=0.0)
    for _ in range(2):
        claim(machine, now=0.0)
    denied = claim(machine, now=0.0)
    assert denied.retry_at == pytest.approx(1.0)
    assert isinstance(claim(machine, now=denied.retry_at), PermitsGranted)


def test_raised_limit_does_not_wait_for_permits_of_the_lower_one():
    machine = PermitAllocator()
    report(machine, 0.0, now=0.0)
    claim(machine, now=0.0)
    assert isinstance(claim(machine, now=0.5), PermitsDenied)
    report(machine, 5.0, now=1.0)
    assert claim(machine, now=1.0).usable_at == pytest.approx(1.2)


def test_limit_is_reported_once_and_its_end_too():
    machine = PermitAllocator()
    assert report(machine, 2.0, now=0.0) == [
        RateLimitUpdated(endpoint_id="e", rate=2.0)
    ]
    assert report(machine, 2.0, now=1.0) == []
    assert report(machine, None, now=2.0) == [
        RateLimitUpdated(endpoint_id="e", rate=None)
    ]


def test_end_of_a_limit_is_passed_on_by_a_restarted_allocator():
    """Guards against hosts that keep to a limit that others know to have ended."""
    assert report(PermitAllocator(), None, now=0.0) == [
        RateLimitUpdated(endpoint_id="e", rate=None)
    ]


def test_repeated_end_does_not_end_a_limit_that_was_reported_or_claimed_later():
    """Guards against an old end that reaches an allocator after a newer limit."""
    machine = PermitAllocator()
    report(machine, 2.0, now=10.0)
    assert report(machine, None, now=11.0, learned_at=9.5) == []
    assert machine.rate_of("e") == 2.0
    claim(machine, now=12.0)
    assert report(machine, None, now=13.0, learned_at=11.5) == []
    assert machine.rate_of("e") == 2.0
    ended = RateLimitUpdated(endpoint_id="e", rate=None)
    assert report(machine, None, now=14.0, learned_at=12.5) == [ended]


def test_repeated_end_of_a_former_incarnation_leaves_the_limit_of_the_next():
    machine = PermitAllocator()
    first, second = Incarnation(started_ms=1), Incarnation(started_ms=2)
    report(machine, 2.0, now=10.0, incarnation=second)
    assert report(machine, None, now=11.0, learned_at=9.0, incarnation=first) == []
    assert machine.rate_of("e") == 2.0


def test_claim_within_a_limit_that_has_ended_is_told_so():
    """Guards against a host that was disconnected when a limit ended."""
    machine = PermitAllocator()
    report(machine, 2.0, now=0.0)
    report(machine, None, now=1.0)
    ended = RateLimitUpdated(endpoint_id="e", rate=None)
    assert machine.rate_limits(now=2.0) == [ended]
    denied, update = machine.step(PermitClaimed(endpoint_id="e", rate=2.0), now=2.0)
    assert isinstance(denied, PermitsDenied)
    assert update == ended
    assert report(machine, 2.0, now=3.0) != []
    assert isinstance(claim(machine, now=3.0), PermitsGranted)


def test_claim_does_not_change_a_known_limit():
    """Guards against a limit that an older claim of another host sets back."""
    machine = PermitAllocator()
    report(machine, 4.0, now=0.0)
    claim(machine, now=0.0, rate=1.0)
    assert machine.rate_limits(now=0.0) == [RateLimitUpdated(endpoint_id="e", rate=4.0)]


def test_claim_for_an_unknown_limit_makes_it_known():
    """Guards against a restarted agent that no entry host learns limits from."""
    message = PermitClaimed(endpoint_id="e", rate=2.0)
    granted, update = PermitAllocator().step(message, now=0.0)
    assert isinstance(granted, PermitsGranted)
    assert update == RateLimitUpdated(endpoint_id="e", rate=2.0)


def test_restarted_endpoint_starts_without_a_limit():
    machine = PermitAllocator()
    first, second = Incarnation(started_ms=1), Incarnation(started_ms=2)
    report(machine, 0.0, now=0.0, incarnation=first)
    claim(machine, now=0.0, incarnation=first)
    report(machine, 10.0, now=0.1, incarnation=second)
    assert claim(machine, now=0.1, incarnation=second).usable_at == pytest.approx(0.1)


def test_allocator_that_takes_over_grants_nothing_at_first():
    """Guards against the permits of two allocators in the same seconds."""
    machine = PermitAllocator(takeover_delay=1.0)
    assert claim(machine, now=5.0).usable_at == pytest.approx(6.0)


def test_unused_limit_is_forgotten():
    machine = PermitAllocator()
    report(machine, 2.0, now=0.0)
    assert machine.rate_limits(now=29.0)
    assert machine.rate_limits(now=31.0) == []
