"""The endpoint shuts down once its running requests are complete."""

import math

from hawthornspoke.signals._signal import INVALID_SIGNAL, SIGNALS, Signal

LEAVING = "leaving"

#: Value of the field.
IS_LEAVING = "1"


@SIGNALS.register(LEAVING)
class Leaving(Signal):
    """Whether the endpoint leaves and gets no new requests.

    It never returns: responses without the field, as well as an endpoint list that
    says otherwise, may be older. A new incarnation begins without it.
    """

    __slots__ = ()
    HEADER = "X-Leaving"

    @classmethod
    def decode(cls, text, *, status):
        """Return True if the endpoint leaves; other values are undefined."""
        return True if text == IS_LEAVING else INVALID_SIGNAL

    def observe(self, value, *, now, rng):
        """Record that the endpoint leaves; return whether that is new."""
        is_new = self.value is None
        self.value = True
        return is_new

    def restricts(self, now):
        """Return whether the endpoint leaves."""
        return self.value is not None

    def allows_request(self, now):
        """Return whether the endpoint stays."""
        return self.value is None

    def next_request_at(self, now):
        """Return infinity if the endpoint leaves."""
        return now if self.value is None else math.inf
