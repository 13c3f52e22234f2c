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


class UploadQueue:
    """Queue of pieces for peers and the task that sends them.

    Parameters
    ----------
    link_rate : float
        Rate of this host's link, in bytes per second.
    is_serving : callable
        Tells whether the engine is serving requests now.
    """

    __slots__ = ("_link_rate", "_is_serving", "_waiting", "_task")

    def __init__(self, *, link_rate, is_serving):
        self._link_rate = link_rate
        self._is_serving = is_serving
        self._waiting = collections.deque()
        self._task = None

    @property
    def is_full(self):
        """Whether the queue accepts no further piece."""
        return len(self._waiting) >= MAX_QUEUED

    def put(self, link, frame):
        """Queue a frame for a peer."""
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
                share = (
                    SHARE_BESIDE_REQUESTS
                    if self._is_serving()
                    else SHARE_WITHOUT_REQUESTS
                )
                next_send_at = max(next_send_at, loop.time() - MAX_CATCH_UP) + sent / (
                    self._link_rate * share
                )
                await asyncio.sleep(max(0.0, next_send_at - loop.time()))

    async def _wait_until_drained(self, link):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STALL_TIMEOUT
        while link.is_open and link.unsent() > MAX_UNSENT_BYTES:
            if loop.time() >= deadline:
                link.close()
            await asyncio.sleep(POLL_INTERVAL)
