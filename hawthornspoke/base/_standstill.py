"""From when what an event loop reads may be: it may have waited unread."""

from hawthornspoke.base._clock import contact_clock

#: Seconds between two notes that the loop runs, made each tick, from which the process
#: counts as having stood still. A busy loop is 0.1 s late; what that adds to an age is
#: within the margins of bounds.
LONGEST_PAUSE = 0.3

#: Seconds after waking in which what is read may have waited: the loop takes several
#: turns to read what came meanwhile.
CATCHING_UP = 0.5


class Standstill:
    """Notices when this process stood still.

    A message tells how long ago something was, and waits in the system's buffer while
    its reader stands still. Counted from when it is read, all that it tells of is
    younger than it is by that time. One would notice by requests that are sent to
    old weights beyond their bound, 1.0 s after a process had stood still for 1.0 s.

    Parameters
    ----------
    on_woke : callable
        Called with the seconds for which the process stood still.
    clock : callable, default=contact_clock
        Goes on while the host is suspended.
    """

    __slots__ = ("_on_woke", "_clock", "_noted_at", "_stood_since", "_woke_at")

    def __init__(self, *, on_woke, clock=contact_clock):
        self._on_woke = on_woke
        self._clock = clock
        self._noted_at = clock()
        self._stood_since = None
        self._woke_at = float("-inf")

    async def run(self, ticks):
        """Note that the loop runs, until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            self.note()
            await ticks.next()

    def note(self):
        """Note that the loop runs now."""
        now = self._clock()
        if now >= self._noted_at + LONGEST_PAUSE:
            self._stood_since, self._woke_at = self._noted_at, now
            self._on_woke(round(now - self._noted_at, 3))
        self._noted_at = now

    def arrived_after(self):
        """Return a moment after which what is read now has arrived.

        Returns
        -------
        float
            This one, unless the process has just stood still.
        """
        now = self._clock()
        if now >= self._noted_at + LONGEST_PAUSE:
            # On waking the loop reads before its timers tell that it is late.
            return self._noted_at
        if now < self._woke_at + CATCHING_UP:
            return self._stood_since
        return now
