"""Detection of process stalls, for a lower bound of the arrival time of messages."""

from hawthornspoke.base._clock import boottime_clock

#: Seconds between two heartbeats from which the process counts as stalled. A heartbeat
#: is recorded on each tick of the local event loop, and is up to 0.1 s late if the loop
#: is busy. A shorter stall is harmless: the age of information that waited in a socket
#: buffer (see ``StallDetector``) is then too low by less than the safety margin of any
#: limit that it is compared to.
STALL_THRESHOLD = 0.3

#: Seconds after a stall during which received data may have been buffered: the loop
#: needs several iterations to read what arrived during the stall.
CATCH_UP_TIME = 0.5


class StallDetector:
    """Detects stalls of this process.

    Messages carry the age of the information in them, and stay in the socket buffer
    while their reader is stalled. An age that is counted from the time of reading is
    too low by the time spent in the buffer. Without a correction, an entry host that
    was stalled for 1.0 s sends requests to outdated weights until 1.0 s after the time
    from which these may start no request.

    Parameters
    ----------
    on_resume : callable
        Called with the duration of the stall in seconds.
    clock : callable, default=boottime_clock
        Includes the time the host is suspended.
    """

    __slots__ = (
        "_on_resume",
        "_clock",
        "_last_heartbeat",
        "_stalled_since",
        "_resumed_at",
    )

    def __init__(self, *, on_resume, clock=boottime_clock):
        self._on_resume = on_resume
        self._clock = clock
        self._last_heartbeat = clock()
        self._stalled_since = None
        self._resumed_at = float("-inf")

    async def run(self, ticks):
        """Record a heartbeat on each tick, until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            self.record_heartbeat()
            await ticks.next()

    def record_heartbeat(self):
        """Record that the event loop runs now."""
        now = self._clock()
        if now >= self._last_heartbeat + STALL_THRESHOLD:
            self._stalled_since, self._resumed_at = self._last_heartbeat, now
            self._on_resume(round(now - self._last_heartbeat, 3))
        self._last_heartbeat = now

    def earliest_arrival(self):
        """Return a lower bound of the arrival time of data that is read now.

        Returns
        -------
        float
            The current time, unless the process was stalled just before.
        """
        now = self._clock()
        if now >= self._last_heartbeat + STALL_THRESHOLD:
            # After a stall the loop reads from sockets before its timers run.
            return self._last_heartbeat
        if now < self._resumed_at + CATCH_UP_TIME:
            return self._stalled_since
        return now
