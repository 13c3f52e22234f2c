"""Timeouts that don't count a stall of this process as the delay of its peer."""

import asyncio

#: Seconds by which a timer has to be late for the process to count as stalled.
LATE_TIMER_DELAY = 0.05

#: Seconds after a stall in which the event loop reads what arrived meanwhile.
CATCH_UP_TIME = 0.2


class StallTolerantTimeout:
    """Asynchronous context manager like ``asyncio.timeout``, also after a stall.

    After a stall the event loop finds a timer due in the same iteration in which it
    reads an answer that arrived long before. With the timeout of asyncio the answer is
    lost, and the peer counts as failed although only this process was.

    Parameters
    ----------
    seconds : float
    catch_up : float, default=CATCH_UP_TIME
        After a stall the wait ends so many seconds after the stall or later. A peer
        that may have stalled together with this process needs as long as it usually
        takes for an answer.
    """

    __slots__ = ("_seconds", "_catch_up", "_deadline", "_scope", "_timer")

    def __init__(self, seconds, *, catch_up=CATCH_UP_TIME):
        self._seconds = seconds
        self._catch_up = catch_up
        self._deadline = self._scope = self._timer = None

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + self._seconds
        self._scope = asyncio.timeout(None)
        await self._scope.__aenter__()
        # A stall may end just before the deadline, too late to read an answer.
        check_at = max(loop.time(), self._deadline - self._catch_up)
        self._timer = loop.call_at(check_at, self._check, check_at)
        return self

    async def __aexit__(self, *exc_info):
        self._timer.cancel()
        return await self._scope.__aexit__(*exc_info)

    def _check(self, due_at):
        self._postpone_after_stall(due_at)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._deadline, self._on_deadline)

    def _on_deadline(self):
        loop = asyncio.get_running_loop()
        if self._postpone_after_stall(self._deadline):
            self._timer = loop.call_at(self._deadline, self._expire)
        else:
            self._expire()

    def _postpone_after_stall(self, due_at):
        """Move the deadline if a timer that was due is late; return whether it is."""
        now = asyncio.get_running_loop().time()
        is_late = now >= due_at + LATE_TIMER_DELAY
        if is_late:
            self._deadline = max(self._deadline, now + self._catch_up)
        return is_late

    def _expire(self):
        self._scope.reschedule(asyncio.get_running_loop().time())
