"""Retry budget: whether a failed attempt may be retried."""

from hawthornspoke.retries._budget import (
    OUT_OF_BUDGET,
    RequestCounted,
    RetryAllowed,
    RetryBudget,
    RetryCharge,
    RetryDenied,
    RetryGrant,
    RetryRequest,
    RetryUnused,
)
from hawthornspoke.retries._ledger import (
    MEMORY,
    SEND_TIME,
    ConnectionLost,
    RetriesReported,
    RetryHistory,
    RetryLedger,
)
from hawthornspoke.retries._reserve import (
    EVERY_SERVICE,
    MAX_GRANTS,
    ReservedRetries,
    ReserveEmpty,
    ReserveGranted,
    ReserveRequested,
    RetryReserve,
)
from hawthornspoke.retries._wire import (
    decode_history,
    decode_use,
    encode_history,
    encode_use,
)

__all__ = [
    "EVERY_SERVICE",
    "MAX_GRANTS",
    "MEMORY",
    "OUT_OF_BUDGET",
    "SEND_TIME",
    "ConnectionLost",
    "ReserveEmpty",
    "ReserveGranted",
    "ReserveRequested",
    "ReservedRetries",
    "RetriesReported",
    "RequestCounted",
    "RetryAllowed",
    "RetryBudget",
    "RetryCharge",
    "RetryDenied",
    "RetryGrant",
    "RetryHistory",
    "RetryLedger",
    "RetryRequest",
    "RetryReserve",
    "RetryUnused",
    "decode_history",
    "decode_use",
    "encode_history",
    "encode_use",
]
