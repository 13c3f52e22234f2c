"""Reads fields of JSON that anyone may have written.

A value of another type than it should have passes through Python for a while and
raises far from where it came in, in a task that can't know it. So each field is read
by one of these, which either returns what it says or raises ``FieldError``.
"""

import functools
import ipaddress
import json
import math
import reprlib

from hawthornspoke.base import Failure

#: The outcome for what can't be used, with the reason.
UNUSABLE = Failure(code="unusable")

#: Characters of the longest text: names, addresses and keys are some dozen long, and
#: some of them go on to every agent.
LONGEST_TEXT = 1000

#: The largest count that fits the messages between processes, and the largest number
#: that a 64-bit float holds exactly.
LARGEST_COUNT = 2**31 - 1
LARGEST_VERSION = 2**53

HIGHEST_PORT = 65535

REQUIRED = object()


class FieldError(ValueError):
    """A field is missing, or holds something else than it should."""


def as_value(decode):
    """Make a decoder return ``UNUSABLE`` where a field can't be read.

    Parameters
    ----------
    decode : callable

    Returns
    -------
    callable
    """

    @functools.wraps(decode)
    def checked(*arguments):
        try:
            return decode(*arguments)
        except FieldError as error:
            return UNUSABLE.because(str(error))

    return checked


def object_of(data):
    """Return the JSON object that some bytes hold.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    dict

    Raises
    ------
    FieldError
        If they hold none. Deep nesting counts as unreadable too: the parser raises
        RecursionError for it.
    """
    try:
        tree = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not readable: {type(error).__name__}")
    if not isinstance(tree, dict):
        raise FieldError(f"expected an object, got {_shown(tree)}")
    return tree


def text(tree, name, default=REQUIRED):
    """Return a text that can be sent on.

    Parameters
    ----------
    tree : dict
    name : str
    default : object, default=REQUIRED
        For a field that is missing or null.

    Returns
    -------
    str
    """
    value = tree.get(name)
    if value is None:
        return _default(name, default)
    if not is_text(value) or len(value) > LONGEST_TEXT:
        raise _unexpected(name, "a text", value)
    return value


def is_text(value):
    """Tell whether a value is a text with characters only.

    JSON can hold one half of a surrogate pair; it is no character, and encoding it
    for a message or a request fails.

    Parameters
    ----------
    value : object

    Returns
    -------
    bool
    """
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def one_of(tree, name, value_by_word):
    """Return what one of a few words stands for.

    Parameters
    ----------
    tree : dict
    name : str
    value_by_word : dict of str to object

    Returns
    -------
    object
    """
    word = text(tree, name)
    if word not in value_by_word:
        raise FieldError(f"{name}: not one of {list(value_by_word)}: {_shown(word)}")
    return value_by_word[word]


def address(tree, name):
    """Return an ``IP:PORT`` that can be connected to."""
    value = text(tree, name)
    ip, _, port = value.rpartition(":")
    if not _is_ip(ip) or not _is_port(port):
        raise _unexpected(name, "IP:PORT", value)
    return value


def number(tree, name, default=REQUIRED, *, low=0, high=LARGEST_VERSION):
    """Return a finite number within inclusive bounds.

    Parameters
    ----------
    tree : dict
    name : str
    default : object, default=REQUIRED
        For a field that is missing or null.
    low, high : number

    Returns
    -------
    int or float
    """
    value = tree.get(name)
    if value is None:
        return _default(name, default)
    if not is_number(value) or not low <= value <= high:
        raise _unexpected(name, f"a number from {low} to {high}", value)
    return value


def whole_number(tree, name, default=REQUIRED, *, low=0, high=LARGEST_COUNT):
    """Return a whole number within inclusive bounds; 12.0 is the same as 12."""
    value = number(tree, name, default, low=low, high=high)
    if value is default:
        return value
    if value != int(value):
        raise _unexpected(name, "a whole number", value)
    return int(value)


def is_number(value):
    """Tell whether a value is a finite number; True and False are none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return isinstance(value, int) or math.isfinite(value)


def flag(tree, name, default=False):
    """Return True or False."""
    value = tree.get(name)
    if value is None:
        return default
    if not isinstance(value, bool):
        raise _unexpected(name, "true or false", value)
    return value


def child(tree, name):
    """Return an object within another, empty if it is missing or null."""
    value = tree.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise _unexpected(name, "an object", value)
    return value


def items(tree, name, default=REQUIRED):
    """Return a list, with items of any type."""
    value = tree.get(name)
    if value is None:
        return _default(name, default)
    if not isinstance(value, list):
        raise _unexpected(name, "a list", value)
    return value


def children(tree, name, default=REQUIRED):
    """Return a list of objects."""
    values = items(tree, name, default)
    if values is default:
        return values
    for value in values:
        if not isinstance(value, dict):
            raise _unexpected(name, "a list of objects", value)
    return values


def texts(tree, name, default=REQUIRED):
    """Return a list of texts."""
    values = items(tree, name, default)
    if values is default:
        return values
    return [text({name: value}, name) for value in values]


def _default(name, default):
    if default is REQUIRED:
        raise FieldError(f"{name}: missing")
    return default


def _unexpected(name, expected, value):
    return FieldError(f"{name}: expected {expected}, got {_shown(value)}")


def _shown(value):
    # Cut before it is printed: a row may hold hundreds of KB.
    return reprlib.repr(value)


def _is_ip(value):
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        return False
    return True


def _is_port(value):
    is_digits = value.isascii() and value.isdigit() and len(value) <= 5
    return is_digits and 0 < int(value) <= HIGHEST_PORT
