"""Timeouts that don't count a stall of this process as the delay of its peer."""

import asyncio

#: Seconds by which a timer has to be late for the process to count as stalled.
LATE_TIMER_DELAY = 0.05

#: Seconds after a stall in which the event loop reads what arrived meanwhile.
CATCH_UP_TIME = 0.2

#: Iterations of the event loop in which it reads what arrived during a stall that ends
#: after the deadline.
READ_ITERATIONS = 10


class StallTolerantTimeout:
    """Asynchronous context manager like ``asyncio.timeout``, also after a stall.

    After a stall the event loop finds a timer due in the same iteration in which it
    reads an answer that arrived long before. With the timeout of asyncio the answer is
    lost, and the peer counts as failed although only this process was.

    A process that gets too little processor time stalls again while it reads what
    arrived during the first stall. No stall counts as time in which a peer could have
    answered, but the wait ends even if stalls never do.

    Parameters
    ----------
    seconds : float
    catch_up : float, default=CATCH_UP_TIME
        After a stall the wait ends once the event loop has run for so many seconds, or
        later. A peer that may have stalled together with this process needs as long as
        it usually takes for an answer.
    """

    __slots__ = (
        "_seconds",
        "_catch_up",
        "_deadline",
        "_is_extended",
        "_scope",
        "_timer",
    )

    def __init__(self, seconds, *, catch_up=CATCH_UP_TIME):
        self._seconds = seconds
        self._catch_up = catch_up
        self._is_extended = False
        self._deadline = self._scope = self._timer = None

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + self._seconds
        self._scope = asyncio.timeout(None)
        await self._scope.__aenter__()
        # A stall may end just before the deadline, too late to read an answer.
        self._check_at(max(loop.time(), self._deadline - self._catch_up))
        return self

    async def __aexit__(self, *exc_info):
        self._timer.cancel()
        return await self._scope.__aexit__(*exc_info)

    def _check_at(self, due_at):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(due_at, self._check, due_at)

    def _check(self, due_at):
        now = asyncio.get_running_loop().time()
        is_late = now >= due_at + LATE_TIMER_DELAY
        if due_at >= self._deadline and (self._is_extended or not is_late):
            self._expire_after(READ_ITERATIONS if is_late else 0)
            return
        if is_late:
            self._postpone(due_at, now)
        self._check_at(min(self._deadline, now + LATE_TIMER_DELAY))

    def _expire_after(self, iterations):
        loop = asyncio.get_running_loop()
        if iterations:
            self._timer = loop.call_soon(self._expire_after, iterations - 1)
        else:
            self._scope.reschedule(loop.time())

    def _postpone(self, due_at, now):
        """Move the deadline by a stall, and once to a whole catch-up time after it."""
        self._deadline += now - due_at
        if not self._is_extended and self._deadline < now + self._catch_up:
            self._is_extended = True
            self._deadline = now + self._catch_up
