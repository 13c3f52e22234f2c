"""A small call is not sent when its time is over; no connection outlives a wait.

Symptom: an order and a read of the platform were sent 9 s after they were decided.
Events: a connection is there; the process stands still; on waking the call goes on
before the timer of its limit. Cause: the limit was only a timer.
"""

import asyncio
import time

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.httpio import ConnectionPool, HttpServer, fetch


class StallingPool(ConnectionPool):
    """Runs something once a connection is there."""

    __slots__ = ("action",)

    async def acquire(self, key, address, **options):
        connection = await super().acquire(key, address, **options)
        self.action(connection)
        return connection


async def serve(seen):
    """Start a server that notes what it was asked."""

    async def handle(request, reply):
        seen.append(request.target)
        reply.send(200, [("Keep-Alive", "timeout=10")])

    server = HttpServer(host="127.0.0.1", port=0, handler=handle, on_broken=print)
    await server.start()
    return server


async def call(pool, server, *, timeout):
    """Make a call."""
    address = f"127.0.0.1:{server.bound_port}"
    return await fetch(pool, address, method="GET", target="/x", timeout=timeout)


@pytest.mark.parametrize("still", ["frozen", "suspended"])
def test_call_whose_time_is_over_is_not_sent(monkeypatch, still):
    suspended = [0.0]
    real = time.clock_gettime
    monkeypatch.setattr(time, "clock_gettime", lambda clock: real(clock) + suspended[0])

    def stand_still(connection):
        if still == "frozen":
            time.sleep(0.3)
        else:
            suspended[0] += 9.0

    async def scenario():
        seen = []
        server = await serve(seen)
        pool = StallingPool()
        pool.action = stand_still
        answer = await call(pool, server, timeout=0.2)
        await asyncio.sleep(0.05)
        assert is_failure(answer)
        assert seen == []
        pool.close()
        server.close()

    asyncio.run(scenario())


def test_connection_that_was_lost_meanwhile_is_a_failure():
    """Symptom: an agent's loop ended with an error of a connection that was None."""

    def lose(connection):
        connection.abort()
        connection.connection_lost(None)

    async def scenario():
        seen = []
        server = await serve(seen)
        pool = StallingPool()
        pool.action = lose
        assert is_failure(await call(pool, server, timeout=1.0))
        assert seen == []
        pool.close()
        server.close()

    asyncio.run(scenario())


def test_connection_is_not_used_again_after_a_suspension(monkeypatch):
    """Symptom: a request at most once was answered as one that may have run.

    Events: the host is suspended; endpoints close what is idle; the first request
    after that goes out on such a connection. Cause: idle time was counted on the
    clock that stands still with the host.
    """
    suspended = [0.0]
    real = time.clock_gettime
    monkeypatch.setattr(time, "clock_gettime", lambda clock: real(clock) + suspended[0])

    async def scenario():
        server = await serve([])
        pool = ConnectionPool()
        assert not is_failure(await call(pool, server, timeout=1.0))
        assert not is_failure(await call(pool, server, timeout=1.0))
        assert pool.opened == 1
        suspended[0] += 9.0
        assert not is_failure(await call(pool, server, timeout=1.0))
        assert pool.opened == 2
        pool.close()
        server.close()

    asyncio.run(scenario())
