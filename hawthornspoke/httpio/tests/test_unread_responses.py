"""Callers that stop reading a response that was written as a whole."""

import asyncio
import collections
import socket

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.events import EventLog
from hawthornspoke.httpio import HttpServer, ServerLimits
from hawthornspoke.httpio._server_connection import PIECE_BYTES
from hawthornspoke.memory_budget import (
    ANSWER,
    SEND_BUFFER,
    SENT,
    MemoryBudget,
    MemoryGuard,
)
from hawthornspoke.metrics import Metrics
from tests.soak.slow_readers import unsent_bytes

MB = 1_000_000
SIZE = 16 * MB


def make_guard():
    """Return a guard with room for a few responses."""
    budget = MemoryBudget(limit=4 * SIZE)
    return MemoryGuard(budget=budget, log=EventLog(node="n"), metrics=Metrics())


async def send_at_once(request, reply):
    """Send a large response as a whole."""
    reply.send(200, body=b"x" * SIZE)


async def send_in_parts(request, reply):
    """Send a large response as its caller reads it."""
    parts = [b"x" * 20_000 for _ in range(SIZE // 20_000)]
    await reply.send_parts(200, (), collections.deque(parts))


both_ways = pytest.mark.parametrize("handle", [send_at_once, send_in_parts])


async def start_server(*, handle=send_at_once, memory=None):
    """Return a server that sends a large response, with a short idle time."""
    server = HttpServer(
        host="127.0.0.1",
        port=0,
        handler=handle,
        on_handler_error=print,
        limits=ServerLimits(idle_time=0.3),
        memory=memory,
    )
    await server.start()
    return server


async def send_request(server):
    """Return the socket of a caller with a small receive buffer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(("127.0.0.1", server.bound_port))
    caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.setblocking(False)
    async with asyncio.timeout(2.0):
        while not any(item.write_buffer_size() for item in server.connections):
            await asyncio.sleep(0.01)
    return caller


@both_ways
def test_connection_ends_if_its_response_is_not_read(handle):
    """Guards against responses that are held for as long as their callers don't read.

    Closing the transport isn't enough, since it waits until all has been sent.
    """

    async def scenario():
        server = await start_server(handle=handle)
        caller = await send_request(server)
        async with asyncio.timeout(5.0):
            while server.connections:
                await asyncio.sleep(0.05)
        caller.close()
        server.close()

    asyncio.run(scenario())


def test_answer_that_is_not_read_is_held_and_counted_once():
    """Guards against answers that stand uncounted in the buffer of a transport."""

    async def scenario():
        guard = make_guard()
        server = await start_server(handle=send_in_parts, memory=guard)
        caller = await send_request(server)
        (connection,) = server.connections
        (holder,) = guard.budget.holders
        assert connection.write_buffer_size() < 4 * PIECE_BYTES
        unwritten = holder.bytes_by_use[ANSWER]
        assert SIZE - MB < unwritten < SIZE
        assert holder.held < SIZE + 2 * SEND_BUFFER
        connection.cut()
        await asyncio.sleep(0.05)
        assert guard.budget.held == 0
        assert server.running_count() == 0
        caller.close()
        server.close()

    asyncio.run(scenario())


def test_part_that_was_written_is_not_kept():
    """Guards against parts that callers cost beyond what is counted for them."""
    written = [bytearray(PIECE_BYTES) for _ in range(SIZE // PIECE_BYTES)]

    async def handle(request, reply):
        await reply.send_parts(200, (), collections.deque(written))

    def is_kept(part):
        try:
            part.append(0)
        except BufferError:
            return True
        return False

    async def scenario():
        guard = make_guard()
        server = await start_server(handle=handle, memory=guard)
        caller = await send_request(server)
        (holder,) = guard.budget.holders
        unwritten = -(-holder.bytes_by_use[ANSWER] // PIECE_BYTES)
        assert sum(map(is_kept, written[:-unwritten])) == 0
        caller.close()
        server.close()

    asyncio.run(scenario())


def test_requests_on_one_connection_get_their_answers_one_after_the_other():
    """Guards against an answer that begins before the one before it has ended."""

    async def scenario():
        server = await start_server(handle=send_in_parts, memory=make_guard())
        address = ("127.0.0.1", server.bound_port)
        reader, writer = await asyncio.open_connection(*address, limit=SIZE)
        for _ in range(2):
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.05)
        for _ in range(2):
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Content-Length: %d\r\n" % SIZE in head
            assert await reader.readexactly(SIZE) == b"x" * SIZE
        writer.close()
        server.close()

    asyncio.run(scenario())


def test_bytes_that_the_system_holds_for_a_caller_are_few_and_counted():
    """Guards against send buffers of megabytes that no count has, also after a cut."""

    async def scenario():
        guard = make_guard()
        server = await start_server(memory=guard)
        caller = await send_request(server)
        (connection,) = server.connections
        (holder,) = guard.budget.holders
        address = ("127.0.0.1", server.bound_port)
        unsent = None
        async with asyncio.timeout(5.0):
            # The caller's side of the system may still be receiving.
            while unsent != unsent_bytes(*address):
                unsent = unsent_bytes(*address)
                await asyncio.sleep(0.05)
                guard.check(now=monotonic())
        assert 0 < unsent <= 2 * SEND_BUFFER
        assert holder.bytes_by_use[SENT] == unsent
        connection.cut()
        await asyncio.sleep(0.05)
        assert guard.budget.held == 0
        assert unsent_bytes("127.0.0.1", server.bound_port) == 0
        caller.close()
        server.close()

    asyncio.run(scenario())


@both_ways
def test_response_that_is_read_slowly_is_sent_to_its_end(handle):
    async def scenario():
        server = await start_server(handle=handle)
        caller = await send_request(server)
        loop = asyncio.get_running_loop()
        received = 0
        started_at = loop.time()
        while part := await loop.sock_recv(caller, 65536):
            received += len(part)
            behind = received / SIZE * 2.5 - (loop.time() - started_at)
            if behind > 0:
                await asyncio.sleep(behind)
        assert received > SIZE
        caller.close()
        server.close()

    asyncio.run(scenario())
