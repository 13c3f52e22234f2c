"""Division of an endpoint's rate limit among entry hosts, by permits for requests."""

from hawthornspoke.permits._allocator import LIMIT_LIFETIME, PermitAllocator
from hawthornspoke.permits._messages import (
    PermitClaimed,
    PermitsDenied,
    PermitsGranted,
    RateLimitReported,
    RateLimitUpdated,
)
from hawthornspoke.permits._wire import (
    decode_claim,
    decode_grant,
    decode_rate_limits,
    decode_reports,
    encode_claim,
    encode_grant,
    encode_rate_limit,
    encode_report,
)

__all__ = [
    "LIMIT_LIFETIME",
    "PermitAllocator",
    "PermitClaimed",
    "PermitsDenied",
    "PermitsGranted",
    "RateLimitReported",
    "RateLimitUpdated",
    "decode_claim",
    "decode_grant",
    "decode_rate_limits",
    "decode_reports",
    "encode_claim",
    "encode_grant",
    "encode_rate_limit",
    "encode_report",
]
