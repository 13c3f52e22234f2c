"""Sends pieces to several receivers at once, to each at the rate that it asks for."""

from hawthornspoke.spread._uploads import UploadQueue

#: Bytes per second for a receiver that names no rate, as the narrowest known link.
DEFAULT_RATE = 450_000.0

#: Lowest rate in bytes per second: a piece of 24 KB then takes less than its timeout.
MIN_RATE = 16_000.0


class ReceiverUploads:
    """One queue of pieces for each receiver, whose link is narrower than this host's.

    A receiver fetches from one such host at a time and names the rate that its link has
    left for pieces, so that none of them wait on the link.
    """

    __slots__ = ("_queue_by_link", "_rate_by_link")

    def __init__(self):
        self._queue_by_link = {}
        self._rate_by_link = {}

    def is_full_for(self, link):
        """Return whether the queue of a receiver accepts no further piece."""
        queue = self._queue_by_link.get(link)
        return queue is not None and queue.is_full

    def put(self, link, frame, *, rate=None):
        """Queue a frame for a receiver.

        Parameters
        ----------
        link : PeerConnection
        frame : Frame
        rate : float or None, default=None
            Bytes per second; None keeps the last one.
        """
        if rate is not None:
            self._rate_by_link[link] = max(MIN_RATE, rate)
        queue = self._queue_by_link.get(link)
        if queue is None:
            self._drop_closed()
            queue = UploadQueue(rate=lambda: self._rate_by_link.get(link, DEFAULT_RATE))
            self._queue_by_link[link] = queue
        queue.put(link, frame)

    def close(self):
        """Clear all queues and stop sending."""
        for queue in self._queue_by_link.values():
            queue.close()
        self._queue_by_link = {}
        self._rate_by_link = {}

    def _drop_closed(self):
        for link in [item for item in self._queue_by_link if not item.is_open]:
            self._queue_by_link.pop(link).close()
            self._rate_by_link.pop(link, None)
