"""Simulated weight origin with a rate-limited link and transfer counters."""

import threading
import time

from hawthornspoke.base import digest_of
from hawthornspoke.config import Manifest
from hawthornspoke.standins._faults import Faults
from hawthornspoke.swarm import LinkRateLimiter
from hawthornspoke.web import Response, json_response


class Origin:
    """Serves weights that tests publish by source name.

    Parameters
    ----------
    chunk_size : int, default=16384
    rate : float, default=0.0
        Total bandwidth in bytes per second, shared by all readers; 0 for no limit.

    Notes
    -----
    Faults: ``origin_down`` (503 for all requests), ``origin_stall`` (delay of
    each chunk in seconds), ``origin_corrupt`` (number of chunks to send with a
    corrupted byte), ``origin_corrupt_share`` (fraction of chunks to corrupt, at
    regular intervals).
    """

    __slots__ = (
        "chunk_size",
        "faults",
        "bytes_sent",
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
        self.bytes_sent = 0
        self.requests = 0
        self._link = LinkRateLimiter(rate=rate)
        self._data_by_source = {}
        self._lock = threading.Lock()

    def publish(self, source, data):
        """Store weights under a source name, replacing previous ones.

        Parameters
        ----------
        source : str
        data : bytes
        """
        with self._lock:
            self._data_by_source[source] = data

    def manifest(self, source):
        """Return the manifest of a source's current weights.

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
        chunks_of_data = [
            data[offset : offset + size] for offset in range(0, len(data), size)
        ]
        return Manifest(
            chunks=[digest_of(chunk) for chunk in chunks_of_data],
            chunk_size=size,
            size=len(data),
        )

    def handle(self, request):
        """Handle a read of a manifest or a byte range, or an upload of weights."""
        if self.faults["origin_down"]:
            return Response(status=503)
        source, _, resource = request.path.lstrip("/").rpartition("/")
        if request.method == "PUT" and resource == "weights":
            self.publish(source, request.body)
            return json_response({})
        if source not in self._data_by_source:
            return Response(status=404)
        if resource == "manifest.json":
            return Response(body=self.manifest(source).to_bytes())
        return self._read_range(source, request)

    def _read_range(self, source, request):
        byte_range = request.headers.get("range", "bytes=0-").removeprefix("bytes=")
        first, _, last = byte_range.partition("-")
        data = self._data_by_source[source]
        chunk = data[int(first) : int(last or len(data) - 1) + 1]
        with self._lock:
            self.requests += 1
            self.bytes_sent += len(chunk)
            corrupt = self._should_corrupt()
        time.sleep(self._link.reserve(len(chunk)) + self.faults["origin_stall"])
        if corrupt:
            chunk = bytes([chunk[0] ^ 1]) + chunk[1:]
        return Response(status=206, body=chunk)

    def _should_corrupt(self):
        share = self.faults["origin_corrupt_share"]
        if share and self.requests % round(1 / share) == 0:
            return True
        return self.faults.consume("origin_corrupt")
