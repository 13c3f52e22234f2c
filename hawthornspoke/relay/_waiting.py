"""Requests that wait here for weights which are about to be there.

Answers the load of callers in a gap between two versions: most can come back once, and
one that is refused a second time is lost, though weights come within its time.
"""

import asyncio
import random

#: Seconds in which weights must be expected for a request to wait for them. Agents tell
#: times below two seconds only where pieces come at a steady pace.
MOST_WAIT = 1.5

#: Seconds beyond the expected time for which it still waits.
SLACK = 0.5

#: Requests that wait at one host at the most.
MOST_WAITING = 64

#: Seconds between two looks, drawn at random between these: what waits at all hosts
#: would otherwise come to the first engine at one moment.
LOOK_EVERY = (0.05, 0.15)


class WaitingRoom:
    """Holds requests until there are weights for them, or it is known that not.

    Parameters
    ----------
    clock : callable
        Returns the moment on the clock of requests' deadlines.
    log : EventLog
    """

    __slots__ = ("waiting", "_clock", "_log")

    def __init__(self, *, clock, log):
        self.waiting = 0
        self._clock = clock
        self._log = log

    async def wait(self, work):
        """Wait a moment, and tell whether it is to be asked again for an endpoint.

        Parameters
        ----------
        work : Work
            That no endpoint takes now.

        Returns
        -------
        bool
            False if it is to be refused.
        """
        now = self._clock()
        if work.wait_deadline is None and not self._admit(work, now):
            return False
        if now >= work.wait_deadline or work.ready_in is None:
            return False
        self.waiting += 1
        try:
            await asyncio.sleep(random.uniform(*LOOK_EVERY))
        finally:
            self.waiting -= 1
        return True

    def _admit(self, work, now):
        """Give a request a time to wait if weights come soon enough for it."""
        ready_in = work.ready_in
        if ready_in is None or work.sent or self.waiting >= MOST_WAITING:
            return False
        if ready_in > MOST_WAIT or now + ready_in >= work.resend_deadline:
            return False
        work.wait_deadline = min(now + ready_in + SLACK, work.resend_deadline)
        self._log.decision(
            "waits", request=work.request_id, ready_in=round(ready_in, 3)
        )
        return True
