"""Responses that frame their bodies in a way that can't be read."""

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.store import HttpClient
from hawthornspoke.store.tests.cutting_server import cutting_server

CHUNKS = b"2\r\nhi\r\n0\r\n\r\n"

#: Fields and bodies.
UNREADABLE = {
    "coding and chunks": (b"Transfer-Encoding: gzip, chunked", CHUNKS),
    "coding": (b"Transfer-Encoding: gzip", b"hi"),
    "two fields": (b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", CHUNKS),
    "no number": (b"Content-Length: 10x", b"hi"),
    "negative": (b"Content-Length: -10", b"hi"),
    "no value": (b"Content-Length:", b"hi"),
    "number of Python": (b"Content-Length: 1_0", b"hi"),
    "one of two": (b"Content-Length: 2\r\nContent-Length: x", b"hi"),
}


@pytest.mark.parametrize("name", UNREADABLE)
def test_no_body_of_unreadable_framing_is_whole(name):
    """Guards against a body that counts as whole as nothing says how long it is."""
    fields, body = UNREADABLE[name]
    with cutting_server(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n\r\n" + body) as url:
        assert is_failure(HttpClient(url=url).request("GET", "/x"))


@pytest.mark.parametrize(
    ("fields", "body"),
    [
        (b"Transfer-Encoding: Chunked", CHUNKS),
        (b"Content-Length: 2\r\nContent-Length: 2", b"hi"),
        (b"Content-Length: 2, 2", b"hi"),
    ],
)
def test_body_of_readable_framing_is_whole(fields, body):
    with cutting_server(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n\r\n" + body) as url:
        response = HttpClient(url=url).request("GET", "/x")
        assert (response.status, response.data) == (200, b"hi")
