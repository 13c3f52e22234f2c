"""The requests at an endpoint."""

import re

from hawthornspoke.signals._signal import INVALID_SIGNAL, SIGNALS, Signal

LOAD = "load"

#: Running requests, waiting requests and slots. The number of digits is bounded, since
#: ``int`` refuses very long numbers.
LOAD_PATTERN = re.compile(r"([0-9]{1,9}),([0-9]{1,9}),[^,]*")


@SIGNALS.register(LOAD)
class Load(Signal):
    """Number of running and waiting requests, from all entry hosts together."""

    __slots__ = ()
    HEADER = "X-Load"

    @classmethod
    def decode(cls, text, *, status):
        """Return the sum of running and waiting requests."""
        match = LOAD_PATTERN.fullmatch(text)
        if match is None:
            return INVALID_SIGNAL
        return int(match[1]) + int(match[2])

    def observe(self, value, *, now, rng):
        """Record a load; it changes with each response and isn't logged."""
        self.value = value
        return False
