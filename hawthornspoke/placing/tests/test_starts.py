"""Which start holds when two words on it are late in any order."""

import itertools

import pytest

from hawthornspoke.catalog import UNKNOWN_START, Incarnation
from hawthornspoke.placing._starts import IncarnationTracker

#: In the order in which they happened; the clock was put back before the last.
HAPPENED = tuple(Incarnation(started_ms=time) for time in (20, 30, 10))
LAST = HAPPENED[-1]


def streams():
    """Return what one of the words may tell: some starts in order, the last too."""
    return [
        (*[item for item, told in zip(HAPPENED, flags, strict=False) if told], LAST)
        for flags in itertools.product((True, False), repeat=len(HAPPENED) - 1)
    ]


def interleavings(listed, told):
    """Return all orders in which two streams may be heard, as (word, start)."""
    length = len(listed) + len(told)
    for places in itertools.combinations(range(length), len(listed)):
        left, right = iter(listed), iter(told)
        yield [
            ("observe_listed", next(left))
            if place in places
            else ("observe_reported", next(right))
            for place in range(length)
        ]


@pytest.mark.parametrize("listed", streams())
@pytest.mark.parametrize("told", streams())
def test_last_start_holds_in_the_end_whatever_was_late(listed, told):
    """A host stayed with an earlier start for good.

    Events: a host hears of some starts by the list, of some by the agent, each in
    order, but one of them up to seconds after the other. Cause: a word that had been
    passed over once as late was passed over for ever.
    """
    for heard in interleavings(listed, told):
        starts = IncarnationTracker()
        for word, incarnation in heard:
            getattr(starts, word)(incarnation)
        assert starts.current == LAST, heard


def test_start_never_goes_back_where_both_words_tell_all():
    """A host's memory of a new start was thrown away for the old one's late word."""
    for heard in interleavings(HAPPENED, HAPPENED):
        starts = IncarnationTracker()
        begun = []
        for word, incarnation in heard:
            if getattr(starts, word)(incarnation):
                begun.append(HAPPENED.index(starts.current))
        assert begun == sorted(set(begun)), heard


def test_unknown_start_changes_nothing():
    starts = IncarnationTracker()
    assert not starts.observe_listed(UNKNOWN_START)
    assert not starts.observe_reported(HAPPENED[0])
    assert not starts.observe_listed(UNKNOWN_START)
    assert starts.current == HAPPENED[0]
    assert starts.observe_listed(HAPPENED[1])
