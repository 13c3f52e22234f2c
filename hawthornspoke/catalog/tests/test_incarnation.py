"""Comparison and parsing of endpoint incarnations."""

import pytest

from hawthornspoke.catalog import UNKNOWN_START, Incarnation


def test_known_incarnations_differ_by_start_time_in_either_direction():
    early, late = Incarnation(started_ms=1), Incarnation(started_ms=2)
    assert early.differs_from(late)
    assert late.differs_from(early)
    assert not early.differs_from(Incarnation(started_ms=1))


def test_unknown_incarnation_does_not_differ_from_a_known_one():
    known = Incarnation(started_ms=1)
    assert not known.differs_from(UNKNOWN_START)
    assert not UNKNOWN_START.differs_from(known)


@pytest.mark.parametrize("value", [None, True, 1.5, 1e12, "17", [], -1, 2**63])
def test_invalid_start_time_gives_an_unknown_incarnation(value):
    """A malformed or too large value must not raise an exception, now or when sent."""
    assert Incarnation.from_value(value) == UNKNOWN_START


def test_integer_is_a_start_time():
    assert Incarnation.from_value(1_760_000_000_123).started_ms == 1_760_000_000_123
