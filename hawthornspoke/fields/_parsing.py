"""Parsing of untrusted JSON, of which single entries may be unusable."""

import json
import math
import re

from hawthornspoke.fields._fields import FieldError, as_object, items

#: Maximum depth to which an entry of a list may be nested, and number of digits of an
#: integer. The parser refuses a whole document with more.
MAX_DEPTH = 64
MAX_INT_DIGITS = 400

#: Brackets of JSON, and strings, which may contain some; the last one may have no end.
_STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"?|[\[\]{}]', re.DOTALL)


def parse_object(data):
    """Parse a JSON object.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    dict

    Raises
    ------
    FieldError
        If the data isn't a JSON object or is nested too deeply, for which the parser
        raises RecursionError.
    """
    return as_object(parse_json(data))


def parse_json(data):
    """Parse JSON of any type.

    Parameters
    ----------
    data : bytes or str

    Returns
    -------
    object

    Raises
    ------
    FieldError
        See ``parse_object``.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"invalid JSON: {type(error).__name__}")


def parse_entries(data, name):
    """Parse a JSON object with a list, of which single entries may be unusable.

    What no parser accepts is replaced, so that an entry that contains it is invalid and
    all others can be read: values nested deeper than ``MAX_DEPTH`` by null, numbers
    with too many digits by infinity, and bytes that aren't UTF-8 by lone surrogates.

    Parameters
    ----------
    data : bytes
    name : str
        Field of the list.

    Returns
    -------
    list

    Raises
    ------
    FieldError
        If the data isn't a JSON object with this list.
    """
    text = _without_deep_values(data).decode("utf-8", "surrogateescape")
    try:
        tree = json.loads(text, parse_int=_parse_int)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"invalid JSON: {type(error).__name__}")
    return items(as_object(tree), name)


def decode_each(values, decode, *, on_invalid):
    """Decode the entries of a list, without those that are invalid.

    Parameters
    ----------
    values : list
        Of any type.
    decode : callable
        Decodes one entry; raises ``FieldError`` if it is invalid.
    on_invalid : callable
        Called with a description of each invalid entry.

    Returns
    -------
    list
    """
    decoded = []
    for value in values:
        try:
            decoded.append(decode(value))
        except FieldError as error:
            on_invalid(str(error))
    return decoded


def _parse_int(digits):
    return int(digits) if len(digits) <= MAX_INT_DIGITS else math.inf


def _without_deep_values(data):
    """Return JSON with null in place of values that are nested too deeply."""
    kept, depth, position = [], 0, 0
    for token in _STRUCTURE.finditer(data):
        mark = token[0]
        if mark in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += (data[position : token.start()], b"null")
        elif mark in (b"]", b"}"):
            if depth == MAX_DEPTH + 1:
                position = token.end()
            depth -= 1
    return b"".join((*kept, data[position:]))
