"""Answers without framing whose connection is reset."""

import asyncio
import socket
import struct
import time

import pytest

from hawthornspoke.httpio import CONNECTION_BROKEN, open_connection

#: Looks at the connection between the reset and the event loop's next read.
LOOKS = {
    "none": lambda connection: None,
    "for unread data": lambda connection: connection.has_unread_data(),
    "for a close": lambda connection: connection.is_socket_closed(),
}


async def _read_reset_answer(look):
    """Return the exchange of half an answer without framing whose peer resets it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        connection = await open_connection(address, timeout=1.0)
        peer, _ = listener.accept()
        exchange = connection.send(
            b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", expected_id=None
        )
        peer.recv(1024)
        peer.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await exchange.read_head()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        # Without the event loop, which would read the reset.
        time.sleep(0.02)
        look(connection)
        await exchange.wait_for_end()
        return exchange


@pytest.mark.parametrize("name", LOOKS)
def test_reset_answer_is_incomplete(name):
    """Guards against a reset that a look at the socket turns into an end."""
    exchange = asyncio.run(_read_reset_answer(LOOKS[name]))
    assert not exchange.complete
    assert exchange.failure == CONNECTION_BROKEN
