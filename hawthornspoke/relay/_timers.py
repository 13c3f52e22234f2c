"""Timeouts that include the time for which the host is suspended."""

import asyncio

from hawthornspoke.base import monotonic

#: Minimum change in seconds of the offset between the two clocks that is treated as a
#: suspension. They are read one after the other, so a busy host shows smaller changes.
MIN_CLOCK_SHIFT = 0.02


class Timers:
    """Timeouts on a clock that includes the time for which the host is suspended.

    The event loop's timers use the monotonic clock, which stops during a suspension.
    After a suspension of 5 s all timeouts fired 5 s late: callers waited beyond their
    deadlines, and requests started on old weights after the version bound, from which
    only newer weights may start any. So the offset between the clocks is checked
    regularly, and pending timeouts are rescheduled when it has changed.

    Parameters
    ----------
    clock : callable
        Returns seconds; includes the time for which the host is suspended.
    """

    __slots__ = ("clock", "_clock_offset", "_deadline_by_timeout")

    def __init__(self, *, clock):
        self.clock = clock
        self._clock_offset = clock() - monotonic()
        self._deadline_by_timeout = {}

    def until(self, deadline):
        """Return a context manager that raises TimeoutError at a deadline.

        Parameters
        ----------
        deadline : float or None
            On the clock of the timers; None for no timeout.

        Returns
        -------
        async context manager
            ``expired()`` returns whether the timeout has fired.
        """
        return _DeadlineContext(timers=self, deadline=deadline)

    async def run(self, ticks):
        """Check the clocks on each tick until cancelled; a check takes 0.7 us.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            await ticks.next()
            self._check_clocks()

    def _check_clocks(self):
        offset = self.clock() - monotonic()
        if abs(offset - self._clock_offset) < MIN_CLOCK_SHIFT:
            return
        self._clock_offset = offset
        for timeout, deadline in self._deadline_by_timeout.items():
            # A timeout that has fired can't be rescheduled.
            if not timeout.expired():
                timeout.reschedule(_loop_time(deadline, self.clock))

    def _add(self, timeout, deadline):
        self._deadline_by_timeout[timeout] = deadline

    def _remove(self, timeout):
        del self._deadline_by_timeout[timeout]


class _DeadlineContext:
    """Context manager with a timeout at a deadline."""

    __slots__ = ("_timers", "_deadline", "_timeout")

    def __init__(self, *, timers, deadline):
        self._timers = timers
        self._deadline = deadline
        self._timeout = None

    async def __aenter__(self):
        if self._deadline is None:
            return self
        self._timeout = asyncio.timeout_at(
            _loop_time(self._deadline, self._timers.clock)
        )
        await self._timeout.__aenter__()
        self._timers._add(self._timeout, self._deadline)
        return self

    def bring_forward(self, deadline):
        """Let the timeout fire at an earlier deadline.

        Parameters
        ----------
        deadline : float
        """
        if self._deadline is None or deadline >= self._deadline:
            return
        self._deadline = deadline
        if self._timeout is not None and not self._timeout.expired():
            self._timers._add(self._timeout, deadline)
            self._timeout.reschedule(_loop_time(deadline, self._timers.clock))

    async def __aexit__(self, *error):
        if self._timeout is None:
            return None
        self._timers._remove(self._timeout)
        return await self._timeout.__aexit__(*error)

    def expired(self):
        """Return whether the timeout has fired."""
        return self._timeout is not None and self._timeout.expired()


def _loop_time(deadline, clock):
    return asyncio.get_running_loop().time() + deadline - clock()
