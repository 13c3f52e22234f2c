"""Checks that hold for every registered signal."""

import json
import random

import pytest

from hawthornspoke.signals import SIGNALS, SignalsObserved

#: A valid value of each signal, as in a response with status 503.
TEXT_BY_SIGNAL = {"backoff": "2.5", "leaving": "1", "load": "3,0,8", "rate_limit": "4"}

each_signal = pytest.mark.parametrize("name", SIGNALS.names())


def observed(name):
    """Return a signal that has observed a value at time 1."""
    kind = SIGNALS.get(name)
    signal = kind()
    value = kind.decode(TEXT_BY_SIGNAL[name], status=503)
    signal.observe(value, now=1.0, rng=random.Random(0))
    return signal


@each_signal
def test_new_signal_says_nothing(name):
    """Guards against an endpoint that is restricted before its first response."""
    signal = SIGNALS.get(name)()
    assert signal.value is None
    assert signal.dump(now=0.0) is None
    assert not signal.restricts(0.0)
    assert signal.allows_request(0.0)
    assert signal.next_request_at(7.0) == 7.0


@each_signal
def test_observed_value_is_kept_and_dumped(name):
    signal = observed(name)
    assert signal.value is not None
    assert json.loads(json.dumps(signal.dump(now=1.0))) is not None


@each_signal
def test_only_restricting_signals_forbid_requests(name):
    """Guards against a signal that the fleet doesn't check in its selections."""
    signal = observed(name)
    for now in (1.0, 2.0, 4.0, 60.0):
        assert signal.allows_request(now) or signal.restricts(now)
        assert (signal.next_request_at(now) == now) is signal.allows_request(now)


@each_signal
def test_absence_in_a_failure_changes_nothing(name):
    """Guards against a refusal without the field that undoes what was said."""
    signal = observed(name)
    before = signal.dump(now=2.0)
    failure = SignalsObserved(endpoint_id="e", is_success=False, sent_at=2.0)
    assert not signal.observe_absence(failure, now=2.0)
    assert signal.dump(now=2.0) == before


def test_each_signal_has_a_field_of_its_own():
    fields = {SIGNALS.get(name).HEADER.lower() for name in SIGNALS.names()}
    assert len(fields) == len(SIGNALS.names()) == len(TEXT_BY_SIGNAL)
