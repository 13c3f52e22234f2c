"""Rate limiting of weight transfers on a host's link."""

import threading

from hawthornspoke.base import monotonic


class LinkRateLimiter:
    """A token bucket for one direction of a link.

    Parameters
    ----------
    rate : float
        Bytes per second; 0 for no limit.
    burst : float, default=65536.0
        Bytes that may be sent without delay after an idle period.

    Attributes
    ----------
    sent : int
        Bytes for which capacity was reserved so far.
    """

    __slots__ = ("rate", "burst", "sent", "_free_at", "_lock")

    def __init__(self, *, rate, burst=65536.0):
        self.rate = rate
        self.burst = burst
        self.sent = 0
        self._free_at = 0.0
        self._lock = threading.Lock()

    def reserve(self, size, *, now=None):
        """Reserve link capacity for some bytes.

        Parameters
        ----------
        size : int
        now : float or None, default=None
            Monotonic time in seconds; None reads the clock.

        Returns
        -------
        float
            Seconds until the bytes have been transmitted; the caller waits this long.
        """
        now = monotonic() if now is None else now
        with self._lock:
            self.sent += size
            if not self.rate:
                return 0.0
            start = max(self._free_at, now - self.burst / self.rate)
            self._free_at = start + size / self.rate
            return max(0.0, self._free_at - now)
