"""Whether a failed attempt may be made again."""

from hawthornspoke.retries._budget import (
    AskRetry,
    RetryAllowed,
    RetryBudget,
    RetryDenied,
    Succeeded,
)

__all__ = ["AskRetry", "RetryAllowed", "RetryBudget", "RetryDenied", "Succeeded"]
