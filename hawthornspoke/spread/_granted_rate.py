"""The rate at which a host asks a seeder to send pieces."""

#: Throughput relative to the granted rate below which a link counts as narrowed, and
#: below which it counts as full once it is known to be narrow. A burst of requests
#: halves the throughput for a moment.
NARROWED_SHARE = 0.35
FULL_SHARE = 0.9

#: Part of the measured throughput that is granted then, and the factor by which a grant
#: grows again with each piece.
REDUCED_GRANT = 0.9
GROWTH = 1.15

#: Lowest grant in bytes per second.
MIN_GRANT = 20_000.0


class GrantedRate:
    """Adapts the granted rate to what arrives.

    A link may get narrower than its settings say. What is sent beyond its rate waits in
    front of it, and requests wait behind that.

    Parameters
    ----------
    max_rate : callable
        Returns the bytes per second that the link has for pieces at its usual rate.
    """

    __slots__ = ("_max_rate", "_rate", "_last_piece_at")

    def __init__(self, *, max_rate):
        self._max_rate = max_rate
        self._rate = None
        self._last_piece_at = float("-inf")

    def value(self):
        """Return the bytes per second to ask for."""
        rate = self._max_rate()
        return rate if self._rate is None else min(rate, self._rate)

    def on_piece(self, size, *, requested_at, now):
        """Update with a piece that has arrived.

        Parameters
        ----------
        size : int
            Bytes.
        requested_at, now : float
            When it was asked for, and when it arrived.
        """
        # While it waited behind another piece, its sender was sending that one.
        seconds = max(0.001, now - max(requested_at, self._last_piece_at))
        self._last_piece_at = now
        granted = self.value()
        throughput = size / seconds
        share = NARROWED_SHARE if self._rate is None else FULL_SHARE
        if throughput < share * granted:
            self._rate = max(MIN_GRANT, REDUCED_GRANT * throughput)
        else:
            grown = granted * GROWTH
            self._rate = None if grown >= self._max_rate() else grown
