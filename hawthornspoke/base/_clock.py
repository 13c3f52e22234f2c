"""Clocks of a process, kept in one module so that a test can check every use."""

import time


def monotonic():
    """Return seconds on this process's monotonic clock.

    Returns
    -------
    float
        Seconds since an arbitrary start. Deadlines are stored on this clock and
        never sent to another host.
    """
    return time.monotonic()


def boottime_clock():
    """Return seconds on a clock that includes the time a host is suspended.

    A resumed host still holds the state from before the suspension, however long it
    lasted, so the age of that state can't be measured on the monotonic clock.

    Returns
    -------
    float
        Used for the age of received information, and for deadlines set by other
        processes: these don't wait longer because this host was suspended. Timers of
        the event loop use the monotonic clock instead.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time():
    """Return seconds since the Unix epoch.

    Returns
    -------
    float
        Only for display, in the revision history. No decision depends on it, since
        hosts don't trust each other's wall clocks.
    """
    return time.time()
