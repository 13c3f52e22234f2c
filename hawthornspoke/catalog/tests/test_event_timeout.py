"""Time that callers of a stream wait for the next event."""

import pytest

from hawthornspoke.catalog import event_timeout


@pytest.mark.parametrize(
    ("objective", "max_event_interval", "expected"),
    [(0.4, 0.2, 2.0), (0.6, 0.2, 2.4), (0.4, 0.3, 2.4), (0.0, 0.0, 2.0)],
)
def test_largest_of_the_three_terms_applies(objective, max_event_interval, expected):
    assert event_timeout(
        objective=objective, max_event_interval=max_event_interval
    ) == pytest.approx(expected)
