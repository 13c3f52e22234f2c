"""Starts of an endpoint, and what is known of two of them."""

import pytest

from hawthornspoke.catalog import UNKNOWN_START, Incarnation


def test_two_known_starts_differ_by_their_time_in_either_direction():
    early, late = Incarnation(started_ms=1), Incarnation(started_ms=2)
    assert early.differs_from(late)
    assert late.differs_from(early)
    assert not early.differs_from(Incarnation(started_ms=1))


def test_unknown_start_is_no_proof_of_another_one():
    known = Incarnation(started_ms=1)
    assert not known.differs_from(UNKNOWN_START)
    assert not UNKNOWN_START.differs_from(known)


@pytest.mark.parametrize("told", [None, True, 1.5, 1e12, "17", [], -1, 2**63])
def test_what_is_no_time_is_an_unknown_start(told):
    """One odd row, or one that no message could carry, must not stop a process."""
    assert Incarnation.told(told) == UNKNOWN_START


def test_whole_number_is_a_start():
    assert Incarnation.told(1_760_000_000_123).started_ms == 1_760_000_000_123
