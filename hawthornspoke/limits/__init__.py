"""Rate limits of organisations, shared by all entry hosts."""

from hawthornspoke.limits._shares import (
    AdmissionRequest,
    Admitted,
    DemandReported,
    PeersKnown,
    RateLimited,
    RateShares,
    SetLimits,
)

__all__ = [
    "AdmissionRequest",
    "Admitted",
    "DemandReported",
    "PeersKnown",
    "RateLimited",
    "RateShares",
    "SetLimits",
]
