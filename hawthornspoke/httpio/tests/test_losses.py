"""Which ends of connections count as lost, as nothing was due to end them."""

import asyncio
import socket

import pytest

from hawthornspoke.base import discard_unsent_bytes, monotonic
from hawthornspoke.httpio import ConnectionEnds, ConnectionPool

HEAD = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"

#: What an endpoint sends before it closes, whether it resets in place of closing, and
#: whether the connection was lost.
CASES = {
    "idle": (WHOLE, False, True),
    "idle, reset": (WHOLE, True, True),
    "before an answer": (b"", False, True),
    "before an answer, reset": (b"", True, False),
    "in an answer with a length": (HEAD + b"Content-Length: 9\r\n\r\nok", False, True),
    "in an answer in chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok",
        False,
        True,
    ),
    "in an answer, reset": (HEAD + b"Content-Length: 9\r\n\r\nok", True, False),
    "after an announced close": (
        WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        False,
        False,
    ),
    "at the end of an answer without framing": (HEAD + b"\r\nok", False, False),
}


async def _losses_after(data, *, resets=False, closes=True):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await asyncio.sleep(0.05)
        if resets:
            discard_unsent_bytes(writer.get_extra_info("socket"))
        if closes:
            writer.close()
        await closing.wait()

    closing = asyncio.Event()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    pool = ConnectionPool()
    connection = await pool.acquire("e", address)
    exchange = connection.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", expected_id=None)
    if await exchange.wait_for_end() is None:
        pool.return_connection("e", connection)
    await asyncio.sleep(0.1)
    while closes and connection.is_open:
        await asyncio.sleep(0.01)
    counts = pool.losses.count_by_address(since=monotonic() - 1.0)
    pool.close()
    closing.set()
    server.close()
    return counts.total()


@pytest.mark.parametrize("is_reset", [False, True])
def test_end_of_a_connection_before_its_first_request(is_reset):
    """Guards against resets beyond an endpoint's limit that count as lost."""

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool = ConnectionPool()
            connection = await pool.open(f"127.0.0.1:{listener.getsockname()[1]}")
            peer, _ = listener.accept()
            if is_reset:
                discard_unsent_bytes(peer)
            peer.close()
            await asyncio.sleep(0.05)
            assert not connection.is_open
            counts = pool.losses.count_by_address(since=monotonic() - 1.0)
            assert counts.total() == (0 if is_reset else 1)

    asyncio.run(scenario())


@pytest.mark.parametrize("name", CASES)
def test_end_by_the_peer(name):
    """Guards against ends of connections that look due, or lost, and aren't."""
    data, resets, is_lost = CASES[name]
    assert asyncio.run(_losses_after(data, resets=resets)) == is_lost


def test_own_close_is_no_loss():
    """Guards against connections that this side closes and that count as lost."""
    assert asyncio.run(_losses_after(WHOLE, closes=False)) == 0


def test_connection_that_is_given_up_while_it_opens_is_no_loss():
    """Guards against callers who leave early and make sound answers look cut."""

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool = ConnectionPool()
            for steps in range(12):
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                opening = asyncio.create_task(pool.open(address))
                for _ in range(steps):
                    await asyncio.sleep(0)
                opening.cancel()
                await asyncio.gather(opening, return_exceptions=True)
            await asyncio.sleep(0.05)
            assert not pool.losses.count_by_address(since=monotonic() - 1.0)

    asyncio.run(scenario())


def test_losses_are_counted_by_address_within_the_time():
    losses = ConnectionEnds()
    for address, at in (("h1:1", 0.0), ("h1:1", 9.0), ("h2:1", 9.5)):
        losses.record(address, now=at)
    assert losses.count_by_address(since=9.0) == {"h1:1": 1, "h2:1": 1}
