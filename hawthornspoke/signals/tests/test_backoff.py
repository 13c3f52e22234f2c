"""Pauses that endpoints ask for when they refuse requests."""

import random

import pytest

from hawthornspoke.signals import INVALID_SIGNAL, Backoff, SignalsObserved
from hawthornspoke.signals._backoff import MAX_BACKOFF, MAX_JITTER_SHARE, RAMP_TIME

#: Seconds between two requests in a simulation.
TICK = 0.01


def paused(seconds, *, now=0.0, seed=0):
    """Return a signal of an endpoint that asked for a pause."""
    signal = Backoff()
    assert signal.observe(seconds, now=now, rng=random.Random(seed))
    return signal


def latest_end(seconds, *, now=0.0):
    return now + seconds * (1 + MAX_JITTER_SHARE)


@pytest.mark.parametrize(
    ("status", "text", "seconds"),
    [
        (503, "3", 3.0),
        (503, "0.5", 0.5),
        (503, "0", 0.0),
        (503, "1e9", MAX_BACKOFF),
        (503, "-1", INVALID_SIGNAL),
        (503, "nan", INVALID_SIGNAL),
        (503, "", INVALID_SIGNAL),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", INVALID_SIGNAL),
        (200, "3", None),
        (429, "3", None),
        (500, "x", None),
    ],
)
def test_only_seconds_in_a_503_ask_for_a_pause(status, text, seconds):
    assert Backoff.decode(text, status=status) == seconds


def test_no_request_is_allowed_before_the_end():
    signal = paused(3.0, now=1.0)
    assert not signal.allows_request(1.0)
    assert not signal.allows_request(3.99)
    assert signal.next_request_at(1.0) >= 4.0
    assert signal.allows_request(latest_end(3.0, now=1.0))


def test_pause_of_no_time_is_none():
    signal = Backoff()
    assert not signal.observe(0.0, now=1.0, rng=random.Random(0))
    assert signal.allows_request(1.0)


def test_later_refusal_prolongs_but_does_not_shorten_a_pause():
    """Guards against a refusal of an earlier request that is read last."""
    signal = paused(5.0)
    assert not signal.observe(1.0, now=1.0, rng=random.Random(0))
    assert not signal.allows_request(4.9)
    assert not signal.observe(9.0, now=2.0, rng=random.Random(0))
    assert not signal.allows_request(10.9)


def test_success_does_not_end_a_pause():
    """Guards against an answer to a request that was sent before the refusal."""
    signal = paused(3.0)
    response = SignalsObserved(endpoint_id="e", sent_at=1.0)
    assert not signal.observe_absence(response, now=1.0)
    assert not signal.allows_request(2.9)


def test_hosts_do_not_return_in_the_same_moment():
    """Guards against an endpoint that is overrun by all hosts at the end."""
    ends = {paused(3.0, seed=seed).next_request_at(0.0) for seed in range(20)}
    assert len(ends) == 20
    assert min(ends) >= 3.0
    assert max(ends) <= latest_end(3.0)


def test_requests_return_gradually():
    """Guards against a host that fills a recovering endpoint at once."""
    signal = paused(1.0)
    end = signal.next_request_at(0.0)
    sent_times = []
    for number in range(int(RAMP_TIME / TICK)):
        now = end + number * TICK
        if signal.allows_request(now):
            signal.count_request(now)
            sent_times.append(now - end)
    counts = [sum(at < limit for at in sent_times) for limit in (0.19, 0.39, 0.79)]
    assert counts == [1, 2, 8]
    assert all(signal.allows_request(end + RAMP_TIME) for _ in range(100))


def test_refusal_during_the_ramp_begins_a_new_pause():
    signal = paused(1.0)
    end = signal.next_request_at(0.0)
    signal.count_request(end)
    assert signal.observe(2.0, now=end, rng=random.Random(0))
    assert not signal.allows_request(end + 1.9)


def test_dump_tells_the_remaining_time():
    signal = paused(3.0)
    assert signal.dump(now=1.0)["asked"] == 3.0
    assert 1.9 < signal.dump(now=1.0)["remaining"] <= 2.4
    assert signal.dump(now=latest_end(3.0) + RAMP_TIME) is None
