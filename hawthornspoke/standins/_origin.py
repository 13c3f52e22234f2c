"""Stand-in for the origin of weights: counted bytes on one paced link."""

import threading
import time

from hawthornspoke.base import digest_of
from hawthornspoke.config import Manifest
from hawthornspoke.standins._faults import Faults
from hawthornspoke.swarm import Link
from hawthornspoke.web import Response, json_response


class Origin:
    """Weights made up from their name, or put there by a test.

    Parameters
    ----------
    chunk_size : int, default=16384
    rate : float, default=0.0
        Bytes a second over all readers; 0 for no limit.

    Notes
    -----
    Faults: ``origin_down``, ``origin_stall`` (seconds before each chunk),
    ``origin_corrupt`` (that many chunks arrive with a wrong byte),
    ``origin_corrupt_share`` (share of chunks, by count).
    """

    __slots__ = (
        "chunk_size",
        "faults",
        "sent",
        "requests",
        "_link",
        "_data_by_source",
        "_lock",
    )

    def __init__(self, *, chunk_size=16384, rate=0.0):
        self.chunk_size = chunk_size
        self.faults = Faults(
            defaults={
                "origin_down": False,
                "origin_stall": 0,
                "origin_corrupt": 0,
                "origin_corrupt_share": 0.0,
            }
        )
        self.sent = 0
        self.requests = 0
        self._link = Link(rate=rate)
        self._data_by_source = {}
        self._lock = threading.Lock()

    def publish(self, source, data):
        """Put weights under a name, in place of what was there.

        Parameters
        ----------
        source : str
        data : bytes
        """
        with self._lock:
            self._data_by_source[source] = data

    def manifest(self, source):
        """Return the manifest of what a name has now.

        Parameters
        ----------
        source : str

        Returns
        -------
        Manifest or None
        """
        data = self._data_by_source.get(source)
        if data is None:
            return None
        size = self.chunk_size
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        return Manifest(
            chunks=[digest_of(piece) for piece in pieces],
            chunk_size=size,
            size=len(data),
        )

    def handle(self, request):
        """Answer a read of a manifest or of a range of bytes."""
        if self.faults["origin_down"]:
            return Response(status=503)
        source, _, leaf = request.path.lstrip("/").rpartition("/")
        if request.method == "PUT" and leaf == "weights":
            self.publish(source, request.body)
            return json_response({})
        if source not in self._data_by_source:
            return Response(status=404)
        if leaf == "manifest.json":
            return Response(body=self.manifest(source).to_bytes())
        return self._range(source, request)

    def _range(self, source, request):
        span = request.headers.get("range", "bytes=0-").removeprefix("bytes=")
        first, _, last = span.partition("-")
        data = self._data_by_source[source]
        piece = data[int(first) : int(last or len(data) - 1) + 1]
        with self._lock:
            self.requests += 1
            self.sent += len(piece)
            corrupt = self._is_corrupt()
        time.sleep(self._link.reserve(len(piece)) + self.faults["origin_stall"])
        if corrupt:
            piece = bytes([piece[0] ^ 1]) + piece[1:]
        return Response(status=206, body=piece)

    def _is_corrupt(self):
        share = self.faults["origin_corrupt_share"]
        if share and self.requests % round(1 / share) == 0:
            return True
        return self.faults.take("origin_corrupt")
