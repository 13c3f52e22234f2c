"""Sends pieces to peers one by one, at a rate that leaves bandwidth for requests."""

import asyncio
import collections

from hawthornspoke.base import boottime_clock

#: Bytes written at once. On the narrowest known link (456 KB/s) a slice takes 9 ms,
#: which is the longest that an event of a live stream waits behind a piece.
SLICE_BYTES = 4096

#: Share of the link rate used for pieces while the engine serves requests. Requests use
#: about a tenth of the link at full load. Without the delay between slices the first
#: event of a stream waited 300 ms and more behind pieces.
SHARE_BESIDE_REQUESTS = 0.86

#: Share of the link rate used for pieces while the engine serves no requests.
SHARE_WITHOUT_REQUESTS = 0.97

#: Share of the link rate at which a seeder is asked to send while the engine serves
#: requests. No other host sends pieces in that direction, and prompts need less of the
#: link than responses.
SHARE_RECEIVED_BESIDE_REQUESTS = 0.93

#: Maximum delay of a late timer, in seconds, that is compensated by sending the next
#: slices sooner.
MAX_CATCH_UP = 0.02

#: Maximum unsent bytes on a peer's connection before the next slice is written. Reduced
#: bandwidth of the link shows only here, and a longer queue would delay live traffic.
MAX_UNSENT_BYTES = 2 * SLICE_BYTES

#: Seconds between two checks of the unsent bytes.
POLL_INTERVAL = 0.01

#: Seconds without progress after which the connection to a peer is closed.
STALL_TIMEOUT = 2.0

#: Timeout of one piece in seconds, after which the receiver requests it from another
#: host. On a link of 450 KB/s, shared by about a dozen hosts with two fetches each, a
#: piece of 24 KB takes up to 1.5 s.
PIECE_TIMEOUT = 2.0

#: Maximum number of queued pieces. Further requests are rejected as busy.
MAX_QUEUED = 6


def upload_rate(link_rate, *, is_serving):
    """Return the part of a link that sent pieces may use, in bytes per second.

    Parameters
    ----------
    link_rate : float
        Bytes per second.
    is_serving : bool
        Whether the engine is serving requests.

    Returns
    -------
    float
    """
    return link_rate * (SHARE_BESIDE_REQUESTS if is_serving else SHARE_WITHOUT_REQUESTS)


def download_rate(link_rate, *, is_serving):
    """Return the part of a link for pieces of a seeder; see ``upload_rate``."""
    if is_serving:
        return link_rate * SHARE_RECEIVED_BESIDE_REQUESTS
    return link_rate * SHARE_WITHOUT_REQUESTS


class UploadQueue:
    """Queue of pieces for peers and the task that sends them.

    Parameters
    ----------
    rate : callable
        Returns the bytes per second to send at.
    """

    __slots__ = ("_rate", "_waiting", "_task")

    def __init__(self, *, rate):
        self._rate = rate
        self._waiting = collections.deque()
        self._task = None

    @property
    def is_full(self):
        """Whether the queue accepts no further piece."""
        return len(self._waiting) >= MAX_QUEUED

    def is_full_for(self, link):
        """Return whether the queue accepts no further piece for a peer."""
        return self.is_full

    def put(self, link, frame, *, rate=None):
        """Queue a frame for a peer.

        All peers share the queue, so the rate that one of them asks for is ignored.
        """
        self._waiting.append((link, frame, boottime_clock() + PIECE_TIMEOUT))
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._send_all())

    def close(self):
        """Clear the queue and stop sending."""
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    async def _send_all(self):
        loop = asyncio.get_running_loop()
        next_send_at = loop.time()
        while self._waiting:
            link, frame, deadline = self._waiting.popleft()
            if boottime_clock() >= deadline:
                # The peer has given up on it; sending it would only delay later pieces.
                continue
            data = memoryview(link.encode(frame))
            while data and link.is_open:
                part, data = data[:SLICE_BYTES], data[SLICE_BYTES:]
                link.write_part(part, is_last=not data)
                sent = len(part)
                await self._wait_until_drained(link)
                next_send_at = max(next_send_at, loop.time() - MAX_CATCH_UP)
                next_send_at += sent / self._rate()
                await asyncio.sleep(max(0.0, next_send_at - loop.time()))

    async def _wait_until_drained(self, link):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STALL_TIMEOUT
        while link.is_open and link.unsent() > MAX_UNSENT_BYTES:
            if loop.time() >= deadline:
                link.close()
            await asyncio.sleep(POLL_INTERVAL)
