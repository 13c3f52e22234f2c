"""Validating accessors for fields of untrusted JSON.

A value of the wrong type may cause an exception only long after it was read, in a
task that can't handle it. Each accessor therefore validates a field when it is read,
and returns its value or raises ``FieldError``.
"""

import base64
import functools
import ipaddress
import math
import reprlib

from hawthornspoke.base import Failure

#: Characters of an invalid path in a message.
MAX_PATH_SHOWN = 100

#: In place of bytes that can't be decoded; every decoder of rows rejects it.
UNREADABLE_BYTES = b""

#: Returned for data that fails validation; its reason names the field.
UNUSABLE = Failure(code="unusable")

#: Maximum length of a string in characters. Names, addresses and keys have a few dozen.
#: The limit keeps messages small, as some of the strings are sent to every agent.
MAX_TEXT_LENGTH = 1000

#: Maximum number of digits of a number in a header field.
MAX_DIGITS = 15

#: The largest count that fits an i32 field of the messages between processes.
MAX_COUNT = 2**31 - 1

#: A 64-bit float represents every integer up to this one exactly.
MAX_EXACT_INT = 2**53

MAX_PORT = 65535

#: Default of a field that must be given.
REQUIRED = object()


class FieldError(ValueError):
    """A field is missing or its value is invalid."""


def failure_on_field_error(decode):
    """Decorate a decoder to return ``UNUSABLE`` instead of raising ``FieldError``.

    Parameters
    ----------
    decode : callable
        Takes positional arguments only.

    Returns
    -------
    callable
    """

    @functools.wraps(decode)
    def wrapper(*arguments):
        try:
            return decode(*arguments)
        except FieldError as error:
            return UNUSABLE.with_reason(str(error))

    return wrapper


def as_object(value):
    """Return a JSON value that has to be an object."""
    if not isinstance(value, dict):
        raise FieldError(f"expected an object, got {_abbreviate(value)}")
    return value


def text(obj, name, default=REQUIRED):
    """Return a string of at most ``MAX_TEXT_LENGTH`` characters.

    Parameters
    ----------
    obj : dict
    name : str
    default : object, default=REQUIRED
        For a field that is missing or null.

    Returns
    -------
    str
    """
    value = obj.get(name)
    if value is None:
        return _default_or_raise(name, default)
    if not is_text(value) or len(value) > MAX_TEXT_LENGTH:
        raise _field_error(name, "a string", value)
    return value


