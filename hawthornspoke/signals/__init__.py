"""What endpoints say of themselves in the header fields of their responses.

Each kind of signal is one class in the registry ``SIGNALS``: it decodes the field and
keeps what one endpoint has said. Entry hosts read all registered signals in each
response (``relay``) and obey them in the selection of endpoints (``placing``).
"""

from hawthornspoke.signals._backoff import BACKOFF, Backoff
from hawthornspoke.signals._leaving import LEAVING, Leaving
from hawthornspoke.signals._load import LOAD, Load, ReportedLoad, valid_slowdown
from hawthornspoke.signals._messages import SignalChanged, SignalsObserved
from hawthornspoke.signals._rate_limit import RATE_LIMIT, RateLimit
from hawthornspoke.signals._signal import INVALID_SIGNAL, SIGNALS, Signal

__all__ = [
    "BACKOFF",
    "INVALID_SIGNAL",
    "LEAVING",
    "LOAD",
    "RATE_LIMIT",
    "SIGNALS",
    "Backoff",
    "Leaving",
    "Load",
    "RateLimit",
    "ReportedLoad",
    "Signal",
    "SignalChanged",
    "SignalsObserved",
    "valid_slowdown",
]
