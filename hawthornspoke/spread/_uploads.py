"""Sends pieces to peers one after the other, slowly enough for live traffic."""

import asyncio
import collections

from hawthornspoke.base import contact_clock

#: Bytes written at once. On the narrowest link we know (456 KB/s) this is 9 ms, the
#: longest that an event of a live stream then waits behind a piece.
SLICE_BYTES = 4096

#: Share of the link that pieces take while the engine answers requests. Those take
#: about a tenth of it at full load; without the pause between slices a stream's
#: first event waited 300 ms and more behind pieces.
SHARE_BESIDE_REQUESTS = 0.86

#: Share of it while the engine answers nothing.
SHARE_WITHOUT_REQUESTS = 0.97

#: Seconds that a late timer may be made up for by sending the next slices sooner.
MAX_CATCH_UP = 0.02

#: Bytes that may wait at one peer's connection before the next slice. A link that
#: has become narrower shows only here; its queue would delay all that is live.
MAX_UNSENT_BYTES = 2 * SLICE_BYTES

#: Seconds between two looks at those.
POLL_INTERVAL = 0.01

#: Seconds without progress after which a peer is left to its own devices.
STALL_TIMEOUT = 2.0

#: Seconds for one piece, after which a peer asks elsewhere. On a link of 450 KB/s,
#: shared by some dozen hosts with two fetches each, a piece of 24 KB takes 1.5 s at
#: the worst.
PIECE_TIMEOUT = 2.0

#: Pieces that may wait here; a peer that asks for more is told to ask elsewhere.
MAX_QUEUED = 6


class UploadQueue:
    """A queue of pieces and the task that sends them.

    Parameters
    ----------
    link_rate : float
        Bytes a second.
    is_serving : callable
        Tells whether the engine answers requests now.
    """

    __slots__ = ("_link_rate", "_is_serving", "_waiting", "_task")

    def __init__(self, *, link_rate, is_serving):
        self._link_rate = link_rate
        self._is_serving = is_serving
        self._waiting = collections.deque()
        self._task = None

    @property
    def is_full(self):
        """Whether no further piece is taken."""
        return len(self._waiting) >= MAX_QUEUED

    def put(self, link, frame):
        """Take a piece for a peer."""
        self._waiting.append((link, frame, contact_clock() + PIECE_TIMEOUT))
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._send_all())

    def close(self):
        """Send nothing more."""
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    async def _send_all(self):
        loop = asyncio.get_running_loop()
        next_send_at = loop.time()
        while self._waiting:
            link, frame, deadline = self._waiting.popleft()
            if contact_clock() >= deadline:
                # Sent now, it would only delay what is still waited for.
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
