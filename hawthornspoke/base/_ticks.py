"""One timer for all that a process does a few times a second."""

import asyncio

#: Seconds between two ticks. The shortest that anything here needs: a request has to be
#: withdrawn 0.4 s before its bound, and loads that entry hosts are told are as old.
TICK_EVERY = 0.1


class Ticks:
    """Wakes all that waits for the next tick together.

    Each wake of an event loop costs as much as reading a small message. With a timer
    for each of its periodic tasks an agent with nothing to do woke 88 times a second,
    as counted in a play; tasks that wait for the same tick wake it once.

    Parameters
    ----------
    every : float, default=TICK_EVERY
        Seconds between two ticks.
    """

    __slots__ = ("every", "_next")

    def __init__(self, *, every=TICK_EVERY):
        self.every = every
        self._next = None

    async def next(self, count=1):
        """Wait for the next tick, or for a later one.

        Parameters
        ----------
        count : int, default=1
            Ticks to wait for.
        """
        for _ in range(count):
            if self._next is None:
                self._next = asyncio.Event()
                asyncio.get_running_loop().call_later(self.every, self._tick)
            await self._next.wait()

    def _tick(self):
        ended, self._next = self._next, None
        ended.set()
