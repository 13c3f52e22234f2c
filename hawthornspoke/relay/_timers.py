"""Ends waits at moments of others, whatever the host's steady clock does."""

import asyncio

from hawthornspoke.base import monotonic

#: Seconds by which the clocks must have parted: less is the time between reading one
#: and the other on a busy host.
SUSPENDED_FOR = 0.02


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

    __slots__ = ("clock", "_ahead", "_moment_by_timeout")

    def __init__(self, *, clock):
        self.clock = clock
        self._ahead = clock() - monotonic()
        self._moment_by_timeout = {}

    def until(self, moment):
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
        return _Wait(timers=self, moment=moment)

    async def run(self, ticks):
        """Look at the clocks until cancelled; a look costs 0.7 us, timed alone.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            await ticks.next()
            self._look()

    def _look(self):
        ahead = self.clock() - monotonic()
        if abs(ahead - self._ahead) < SUSPENDED_FOR:
            return
        self._ahead = ahead
        for timeout, moment in self._moment_by_timeout.items():
            # One that is over can't be set anew; its wait is about to end.
            if not timeout.expired():
                timeout.reschedule(_loop_time(moment, self.clock))

    def _add(self, timeout, moment):
        self._moment_by_timeout[timeout] = moment

    def _remove(self, timeout):
        del self._moment_by_timeout[timeout]


class _Wait:
    """A wait that ends at a moment."""

    __slots__ = ("_timers", "_moment", "_timeout")

    def __init__(self, *, timers, moment):
        self._timers = timers
        self._moment = moment
        self._timeout = None

    async def __aenter__(self):
        if self._moment is None:
            return self
        self._timeout = asyncio.timeout_at(_loop_time(self._moment, self._timers.clock))
        await self._timeout.__aenter__()
        self._timers._add(self._timeout, self._moment)
        return self

    async def __aexit__(self, *error):
        if self._timeout is None:
            return None
        self._timers._remove(self._timeout)
        return await self._timeout.__aexit__(*error)

    def expired(self):
        """Tell whether the moment has ended the wait."""
        return self._timeout is not None and self._timeout.expired()


def _loop_time(moment, clock):
    return asyncio.get_running_loop().time() + moment - clock()
