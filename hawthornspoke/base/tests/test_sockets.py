"""A look at a connection that nobody has read from since the other side closed."""

import asyncio
import errno
import select
import socket
import struct
import time

import pytest

from hawthornspoke.base import has_hung_up


@pytest.fixture
def pair():
    """Return both ends of a connection, a close of which arrives soon."""
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    yield near, far
    for item in (near, far, listener):
        item.close()


def arrives():
    """Give what was sent on loopback time to arrive."""
    time.sleep(0.02)


def test_open_connection(pair):
    near, _ = pair
    assert not has_hung_up(near)


def test_closed_connection(pair):
    near, far = pair
    far.close()
    arrives()
    assert has_hung_up(near)


def test_reset_connection(pair):
    near, far = pair
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()
    arrives()
    assert has_hung_up(near)


def test_connection_that_was_closed_here(pair):
    near, _ = pair
    near.close()
    assert has_hung_up(near)


def test_bytes_that_wait_stay_there(pair):
    near, far = pair
    far.sendall(b"hi")
    arrives()
    assert not has_hung_up(near)
    assert near.recv(10) == b"hi"


def test_socket_with_a_timeout_is_not_waited_for(pair):
    near, _ = pair
    near.settimeout(5.0)
    before = time.monotonic()
    assert not has_hung_up(near)
    assert time.monotonic() < before + 1.0


def test_what_an_event_loop_shows_of_a_socket(pair):
    """Its close is seen before the loop has read it, and it stays open here."""
    near, far = pair

    async def scenario():
        transport, _ = await asyncio.get_running_loop().create_connection(
            asyncio.Protocol, sock=near
        )
        shown = transport.get_extra_info("socket")
        assert not has_hung_up(shown)
        far.close()
        arrives()
        assert has_hung_up(shown)
        assert not transport.is_closing()
        transport.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("number", [errno.ENOSYS, errno.EPERM, errno.EINVAL])
def test_system_without_such_a_look(pair, monkeypatch, number):
    """Symptom: a host refuses all callers as gone. It only can't tell."""

    class NoPoll:
        def register(self, connection, events):
            raise OSError(number, "no such call")

    monkeypatch.setattr(select, "poll", NoPoll)
    near, _ = pair
    assert not has_hung_up(near)
