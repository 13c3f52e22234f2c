"""The clocks of a process, in one place so that a test can see every use."""

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


def contact_clock():
    """Return seconds on a clock that goes on while the host is suspended.

    A suspended host wakes with the belief of a moment ago, however long that was.

    Returns
    -------
    float
        For the age of what was heard, and for deadlines of others, who don't wait
        longer for a host that was suspended. Event loops' timers are not on it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall():
    """Return seconds since the Unix epoch.

    Returns
    -------
    float
        Only for people to read, in the history of revisions. Nothing is decided
        by it, since no host's wall clock is trusted by another.
    """
    return time.time()
