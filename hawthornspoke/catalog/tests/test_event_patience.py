"""How long callers of a stream wait for an event."""

import pytest

from hawthornspoke.catalog import event_patience


@pytest.mark.parametrize(
    ("objective", "pause", "expected"),
    [(0.4, 0.2, 2.0), (0.6, 0.2, 2.4), (0.4, 0.3, 2.4), (0.0, 0.0, 2.0)],
)
def test_the_longest_of_the_three_counts(objective, pause, expected):
    assert event_patience(objective=objective, pause=pause) == pytest.approx(expected)
