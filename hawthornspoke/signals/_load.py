"""The requests at an endpoint."""

from hawthornspoke.fields import parse_digits
from hawthornspoke.signals._signal import INVALID_SIGNAL, SIGNALS, Signal

LOAD = "load"

#: Number of parts of the field: running requests, waiting requests and slots.
PARTS = 3


@SIGNALS.register(LOAD)
class Load(Signal):
    """Number of running and waiting requests, from all entry hosts together."""

    __slots__ = ()
    HEADER = "X-Load"

    @classmethod
    def decode(cls, text, *, status):
        """Return the sum of running and waiting requests."""
        parts = text.split(",")
        if len(parts) != PARTS:
            return INVALID_SIGNAL
        running, waiting = parse_digits(parts[0]), parse_digits(parts[1])
        if running is None or waiting is None:
            return INVALID_SIGNAL
        return running + waiting

    def observe(self, value, *, now, rng):
        """Record a load; it changes with each response and isn't logged."""
        self.value = value
        return False
