"""Decoding of the rate limits that endpoints name."""

import pytest

from hawthornspoke.httpio import decode_rate_limit


@pytest.mark.parametrize(
    ("value", "rate"), [("1", 1.0), ("0.5", 0.5), (" 2 ", 2.0), ("0", 0.0)]
)
def test_decimal_number_is_a_rate(value, rate):
    assert decode_rate_limit(value) == rate


@pytest.mark.parametrize("value", [None, "", "x", "-1", "nan", "inf", "1,2"])
def test_missing_or_invalid_value_is_no_rate(value):
    assert decode_rate_limit(value) is None
