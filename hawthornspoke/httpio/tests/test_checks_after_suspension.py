"""Calls and pooled connections after the process was frozen or the host suspended.

Guards against a call that is sent after its deadline: requests to the platform were
sent 9 s late. The process froze after a connection was acquired; when it resumed, the
call continued before its timeout fired, and nothing else checked the deadline.
"""

import asyncio
import time

import pytest

from hawthornspoke.base import StallDetector, Ticks, boottime_clock, is_failure
from hawthornspoke.httpio import ConnectionPool, HttpServer, fetch
from hawthornspoke.httpio._client import IDLE_TIMEOUT_FRACTION


class HookedPool(ConnectionPool):
    """Pool that runs an action after acquiring a connection."""

    __slots__ = ("action",)

    async def acquire(self, key, address, **options):
        connection = await super().acquire(key, address, **options)
        self.action(connection)
        return connection


async def serve(received_targets):
    """Start a server that records the request targets."""

    async def handle(request, reply):
        received_targets.append(request.target)
        reply.send(200, [("Keep-Alive", "timeout=10")])

    server = HttpServer(
        host="127.0.0.1", port=0, handler=handle, on_handler_error=print
    )
    await server.start()
    return server


async def call(pool, server, *, timeout):
    """Send a request to the server."""
    address = f"127.0.0.1:{server.bound_port}"
    return await fetch(pool, address, method="GET", target="/x", timeout=timeout)


@pytest.mark.parametrize("interruption", ["frozen", "suspended"])
def test_call_is_not_sent_after_its_deadline(monkeypatch, interruption):
    suspended_time = [0.0]
    real = time.clock_gettime
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: real(clock) + suspended_time[0]
    )

    def interrupt(connection):
        if interruption == "frozen":
            time.sleep(0.3)
        else:
            suspended_time[0] += 9.0

    async def scenario():
        received_targets = []
        server = await serve(received_targets)
        pool = HookedPool()
        pool.action = interrupt
        answer = await call(pool, server, timeout=0.2)
        await asyncio.sleep(0.05)
        assert is_failure(answer)
        assert received_targets == []
        pool.close()
        server.close()

    asyncio.run(scenario())


def test_lost_connection_is_a_failure():
    """Guards against an exception in ``fetch`` when the transport is already None."""

    def close_connection(connection):
        connection.abort()
        connection.connection_lost(None)

    async def scenario():
        received_targets = []
        server = await serve(received_targets)
        pool = HookedPool()
        pool.action = close_connection
        assert is_failure(await call(pool, server, timeout=1.0))
        assert received_targets == []
        pool.close()
        server.close()

    asyncio.run(scenario())


def test_connection_is_not_reused_after_suspension(monkeypatch):
    """Guards against an unknown outcome of the first request after a suspension.

    While the host is suspended, endpoints close idle connections. The idle time was
    measured on a clock that excludes suspensions, so a closed connection was reused.
    """
    suspended_time = [0.0]
    real = time.clock_gettime
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: real(clock) + suspended_time[0]
    )

    async def scenario():
        server = await serve([])
        pool = ConnectionPool()
        assert not is_failure(await call(pool, server, timeout=1.0))
        assert not is_failure(await call(pool, server, timeout=1.0))
        assert pool.opened == 1
        suspended_time[0] += 9.0
        assert not is_failure(await call(pool, server, timeout=1.0))
        assert pool.opened == 2
        pool.close()
        server.close()

    asyncio.run(scenario())


def test_idle_time_counts_from_the_arrival_of_a_response_read_after_a_stall():
    """Guards against a request sent while the endpoint closes its idle connection."""

    async def scenario():
        server = await serve([])
        detector = StallDetector(on_resume=lambda seconds: None)
        pool = HookedPool()
        pool.action = lambda connection: None
        pool.earliest_arrival = detector.earliest_arrival
        heartbeats = asyncio.create_task(detector.run(Ticks()))
        answer = await call(pool, server, timeout=2.0)
        assert not is_failure(answer)
        pending = asyncio.create_task(call(pool, server, timeout=3.0))
        await asyncio.sleep(0)
        stalled_at = boottime_clock()
        time.sleep(0.8)
        assert not is_failure(await pending)
        connection = await pool.acquire(*[f"127.0.0.1:{server.bound_port}"] * 2)
        assert connection.idle_deadline <= stalled_at + 10 * IDLE_TIMEOUT_FRACTION
        heartbeats.cancel()
        connection.abort()
        pool.close()
        server.close()

    asyncio.run(scenario())
