"""Reverse proxy of an entry host: forwards requests directly to endpoints."""

from hawthornspoke.relay._contact import (
    Confirmed,
    ContactLost,
    PlatformContact,
    ReadFailed,
)
from hawthornspoke.relay._dialect import HeaderNames
from hawthornspoke.relay._events import EventSplitter
from hawthornspoke.relay._process import Relay
from hawthornspoke.relay._settings import (
    ALLOWANCE_SHARE,
    RATIO_SHARE,
    RelaySettings,
)
from hawthornspoke.relay._suspects import PoisonRequestTracker

__all__ = [
    "ALLOWANCE_SHARE",
    "RATIO_SHARE",
    "Confirmed",
    "PlatformContact",
    "ContactLost",
    "HeaderNames",
    "EventSplitter",
    "PoisonRequestTracker",
    "ReadFailed",
    "Relay",
    "RelaySettings",
]
