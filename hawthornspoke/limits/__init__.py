"""Rate limits of organisations, shared by all entry hosts."""

from hawthornspoke.limits._shares import (
    AdmissionRequest,
    Admitted,
    ClaimantsUpdated,
    DemandReported,
    RateLimited,
    RateShares,
    SetLimits,
)

__all__ = [
    "AdmissionRequest",
    "Admitted",
    "DemandReported",
    "ClaimantsUpdated",
    "RateLimited",
    "RateShares",
    "SetLimits",
]
