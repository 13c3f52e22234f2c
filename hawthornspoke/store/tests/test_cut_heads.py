"""Servers of the platform that close inside the head of a response."""

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.store import HttpClient, ObjectClient, OriginClient
from hawthornspoke.store.tests.cutting_server import HEADS, cuts_of, cutting_server


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("name", HEADS)
def test_no_cut_head_is_a_response(name, resets):
    """Guards against rows, pieces and manifests that look whole and are empty."""
    for cut in cuts_of(HEADS[name]):
        with cutting_server(cut, resets=resets) as url:
            http = HttpClient(url=url)
            assert is_failure(http.request("GET", "/x")), cut
            assert is_failure(ObjectClient(http=http).get("key")), cut
            assert is_failure(OriginClient(http=http).manifest("source")), cut


@pytest.mark.parametrize("name", ["length", "chunks", "neither", "interim"])
def test_whole_head_is_a_response(name):
    body = {"length": b"hi", "chunks": b"2\r\nhi\r\n0\r\n\r\n"}.get(name, b"hi")
    with cutting_server(HEADS[name] + body) as url:
        response = HttpClient(url=url).request("GET", "/x")
        assert (response.status, response.data) == (200, b"hi")
