"""How long a call of the platform's store may take."""

from hawthornspoke.base import boottime_clock, is_failure

#: Seconds for a response, in addition to the time that a call may wait for changes. The
#: store takes some milliseconds, and 50 times that when it is slow.
RESPONSE_TIMEOUT = 1.2

#: The same while the store is so slow that a response has timed out. With the delay of
#: a hedged request and the pause before the next attempt it is shorter than the 3 s
#: after which a host has to be connected again once a fault has ended.
SLOW_RESPONSE_TIMEOUT = 2.0

#: A response within this many seconds shows that the store is not slow.
QUICK_RESPONSE_TIME = RESPONSE_TIMEOUT / 2

#: Seconds after a late response for which the store counts as slow.
SLOW_PERIOD = 5.0


class ResponseTimeout:
    """Decides after how many seconds a call fails, by how slow the store has been.

    With a fixed timeout, a host would never read a store again that takes a little
    longer for each response.
    """

    __slots__ = ("_slow_until",)

    def __init__(self):
        self._slow_until = float("-inf")

    async def call(self, send, *, wait=0.0):
        """Make a call with the timeout that fits the store.

        Parameters
        ----------
        send : callable
            Called with ``timeout``, in seconds; returns an awaitable of a Failure or an
            object whose ``update`` is a TableUpdate.
        wait : float, default=0.0
            Seconds for which the store holds a call without changes.

        Returns
        -------
        object
            Result of ``send``.
        """
        asked_at = boottime_clock()
        timeout = wait + self.seconds(asked_at)
        result = await send(timeout=timeout)
        is_held = not is_failure(result) and not result.update.rows
        now = boottime_clock()
        held = wait if is_held else 0.0
        self.record(
            now - asked_at - held,
            failed=is_failure(result),
            timeout=timeout - held,
            now=now,
        )
        return result

    def seconds(self, now):
        """Return the timeout of a call, without the time that it may wait."""
        return SLOW_RESPONSE_TIMEOUT if now < self._slow_until else RESPONSE_TIMEOUT

    def record(self, elapsed, *, failed, timeout, now):
        """Record how long the store took.

        Parameters
        ----------
        elapsed : float
            Seconds, without the time for which the store held the call.
        failed : bool
            Whether there was no response.
        timeout : float
            Seconds that the call was given, without that time. A call lasts longer if
            this process has stalled, and may then get a response later than this.
        now : float
        """
        is_late = elapsed >= timeout
        if not failed:
            is_late |= elapsed > QUICK_RESPONSE_TIME and now < self._slow_until
            if elapsed <= QUICK_RESPONSE_TIME:
                self._slow_until = float("-inf")
        if is_late:
            self._slow_until = now + SLOW_PERIOD
