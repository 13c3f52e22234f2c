"""Retry budget: whether a failed attempt may be retried."""

from hawthornspoke.retries._budget import (
    OUT_OF_BUDGET,
    RequestCounted,
    RetryAllowed,
    RetryBudget,
    RetryCharge,
    RetryDenied,
    RetryRequest,
    RetrySent,
    RetryUnused,
)

__all__ = [
    "OUT_OF_BUDGET",
    "RequestCounted",
    "RetryAllowed",
    "RetryBudget",
    "RetryCharge",
    "RetryDenied",
    "RetryRequest",
    "RetrySent",
    "RetryUnused",
]