def is_text(value):
    """Check whether a value is a string that can be encoded as UTF-8.

    JSON can contain a lone surrogate, which can't be encoded in a message or a
    request.

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


def one_of(obj, name, value_by_key):
    """Look up the string in a field in a mapping, and return the mapped value.

    Parameters
    ----------
    obj : dict
    name : str
    value_by_key : dict of str to object
        Its keys are the accepted strings.

    Returns
    -------
    object
    """
    key = text(obj, name)
    if key not in value_by_key:
        raise FieldError(f"{name}: not one of {list(value_by_key)}: {_abbreviate(key)}")
    return value_by_key[key]


def address(obj, name):
    """Return an ``IP:PORT`` address with a valid IPv4 address and port."""
    value = text(obj, name)
    ip, _, port = value.rpartition(":")
    if not _is_ip(ip) or not _is_port(port):
        raise _field_error(name, "IP:PORT", value)
    return value


def ip(obj, name):
    """Return an IPv4 address to which a connection can be made."""
    value = text(obj, name)
    if not _is_ip(value):
        raise _field_error(name, "an IP", value)
    return value


def port(obj, name):
    """Return a port number."""
    return whole_number(obj, name, low=1, high=MAX_PORT)


def number(obj, name, default=REQUIRED, *, low=0, high=MAX_EXACT_INT):
    """Return a finite number within inclusive bounds.

    Parameters
    ----------
    obj : dict
    name : str
    default : object, default=REQUIRED
        For a field that is missing or null.
    low, high : number
        Inclusive bounds.

    Returns
    -------
    int or float
    """
    value = obj.get(name)
    if value is None:
        return _default_or_raise(name, default)
    if not is_number(value) or not low <= value <= high:
        raise _field_error(name, f"a number from {low} to {high}", value)
    return value


def whole_number(obj, name, default=REQUIRED, *, low=0, high=MAX_COUNT):
    """Return an integer within inclusive bounds; 12.0 is read as 12."""
    value = number(obj, name, default, low=low, high=high)
    if value is default:
        return value
    if value != int(value):
        raise _field_error(name, "a whole number", value)
    return int(value)


def integer_of_text(obj, name):
    """Return an integer that is written as text, with a sign if it is negative."""
    value = text(obj, name)
    size = parse_digits(value.removeprefix("-"))
    if size is None:
        raise _field_error(name, "digits", value)
    return -size if value.startswith("-") else size


def valid_indices(values, *, high):
    """Return the valid indices among untrusted values.

    Parameters
    ----------
    values : list
    high : int
        Number of indices.

    Returns
    -------
    tuple of int
    """
    return tuple(
        int(value)
        for value in values
        if is_number(value) and 0 <= value < high and value == int(value)
    )


def path(obj, name, default=REQUIRED):
    """Return a path that can be requested as it is."""
    value = text(obj, name, default)
    is_path = value is None or (
        value.startswith("/") and value.isascii() and value.isprintable()
    )
    if not is_path or " " in (value or ""):
        raise FieldError(f"{name}: expected a path, got {value[:MAX_PATH_SHOWN]!r}")
    return value


def bytes_of_base64(value):
    """Return the bytes that base64 text encodes, ``UNREADABLE_BYTES`` if it doesn't.

    Parameters
    ----------
    value : object

    Returns
    -------
    bytes
    """
    if not isinstance(value, str):
        return UNREADABLE_BYTES
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        return UNREADABLE_BYTES


def is_number(value):
    """Check whether a value is a finite number; booleans are not numbers."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return isinstance(value, int) or math.isfinite(value)


def flag(obj, name, default=False):
    """Return a boolean, the default if the field is missing or null."""
    value = obj.get(name)
    if value is None:
        return default
    if not isinstance(value, bool):
        raise _field_error(name, "true or false", value)
    return value


def child(obj, name):
    """Return a nested object, empty if it is missing or null."""
    value = obj.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise _field_error(name, "an object", value)
    return value


def items(obj, name, default=REQUIRED):
    """Return a list; its items may be of any type."""
    value = obj.get(name)
    if value is None:
        return _default_or_raise(name, default)
    if not isinstance(value, list):
        raise _field_error(name, "a list", value)
    return value


def children(obj, name, default=REQUIRED):
    """Return a list of objects."""
    values = items(obj, name, default)
    if values is default:
        return values
    for value in values:
        if not isinstance(value, dict):
            raise _field_error(name, "a list of objects", value)
    return values


def texts(obj, name, default=REQUIRED):
    """Return a list of strings, each as accepted by :func:`text`."""
    values = items(obj, name, default)
    if values is default:
        return values
    return [text({name: value}, name) for value in values]


def numbers(obj, name, default=REQUIRED):
    """Return a list of numbers, each as accepted by :func:`number`."""
    values = items(obj, name, default)
    if values is default:
        return values
    return [number({name: value}, name) for value in values]


def _default_or_raise(name, default):
    if default is REQUIRED:
        raise FieldError(f"{name}: missing")
    return default


def parse_digits(value):
    """Return the number that a header value spells, None if it isn't only digits.

    ``str.isdigit`` also accepts characters such as a superscript two, and ``int``
    refuses both these and very long numbers with an exception.

    Parameters
    ----------
    value : str

    Returns
    -------
    int or None
    """
    is_number = value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS
    return int(value) if is_number else None


def _field_error(name, expected, value):
    return FieldError(f"{name}: expected {expected}, got {_abbreviate(value)}")


def _abbreviate(value):
    # A value may have hundreds of KB, too much for an error message.
    return reprlib.repr(value)


def _is_ip(value):
    try:
        ip = ipaddress.IPv4Address(value)
    except ValueError:
        return False
    # Reserved ones include the broadcast address.
    return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)


def _is_port(value):
    port = parse_digits(value)
    return port is not None and 0 < port <= MAX_PORT
