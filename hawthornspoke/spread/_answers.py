"""Answers to peers that ask for pieces, or for what is here."""

import struct

from hawthornspoke.protocol import Chunk, Frame, Holdings


class PeerResponder:
    """Answers peers through the queue of pieces.

    Parameters
    ----------
    weights_by_name : dict of str to Weights
    uploads : Uploads
    """

    __slots__ = ("_weights_by_name", "_uploads")

    def __init__(self, *, weights_by_name, uploads):
        self._weights_by_name = weights_by_name
        self._uploads = uploads

    def piece(self, link, frame):
        """Send a piece, or why there is none."""
        weights = self._weights_by_name.get(frame.chunk_ask.digest)
        data = weights.get(frame.chunk_ask.index) if weights is not None else None
        if data is None:
            chunk = Chunk(reason="missing")
        elif self._uploads.is_full:
            chunk = Chunk(reason="busy")
        else:
            chunk = Chunk(data=data)
        self._uploads.put(link, Frame(call=-frame.call, chunk=chunk))

    def holdings(self, link, frame):
        """Tell which pieces of some weights are here."""
        weights = self._weights_by_name.get(frame.holdings_ask.digest)
        held = weights.held() if weights is not None else ()
        holdings = Holdings(bitmap=pack_indices(held), held=len(held))
        # Behind the pieces: on this connection a piece may be half sent.
        self._uploads.put(link, Frame(call=-frame.call, holdings=holdings))


def pack_indices(indices):
    """Return piece numbers as bytes, two each."""
    return struct.pack(f">{len(indices)}H", *indices)


def unpack_indices(data):
    """Return piece numbers; bytes that are none give an empty tuple."""
    if not data or len(data) % 2:
        return ()
    return struct.unpack(f">{len(data) // 2}H", data)
