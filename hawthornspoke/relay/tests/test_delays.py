"""Delay of reports without a common clock."""

import pytest

from hawthornspoke.relay._delays import LEAST_KEPT, Delays


def test_delay_is_what_exceeds_the_quickest_report():
    delays = Delays()
    assert delays.note("a", sent=1000.0, now=5.010) == 0.0
    assert delays.note("a", sent=1001.0, now=6.002) == 0.0
    assert delays.note("a", sent=1002.0, now=7.502) == pytest.approx(0.5)
    assert delays.note("b", sent=3.0, now=8.0) == 0.0


def test_quickest_report_is_forgotten_in_time():
    """A link was taken to be slow for ever after a clock had drifted."""
    delays = Delays()
    delays.note("a", sent=0.0, now=0.0)
    assert delays.note("a", sent=LEAST_KEPT, now=LEAST_KEPT + 0.4) == 0.0
    assert delays.note("a", sent=LEAST_KEPT + 1, now=LEAST_KEPT + 1.4) == 0.0


def test_restarted_sender_begins_anew():
    delays = Delays()
    delays.note("a", sent=50.0, now=0.0)
    delays.forget("a")
    assert delays.note("a", sent=0.0, now=1.0) == 0.0
