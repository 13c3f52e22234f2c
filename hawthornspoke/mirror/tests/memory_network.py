"""Connections between hosts within this process, in virtual time."""

import asyncio
import copy
import random

from hawthornspoke.peering import CLOSED


class MemoryNetwork:
    """Stands in for ``connect`` and ``listen`` of the peering package.

    Parameters
    ----------
    clock : VirtualClock
    seed : int

    Attributes
    ----------
    delay : (float, float)
        Bounds of the seconds that a message takes.
    suspended_until_by_address : dict of str to float
        Times before which hosts neither send nor receive.
    """

    def __init__(self, clock, *, seed):
        self.clock = clock
        self.delay = (0.0001, 0.001)
        self.suspended_until_by_address = {}
        self._random = random.Random(seed)
        self._on_frame_by_address = {}

    async def listen(self, address, port, *, on_frame, on_closed):
        self._on_frame_by_address[address] = on_frame
        return _Server(self._on_frame_by_address, address)

    async def connect(self, address, port, *, on_frame, on_closed, timeout):
        if address not in self._on_frame_by_address:
            return CLOSED.with_reason(f"{address} doesn't listen")
        return _Link(self, address, on_closed)

    async def pass_to(self, address):
        """Wait until a message has arrived."""
        await asyncio.sleep(self._random.uniform(*self.delay))
        suspended_until = self.suspended_until_by_address.get(address, 0.0)
        await asyncio.sleep(max(0.0, suspended_until - self.clock()))

    def receive(self, address, link, frame):
        on_frame = self._on_frame_by_address.get(address)
        if on_frame is not None:
            on_frame(link, frame)


class _Server:
    def __init__(self, on_frame_by_address, address):
        self._on_frame_by_address = on_frame_by_address
        self._address = address

    def close(self):
        self._on_frame_by_address.pop(self._address, None)


class _Link:
    """Both ends of a connection, of which only one sends requests."""

    def __init__(self, network, address, on_closed):
        self.is_open = True
        self._network = network
        self._address = address
        self._on_closed = on_closed
        self._future_by_call = {}
        self._last_call = 0

    async def ask(self, frame, *, timeout, catch_up=None):
        self._last_call += 1
        frame.call = self._last_call
        future = asyncio.get_running_loop().create_future()
        self._future_by_call[frame.call] = future
        try:
            async with asyncio.timeout(timeout):
                await self._network.pass_to(self._address)
                self._network.receive(self._address, self, copy.deepcopy(frame))
                answer = await future
                await self._network.pass_to(None)
                return copy.deepcopy(answer)
        except TimeoutError:
            return CLOSED.with_reason("no answer")

    def send(self, frame):
        """Answer a request."""
        future = self._future_by_call.pop(-frame.call, None)
        if future is not None and not future.done():
            future.set_result(frame)

    def close(self):
        if self.is_open:
            self.is_open = False
            self._on_closed(self)
