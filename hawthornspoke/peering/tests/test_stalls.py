"""Requests to peers whose answers arrive while this process is stalled."""

import asyncio
import socket
import threading
import time

import pytest

from hawthornspoke.base import is_failure
from hawthornspoke.peering import connect
from hawthornspoke.peering._connection import LENGTH
from hawthornspoke.protocol import Frame, TableAsk, TableNews, decode, encode

#: Seconds after which the peer answers, of the timeout, and of the stall.
ANSWER_AFTER = 0.1
TIMEOUT = 0.2
STALL = 0.5


class AnsweringPeer:
    """Peer in a thread, which isn't stalled together with the event loop.

    Parameters
    ----------
    answer_after : float or None
        Seconds; None never answers.
    """

    def __init__(self, *, answer_after):
        self._answer_after = answer_after
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        connection, _ = self._socket.accept()
        with connection, connection.makefile("rb") as stream:
            (size,) = LENGTH.unpack(stream.read(LENGTH.size))
            asked = decode(Frame, stream.read(size))
            if self._answer_after is not None:
                time.sleep(self._answer_after)
                body = encode(Frame(call=-asked.call, table_news=TableNews()))
                connection.sendall(LENGTH.pack(len(body)) + body)
            stream.read(1)

    def close(self):
        self._socket.close()


def ask_and_stall(*, answer_after, stall, **options):
    """Return the answer of a peer, and the seconds until it was known."""

    async def run():
        peer = AnsweringPeer(answer_after=answer_after)
        link = await connect(
            "127.0.0.1",
            peer.port,
            on_frame=lambda link, frame: None,
            on_closed=lambda link: None,
            timeout=1.0,
        )
        ask = Frame(table_ask=TableAsk(table="t", after=-1, wait_ms=0))
        began = time.monotonic()
        asking = asyncio.create_task(link.ask(ask, timeout=TIMEOUT, **options))
        # Until the request is sent.
        await asyncio.sleep(0.02)
        time.sleep(stall)
        answer = await asking
        seconds = time.monotonic() - began
        link.close()
        peer.close()
        return answer, seconds

    return asyncio.run(run())


def test_answer_that_arrived_during_a_stall_is_used():
    """Guards against a peer that counts as failed since the asking host stalled."""
    answer, _ = ask_and_stall(answer_after=ANSWER_AFTER, stall=STALL)
    assert not is_failure(answer), answer


def test_answer_that_arrives_just_after_a_stall_is_used():
    """Guards against a peer that counts as failed as it was stalled as well."""
    answer, _ = ask_and_stall(answer_after=STALL + 0.05, stall=STALL)
    assert not is_failure(answer), answer


def test_peer_that_stalled_as_well_gets_its_time_to_answer():
    """Guards against neighbours that all give each other up after a stall."""
    answer, _ = ask_and_stall(answer_after=STALL + 0.35, stall=STALL, catch_up=0.5)
    assert not is_failure(answer), answer


@pytest.mark.parametrize("stall", [0.0, STALL])
def test_missing_answer_ends_the_request_soon(stall):
    """Guards against a request that waits for good after a stall."""
    answer, seconds = ask_and_stall(answer_after=None, stall=stall)
    assert is_failure(answer)
    assert TIMEOUT <= seconds <= max(TIMEOUT, stall) + 0.4
