"""The endpoint refuses requests of this host and asks for a pause."""

from hawthornspoke.base import is_failure
from hawthornspoke.signals._signal import SIGNALS, Signal, decode_number

BACKOFF = "backoff"

#: Status of a response that may ask for a pause; with others the field means something
#: else, or nothing.
UNAVAILABLE = 503

#: Longest pause in seconds. A longer one would take the endpoint out of use for good if
#: the value is wrong; after it, one request shows whether the endpoint still refuses.
MAX_BACKOFF = 300.0

#: Random share by which a pause is prolonged, so that entry hosts that were refused
#: together don't return together.
MAX_JITTER_SHARE = 0.1

#: After a pause, one request may be sent in the first RAMP_STEP seconds, and twice as
#: many in all after each further step, without a limit from RAMP_TIME on.
RAMP_STEP = 0.2
RAMP_TIME = 1.0


@SIGNALS.register(BACKOFF)
class Backoff(Signal):
    """Pause for which the endpoint wants no requests from this host.

    A pause is never shortened: neither by a later refusal that asks for less nor by a
    success, whose request may have been sent before. ``value`` is the seconds asked for
    last.
    """

    HEADER = "Retry-After"
    __slots__ = ("_ends_at", "_sent_since_end")

    def __init__(self):
        super().__init__()
        self._ends_at = float("-inf")
        self._sent_since_end = 0

    @classmethod
    def decode(cls, text, *, status):
        """Return the seconds of the pause, at most ``MAX_BACKOFF``."""
        if status != UNAVAILABLE:
            return None
        seconds = decode_number(text)
        return seconds if is_failure(seconds) else min(seconds, MAX_BACKOFF)

    def observe(self, value, *, now, rng):
        """Begin or prolong a pause; return whether none was in force."""
        ends_at = now + value * (1 + MAX_JITTER_SHARE * rng.random())
        if value == 0 or ends_at <= self._ends_at:
            return False
        is_new = now >= self._ends_at
        self.value = value
        self._ends_at = ends_at
        self._sent_since_end = 0
        return is_new

    def restricts(self, now):
        """Return whether the pause, or the ramp after it, is in force."""
        return now < self._ends_at + RAMP_TIME

    def allows_request(self, now):
        """Return whether the pause is over and the ramp has room."""
        if now < self._ends_at:
            return False
        if not self.restricts(now):
            return True
        return self._sent_since_end < 2 ** self._step_at(now)

    def next_request_at(self, now):
        """Return the end of the pause, or of a step of the ramp that is used up."""
        if self.allows_request(now):
            return now
        if now < self._ends_at:
            return self._ends_at
        return self._ends_at + (self._step_at(now) + 1) * RAMP_STEP

    def count_request(self, now):
        """Count a request against the ramp."""
        if now >= self._ends_at:
            self._sent_since_end += 1

    def dump(self, *, now):
        """Return the remaining seconds, None if no pause was asked for."""
        if not self.restricts(now):
            return None
        return {"asked": self.value, "remaining": round(self._ends_at - now, 3)}

    def _step_at(self, now):
        return int((now - self._ends_at) / RAMP_STEP)
