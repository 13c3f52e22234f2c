"""Retry budget: whether a failed attempt may be retried."""

from hawthornspoke.retries._budget import (
    AskRetry,
    RetryAllowed,
    RetryBudget,
    RetryDenied,
    Succeeded,
)

__all__ = ["AskRetry", "RetryAllowed", "RetryBudget", "RetryDenied", "Succeeded"]
