"""Retry budget: whether a failed attempt may be retried."""

from hawthornspoke.retries._budget import (
    RequestSucceeded,
    RetryAllowed,
    RetryBudget,
    RetryDenied,
    RetryRequest,
)

__all__ = [
    "RequestSucceeded",
    "RetryAllowed",
    "RetryBudget",
    "RetryDenied",
    "RetryRequest",
]
