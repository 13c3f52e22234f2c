"""Decoding of the signals in responses of endpoints."""

import pytest

from hawthornspoke.signals import INVALID_SIGNAL, SIGNALS

#: Values that no signal may fail on, whether it accepts them or not.
ODD_VALUES = (
    "",
    "x",
    "-1",
    "nan",
    "inf",
    "1e999",
    "1,2",
    "1,2,3,4",
    "\u00b2",
    "\u00b2,\u00b2,8",
    "9" * 5000,
    "9" * 5000 + ",1,8",
    "Wed, 21 Oct 2026 07:28:00 GMT",
    "1\u00a0",
)


@pytest.mark.parametrize(
    ("name", "text", "value"),
    [
        ("load", "3,0,8", 3),
        ("load", "8,2,8", 10),
        ("rate_limit", "1", 1.0),
        ("rate_limit", "0.5", 0.5),
        ("rate_limit", " 2 ", 2.0),
        ("rate_limit", "0", 0.0),
    ],
)
def test_valid_value_is_decoded(name, text, value):
    assert SIGNALS.get(name).decode(text, status=200) == value


@pytest.mark.parametrize("text", ["", "x", "-1", "nan", "inf", "1,2", "1e999"])
def test_invalid_rate_is_reported_as_such(text):
    assert SIGNALS.get("rate_limit").decode(text, status=200) == INVALID_SIGNAL


@pytest.mark.parametrize("name", SIGNALS.names())
@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("text", ODD_VALUES)
def test_no_value_raises_an_exception(name, status, text):
    """Guards against a response field that ends the request it came with."""
    SIGNALS.get(name).decode(text, status=status)
