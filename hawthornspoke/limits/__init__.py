"""Limits of an organisation, held by all entry hosts together."""

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
