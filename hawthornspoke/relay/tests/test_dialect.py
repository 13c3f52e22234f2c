"""Every response field that has a name here is read by some code."""

import ast
from pathlib import Path

import pytest

from hawthornspoke.relay import HeaderNames
from hawthornspoke.signals import SIGNALS

RELAY = Path(__file__).parents[1]


def read_fields():
    """Return the attributes of ``header_names`` that the code of the relay uses."""
    names = set()
    for path in RELAY.glob("*.py"):
        if path.name == "_dialect.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and _is_header_names(node.value):
                names.add(node.attr)
    return names


def _is_header_names(node):
    name = getattr(node, "attr", getattr(node, "id", ""))
    return name.lstrip("_") == "header_names"


@pytest.mark.parametrize("name", [*HeaderNames.RESPONSE_FIELDS, "signals"])
def test_response_field_is_read(name):
    """Guards against a field that endpoints send and that nothing here handles."""
    assert name in read_fields()


def test_every_signal_has_a_field_and_every_field_a_signal():
    """Guards against a signal without a decoder, which would never be obeyed."""
    header_names = HeaderNames()
    assert sorted(header_names.signals) == SIGNALS.names()
    fields = list(header_names.response_fields())
    assert len(fields) == len(HeaderNames.RESPONSE_FIELDS) + len(SIGNALS.names())


def test_field_of_an_unknown_signal_is_an_error():
    with pytest.raises(ValueError, match="'mood'"):
        HeaderNames(signals={"mood": "X-Mood"})
