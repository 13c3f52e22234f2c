"""Pieces that are sent to peers, some of which take them slowly."""

import asyncio

from hawthornspoke.protocol import Chunk, Frame
from hawthornspoke.spread._uploads import MOST_UNSENT, PIECE_TIMEOUT, Uploads

PIECE = Frame(call=1, chunk=Chunk(data=bytes(16384)))


class Peer:
    """A connection that takes all, or nothing."""

    def __init__(self, *, takes):
        self.takes = takes
        self.is_open = True
        self.written = 0
        self.whole = 0

    def encode(self, frame):
        return frame.chunk.data

    def unsent(self):
        return 0 if self.takes or not self.written else MOST_UNSENT + 1

    def write_part(self, data, *, is_last):
        self.written += len(data)
        self.whole += is_last

    def close(self):
        self.is_open = False


def test_peer_that_takes_nothing_holds_up_no_other():
    """Half of a fleet's links stood idle while a version spread.

    Symptom: hosts get 9 pieces a second each where links carry 16, and the version is
    whole after 10 s in place of 6.
    Events: four hosts are behind links that have become narrow; each asks several
    others for pieces; these wait with a slice for up to two seconds.
    Cause: one piece was sent after the other, whoever took none of it.
    """

    async def scenario():
        slow, sound = Peer(takes=False), Peer(takes=True)
        uploads = Uploads(link_rate=1e9, is_serving=lambda: False)
        uploads.put(slow, PIECE)
        for _ in range(3):
            uploads.put(sound, PIECE)
        await asyncio.sleep(0.2)
        assert (slow.whole, sound.whole) == (0, 3)
        slow.takes = True
        await asyncio.sleep(0.2)
        assert slow.whole == 1
        uploads.close()

    asyncio.run(scenario())


def test_frames_on_one_connection_are_sent_whole_and_in_order():
    async def scenario():
        parts = []
        peer = Peer(takes=True)
        peer.write_part = lambda data, is_last: parts.append((bytes(data)[:1], is_last))
        uploads = Uploads(link_rate=1e9, is_serving=lambda: False)
        for byte in (b"a", b"b"):
            uploads.put(peer, Frame(call=1, chunk=Chunk(data=byte * 10000)))
        await asyncio.sleep(0.2)
        assert parts == [
            (b"a", False),
            (b"a", False),
            (b"a", True),
            (b"b", False),
            (b"b", False),
            (b"b", True),
        ]

    asyncio.run(scenario())


def test_peer_that_stays_stuck_is_closed():
    async def scenario():
        stuck = Peer(takes=False)
        uploads = Uploads(link_rate=1e9, is_serving=lambda: False)
        uploads.put(stuck, PIECE)
        await asyncio.sleep(PIECE_TIMEOUT + 0.5)
        assert not stuck.is_open
        uploads.close()

    asyncio.run(scenario())
