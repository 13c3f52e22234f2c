"""Connections kept for an endpoint, and what becomes of them when it restarts."""

import asyncio

from hawthornspoke.httpio import ConnectionPool


async def _serve():
    async def keep(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(keep, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


def play(scenario):
    """Run a scenario with a pool and a server that only accepts."""

    async def run():
        server, address = await _serve()
        pool = ConnectionPool()
        try:
            await scenario(pool, address)
        finally:
            pool.close()
            server.close()

    asyncio.run(run())


def test_connection_to_the_earlier_start_is_closed():
    """The first requests to an endpoint that was back failed, outcome unknown.

    Events: a connection is idle; the endpoint's host loses power, so that nobody
    closes it; the endpoint starts again under its id. Cause: connections were kept
    by id, and a request sent on this one may have run for all that is known.
    """

    async def scenario(pool, address):
        first = await pool.acquire("one", address, start=1)
        second = await pool.acquire("one", address, start=1)
        pool.put_back("one", first, start=1)
        pool.put_back("one", second, start=1)
        fresh = await pool.acquire("one", address, start=2)
        assert fresh not in (first, second)
        assert first.transport is None or first.transport.is_closing()
        assert second.transport is None or second.transport.is_closing()

    play(scenario)


def test_connection_that_comes_back_after_the_restart_is_not_used():
    """The same, and the connection was in use while the endpoint restarted."""

    async def scenario(pool, address):
        late = await pool.acquire("one", address, start=1)
        fresh = await pool.acquire("one", address, start=2)
        pool.put_back("one", fresh, start=2)
        pool.put_back("one", late, start=1)
        assert await pool.acquire("one", address, start=2) is not late

    play(scenario)


def test_connection_to_the_same_start_is_used_again():
    async def scenario(pool, address):
        first = await pool.acquire("one", address, start=1)
        pool.put_back("one", first, start=1)
        assert await pool.acquire("one", address, start=1) is first
        assert pool.opened == 1

    play(scenario)
