"""The two clocks of a process, in one place so that a test can see every use."""

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


def wall():
    """Return seconds since the Unix epoch.

    Returns
    -------
    float
        Only for people to read, in the history of revisions. Nothing is decided
        by it, since no host's wall clock is trusted by another.
    """
    return time.time()
