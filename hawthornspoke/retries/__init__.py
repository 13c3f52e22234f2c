"""Retry budget: whether a failed attempt may be retried."""

from hawthornspoke.retries._budget import (
    OUT_OF_BUDGET,
    RequestSucceeded,
    RetryAllowed,
    RetryBudget,
    RetryCharge,
    RetryDenied,
    RetryRequest,
    RetryUnused,
)

__all__ = [
    "OUT_OF_BUDGET",
    "RequestSucceeded",
    "RetryAllowed",
    "RetryBudget",
    "RetryCharge",
    "RetryDenied",
    "RetryRequest",
    "RetryUnused",
]
