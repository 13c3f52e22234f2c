"""Each accessor returns a valid value or raises an error that names the field."""

import pytest

from hawthornspoke import fields
from hawthornspoke.base import is_failure


@pytest.mark.parametrize(
    ("read", "value", "expected"),
    [
        (fields.text, "a", "a"),
        (fields.number, 1.5, 1.5),
        (fields.whole_number, 12.0, 12),
        (fields.whole_number, 0, 0),
        (fields.flag, False, False),
        (fields.child, None, {}),
        (fields.items, [1, "a"], [1, "a"]),
        (fields.children, [{}], [{}]),
        (fields.texts, ["a"], ["a"]),
        (fields.address, "10.0.0.1:80", "10.0.0.1:80"),
    ],
)
def test_valid_field_is_returned(read, value, expected):
    assert read({"x": value}, "x") == expected


@pytest.mark.parametrize(
    ("read", "value"),
    [
        (fields.text, 1),
        (fields.text, "\ud800"),
        (fields.text, "a" * (fields.MAX_TEXT_LENGTH + 1)),
        (fields.number, True),
        (fields.number, "1"),
        (fields.number, float("nan")),
        (fields.number, float("inf")),
        (fields.number, -1),
        (fields.whole_number, 1.5),
        (fields.whole_number, 10**400),
        (fields.whole_number, False),
        (fields.flag, 0),
        (fields.child, []),
        (fields.items, {}),
        (fields.items, "ab"),
        (fields.children, [1]),
        (fields.texts, ["a", 1]),
        (fields.address, "10.0.0.1"),
        (fields.address, "10.0.0.1:0"),
        (fields.address, "10.0.0.1:65536"),
        (fields.address, "10.0.0.1:\u0661"),
        (fields.address, "10.0.0.01:80"),
        (fields.address, ":80"),
    ],
)
def test_invalid_field_is_named_in_error(read, value):
    with pytest.raises(fields.FieldError, match="^x: "):
        read({"x": value}, "x")


def test_missing_field_returns_default_or_raises():
    assert fields.text({"x": None}, "x", "usual") == "usual"
    assert fields.whole_number({}, "x", None) is None
    with pytest.raises(fields.FieldError, match="x: missing"):
        fields.text({}, "x")


@pytest.mark.parametrize("read", [fields.items, fields.children, fields.texts])
@pytest.mark.parametrize("default", [None, ()])
def test_missing_list_returns_default(read, default):
    assert read({"x": None}, "x", default) is default
    with pytest.raises(fields.FieldError, match="x: missing"):
        read({}, "x")


def test_one_of_maps_keys_to_values():
    assert fields.one_of({"x": "on"}, "x", {"on": 1}) == 1
    with pytest.raises(fields.FieldError, match="not one of"):
        fields.one_of({"x": "off"}, "x", {"on": 1})


def test_decoder_returns_a_failure_with_the_reason():
    @fields.failure_on_field_error
    def decode(data):
        return fields.text(fields.parse_object(data), "x")

    assert decode(b'{"x": "a"}') == "a"
    for data in (b"", b"[]", b"\xff", b"[" * 100_000, b'{"x": 1}'):
        outcome = decode(data)
        assert is_failure(outcome) and outcome == fields.UNUSABLE
        assert len(outcome.reason) < 200


@pytest.mark.parametrize(("value", "number"), [("0", 0), ("15", 15), ("007", 7)])
def test_digits_spell_a_number(value, number):
    assert fields.parse_digits(value) == number


@pytest.mark.parametrize("value", ["", "-1", "1.5", " 1", "\u00b2", "9" * 5000])
def test_other_text_spells_no_number(value):
    """Guards against header values on which ``int`` raises an exception."""
    assert fields.parse_digits(value) is None
