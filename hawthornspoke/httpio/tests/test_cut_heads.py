"""Servers that close inside the head of a response."""

import asyncio

import pytest

from hawthornspoke.base import Failure
from hawthornspoke.httpio import ConnectionPool, fetch
from hawthornspoke.store.tests.cutting_server import HEADS, cuts_of, cutting_server


def fetch_from(url, *, hedge_after):
    async def run():
        pool = ConnectionPool(id_header="X-Request-Id")
        try:
            return await fetch(
                pool,
                url.removeprefix("http://"),
                method="GET",
                target="/x",
                timeout=3.0,
                hedge_after=hedge_after,
            )
        finally:
            pool.close()

    return asyncio.run(run())


@pytest.mark.parametrize("hedge_after", [None, 0.0], ids=["once", "hedged"])
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("name", HEADS)
def test_no_cut_head_is_a_response(name, resets, hedge_after):
    """Guards against rows, pieces and orders that look answered and are not."""
    for cut in cuts_of(HEADS[name]):
        with cutting_server(cut, resets=resets) as url:
            result = fetch_from(url, hedge_after=hedge_after)
            assert isinstance(result, Failure), cut
