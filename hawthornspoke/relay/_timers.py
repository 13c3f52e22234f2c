"""Ends waits at moments of others, whatever the host's steady clock does."""

import asyncio

from hawthornspoke.base import monotonic

#: Seconds by which the clocks must have parted: less is the time between reading one
#: and the other on a busy host.
MIN_CLOCK_SHIFT = 0.02


class Timers:
    """Timeouts on a clock that goes on while the host is suspended.

    The event loop's timers run on the steady clock, which stands still meanwhile. A
    host that was suspended for 5 s ended its waits 5 s late: callers whose time was
    up were kept, and requests began on old weights after their bound. So it looks
    now and then whether the clocks have parted, and sets what waits anew.

    Parameters
    ----------
    clock : callable
        Goes on while the host is suspended.
    """

    __slots__ = ("clock", "_clock_offset", "_deadline_by_timeout")

    def __init__(self, *, clock):
        self.clock = clock
        self._clock_offset = clock() - monotonic()
        self._deadline_by_timeout = {}

    def until(self, deadline):
        """Return a context that raises TimeoutError at a moment.

        Parameters
        ----------
        moment : float or None
            On the clock of the timers; None to wait as long as it takes.

        Returns
        -------
        async context manager
            ``expired()`` tells whether the moment has ended the wait.
        """
        return _DeadlineContext(timers=self, deadline=deadline)

    async def run(self, ticks):
        """Look at the clocks until cancelled; a look costs 0.7 us, timed alone.

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
            # One that is over can't be set anew; its wait is about to end.
            if not timeout.expired():
                timeout.reschedule(_loop_time(deadline, self.clock))

    def _add(self, timeout, deadline):
        self._deadline_by_timeout[timeout] = deadline

    def _remove(self, timeout):
        del self._deadline_by_timeout[timeout]


class _DeadlineContext:
    """A wait that ends at a moment."""

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

    async def __aexit__(self, *error):
        if self._timeout is None:
            return None
        self._timers._remove(self._timeout)
        return await self._timeout.__aexit__(*error)

    def expired(self):
        """Tell whether the moment has ended the wait."""
        return self._timeout is not None and self._timeout.expired()


def _loop_time(deadline, clock):
    return asyncio.get_running_loop().time() + deadline - clock()
