"""Rate limits of organisations, shared by all entry hosts."""

from hawthornspoke.limits._shares import (
    Admitted,
    DemandHeard,
    Limited,
    PeersKnown,
    RateShares,
    Request,
    SetLimits,
)

__all__ = [
    "Admitted",
    "DemandHeard",
    "Limited",
    "PeersKnown",
    "RateShares",
    "Request",
    "SetLimits",
]
