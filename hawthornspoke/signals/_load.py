"""The requests at an endpoint, and how slow its host is at the moment."""

from dataclasses import dataclass

from hawthornspoke.fields import parse_digits
from hawthornspoke.signals._signal import INVALID_SIGNAL, SIGNALS, Signal

LOAD = "load"

#: Parts of the field: running requests, waiting requests, slots, and the time that work
#: takes now as a percentage of the usual. Further ones may follow; the last two may be
#: missing.
REQUIRED_PARTS = 2
SLOWDOWN_PART = 3

#: Range of valid slowdowns.
MIN_SLOWDOWN = 0.01
MAX_SLOWDOWN = 100.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportedLoad:
    """Load in a response.

    Parameters
    ----------
    requests : int
        Running and waiting requests, from all entry hosts together.
    slowdown : float or None
        Factor by which work takes longer than usual at the moment, since the endpoint
        shares its host with others; None if the endpoint doesn't say.
    """

    requests: int
    slowdown: float | None = None


@SIGNALS.register(LOAD)
class Load(Signal):
    """Number of requests, and slowdown by other work on the host."""

    __slots__ = ()
    HEADER = "X-Load"

    @classmethod
    def decode(cls, text, *, status):
        """Return a ReportedLoad; parts that can't be read are left out if possible."""
        parts = text.split(",")
        if len(parts) < REQUIRED_PARTS:
            return INVALID_SIGNAL
        running, waiting = parse_digits(parts[0]), parse_digits(parts[1])
        if running is None or waiting is None:
            return INVALID_SIGNAL
        return ReportedLoad(requests=running + waiting, slowdown=_slowdown(parts))

    def observe(self, value, *, now, rng):
        """Record a load; it changes with each response and isn't logged."""
        self.value = value
        return False

    def dump(self, *, now):
        """Return the last load as plain data, None if there is none."""
        if self.value is None:
            return None
        return {"requests": self.value.requests, "slowdown": self.value.slowdown}


def valid_slowdown(slowdown):
    """Return a reported slowdown, None if it is missing or out of range.

    Parameters
    ----------
    slowdown : float or None

    Returns
    -------
    float or None
    """
    is_valid = slowdown is not None and MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN
    return slowdown if is_valid else None


def _slowdown(parts):
    if len(parts) <= SLOWDOWN_PART:
        return None
    percent = parse_digits(parts[SLOWDOWN_PART])
    return None if percent is None else valid_slowdown(percent / 100)
