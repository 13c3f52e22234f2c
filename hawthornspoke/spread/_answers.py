"""Responses to peers that request pieces or the list of held pieces."""

import struct

from hawthornspoke.protocol import Chunk, Frame, Holdings


class PeerResponder:
    """Responds to requests of peers through the upload queue.

    Parameters
    ----------
    weights_by_name : dict of str to Weights
    uploads : UploadQueue or ReceiverUploads
    """

    __slots__ = ("_weights_by_name", "_uploads")

    def __init__(self, *, weights_by_name, uploads):
        self._weights_by_name = weights_by_name
        self._uploads = uploads

    def piece(self, link, frame):
        """Queue a piece for a peer, or the reason why it can't be sent."""
        weights = self._weights_by_name.get(frame.chunk_ask.digest)
        data = weights.get(frame.chunk_ask.index) if weights is not None else None
        if data is None:
            chunk = Chunk(reason="missing")
        elif self._uploads.is_full_for(link):
            chunk = Chunk(reason="busy")
        else:
            chunk = Chunk(data=data)
        answer = Frame(call=-frame.call, chunk=chunk)
        self._uploads.put(link, answer, rate=frame.chunk_ask.rate)

    def holdings(self, link, frame):
        """Queue the list of the held pieces of a version for a peer."""
        weights = self._weights_by_name.get(frame.holdings_ask.digest)
        held = weights.held() if weights is not None else ()
        holdings = Holdings(bitmap=pack_indices(held), held=len(held))
        # Queued because a piece may be partly written on this connection, and its
        # frame must be finished first.
        self._uploads.put(link, Frame(call=-frame.call, holdings=holdings))


def pack_indices(indices):
    """Encode piece indices as big-endian 16-bit integers."""
    return struct.pack(f">{len(indices)}H", *indices)


def unpack_indices(data):
    """Decode piece indices; return an empty tuple for malformed data."""
    if not data or len(data) % 2:
        return ()
    return struct.unpack(f">{len(data) // 2}H", data)
