"""Detection of a close by the peer before the event loop has read it."""

import asyncio
import errno
import select
import socket
import struct
import time

import pytest

from hawthornspoke.base import is_closed_by_peer


@pytest.fixture
def pair():
    """Yield both ends of a loopback connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    local = socket.create_connection(listener.getsockname())
    peer, _ = listener.accept()
    yield local, peer
    for item in (local, peer, listener):
        item.close()


def wait_for_delivery():
    """Wait until data sent on loopback has arrived."""
    time.sleep(0.02)


def test_open_connection(pair):
    local, _ = pair
    assert not is_closed_by_peer(local)


def test_closed_connection(pair):
    local, peer = pair
    peer.close()
    wait_for_delivery()
    assert is_closed_by_peer(local)


def test_reset_connection(pair):
    local, peer = pair
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    wait_for_delivery()
    assert is_closed_by_peer(local)


def test_connection_closed_locally(pair):
    local, _ = pair
    local.close()
    assert is_closed_by_peer(local)


def test_unread_data_is_not_consumed(pair):
    local, peer = pair
    peer.sendall(b"hi")
    wait_for_delivery()
    assert not is_closed_by_peer(local)
    assert local.recv(10) == b"hi"


def test_does_not_block_on_a_socket_with_a_timeout(pair):
    local, _ = pair
    local.settimeout(5.0)
    before = time.monotonic()
    assert not is_closed_by_peer(local)
    assert time.monotonic() < before + 1.0


def test_socket_of_an_event_loop_transport(pair):
    """A close is detected before the loop reads it; the transport stays open."""
    local, peer = pair

    async def scenario():
        transport, _ = await asyncio.get_running_loop().create_connection(
            asyncio.Protocol, sock=local
        )
        transport_socket = transport.get_extra_info("socket")
        assert not is_closed_by_peer(transport_socket)
        peer.close()
        wait_for_delivery()
        assert is_closed_by_peer(transport_socket)
        assert not transport.is_closing()
        transport.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("number", [errno.ENOSYS, errno.EPERM, errno.EINVAL])
def test_system_that_does_not_support_the_check(pair, monkeypatch, number):
    """An unsupported call must not make a host refuse all callers as disconnected."""

    class NoPoll:
        def register(self, connection, events):
            raise OSError(number, "no such call")

    monkeypatch.setattr(select, "poll", NoPoll)
    local, _ = pair
    assert not is_closed_by_peer(local)


def test_closed_connection_with_unread_data(pair):
    """Guards against a caller that has left after the start of a second request."""
    local, peer = pair
    peer.sendall(b"hi")
    peer.close()
    wait_for_delivery()
    assert is_closed_by_peer(local)
    assert local.recv(10) == b"hi"


def test_error_of_a_reset_is_left_to_the_next_read(pair):
    """Guards against a reset that a later read takes for a regular close."""
    local, peer = pair
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    wait_for_delivery()
    assert is_closed_by_peer(local)
    with pytest.raises(ConnectionResetError):
        local.recv(10)
