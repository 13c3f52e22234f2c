"""Reuse of pooled connections to an endpoint that restarts."""

import asyncio

from hawthornspoke.httpio import ConnectionPool


async def _serve():
    async def accept(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


def run_scenario(scenario):
    """Run a scenario with a pool and a server that only accepts connections."""

    async def run():
        server, address = await _serve()
        pool = ConnectionPool()
        try:
            await scenario(pool, address)
        finally:
            pool.close()
            server.close()

    asyncio.run(run())


def test_connection_to_earlier_incarnation_is_closed():
    """Guards against an unknown outcome of the first requests after a restart.

    The endpoint's host loses power, so its idle connections are never closed, and the
    endpoint restarts with the same id. The pool was keyed by id alone and reused the
    connections.
    """

    async def scenario(pool, address):
        first = await pool.acquire("one", address, incarnation=1)
        second = await pool.acquire("one", address, incarnation=1)
        pool.return_connection("one", first, incarnation=1)
        pool.return_connection("one", second, incarnation=1)
        fresh = await pool.acquire("one", address, incarnation=2)
        assert fresh not in (first, second)
        assert first.transport is None or first.transport.is_closing()
        assert second.transport is None or second.transport.is_closing()

    run_scenario(scenario)


def test_connection_returned_after_restart_is_not_reused():
    """Guards against the same for a connection that is in use during the restart."""

    async def scenario(pool, address):
        late = await pool.acquire("one", address, incarnation=1)
        fresh = await pool.acquire("one", address, incarnation=2)
        pool.return_connection("one", fresh, incarnation=2)
        pool.return_connection("one", late, incarnation=1)
        assert await pool.acquire("one", address, incarnation=2) is not late

    run_scenario(scenario)


def test_connection_to_same_incarnation_is_reused():
    async def scenario(pool, address):
        first = await pool.acquire("one", address, incarnation=1)
        pool.return_connection("one", first, incarnation=1)
        assert await pool.acquire("one", address, incarnation=1) is first
        assert pool.opened == 1

    run_scenario(scenario)
