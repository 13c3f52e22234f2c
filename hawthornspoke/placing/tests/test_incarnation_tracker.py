"""The current incarnation if two sources lag in any order."""

import itertools

import pytest

from hawthornspoke.catalog import UNKNOWN_START, Incarnation
from hawthornspoke.placing._incarnation_tracker import IncarnationTracker

#: In chronological order; the clock was set back before the last.
CHRONOLOGICAL = tuple(Incarnation(started_ms=time) for time in (20, 30, 10))
LAST = CHRONOLOGICAL[-1]


def streams():
    """Return what one source may report: some incarnations in order, and the last."""
    return [
        (
            *[
                item
                for item, reported in zip(CHRONOLOGICAL, flags, strict=False)
                if reported
            ],
            LAST,
        )
        for flags in itertools.product((True, False), repeat=len(CHRONOLOGICAL) - 1)
    ]


def interleavings(listed, reported):
    """Return all orders of two streams of reports, as (method, incarnation)."""
    length = len(listed) + len(reported)
    for positions in itertools.combinations(range(length), len(listed)):
        left, right = iter(listed), iter(reported)
        yield [
            ("observe_listed", next(left))
            if place in positions
            else ("observe_reported", next(right))
            for place in range(length)
        ]


@pytest.mark.parametrize("listed", streams())
@pytest.mark.parametrize("reported", streams())
def test_last_incarnation_wins_whichever_source_lags(listed, reported):
    """A host kept an earlier incarnation for good.

    It gets some incarnations from the list and some from the agent, each in order, but
    one source lags by up to seconds. Cause: an incarnation that had once been ignored
    as stale was ignored forever.
    """
    for reports in interleavings(listed, reported):
        tracker = IncarnationTracker()
        for method, incarnation in reports:
            getattr(tracker, method)(incarnation)
        assert tracker.current == LAST, reports


def test_incarnation_never_goes_back_if_both_sources_are_complete():
    """State of a new incarnation was discarded because of a stale report."""
    for reports in interleavings(CHRONOLOGICAL, CHRONOLOGICAL):
        tracker = IncarnationTracker()
        observed = []
        for method, incarnation in reports:
            if getattr(tracker, method)(incarnation):
                observed.append(CHRONOLOGICAL.index(tracker.current))
        assert observed == sorted(set(observed)), reports


def test_unknown_incarnation_changes_nothing():
    tracker = IncarnationTracker()
    assert not tracker.observe_listed(UNKNOWN_START)
    assert not tracker.observe_reported(CHRONOLOGICAL[0])
    assert not tracker.observe_listed(UNKNOWN_START)
    assert tracker.current == CHRONOLOGICAL[0]
    assert tracker.observe_listed(CHRONOLOGICAL[1])
