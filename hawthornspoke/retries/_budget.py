"""Retries as a fraction of successes."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine

OUT_OF_BUDGET = Failure(code="retry_budget_spent")
NOT_REPEATABLE = Failure(code="not_repeatable")
NO_TIME = Failure(code="no_time_to_retry")


@dataclass(slots=True, kw_only=True, frozen=True)
class Succeeded:
    """A request was answered."""


@dataclass(slots=True, kw_only=True, frozen=True)
class AskRetry:
    """An attempt failed and another is wanted.

    Parameters
    ----------
    repeatable : bool
        False for a request that is marked as not to be repeated.
    was_run : bool
        False only if it is proved that the attempt was not run.
    deadline : float
        Of the request.
    """

    repeatable: bool
    was_run: bool
    deadline: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryAllowed:
    """Try another endpoint."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryDenied:
    """Give the request up now."""

    failure: object


@MACHINES.register("retry_budget")
class RetryBudget(Machine):
    """A bucket that successes fill and retries empty.

    Parameters
    ----------
    ratio : float, default=0.1
        Retries earned by one success.
    reserve : float, default=10.0
        Retries that the bucket holds at most, and at the start.

    Notes
    -----
    When endpoints fail because they are overloaded, retries add to the load
    that makes them fail, and the overload goes on after its cause is gone.
    With a budget the load sent is at most ``1 + ratio`` times that received.
    """

    __slots__ = ("ratio", "reserve", "tokens", "allowed", "denied_by_code")
    PARAMS = {
        "ratio": Bounds(kind=(int, float), low=0, high=1),
        "reserve": Bounds(kind=(int, float), low=0),
    }

    def __init__(self, *, ratio=0.1, reserve=10.0):
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = float(reserve)
        self.allowed = 0
        self.denied_by_code = {}

    def on_succeeded(self, message, *, now):
        """Earn a part of a retry."""
        self.tokens = min(float(self.reserve), self.tokens + self.ratio)
        return []

    def on_ask_retry(self, message, *, now):
        """Allow or deny a retry.

        Parameters
        ----------
        message : AskRetry
        now : float

        Returns
        -------
        list of RetryAllowed or RetryDenied
        """
        if message.was_run and not message.repeatable:
            return [self._deny(NOT_REPEATABLE)]
        if now >= message.deadline:
            return [self._deny(NO_TIME)]
        if self.tokens < 1.0:
            return [self._deny(OUT_OF_BUDGET)]
        self.tokens -= 1.0
        self.allowed += 1
        return [RetryAllowed()]

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "tokens": round(self.tokens, 2),
            "allowed": self.allowed,
            "denied_by_code": dict(self.denied_by_code),
        }

    def _deny(self, failure):
        count = self.denied_by_code.get(failure.code, 0)
        self.denied_by_code[failure.code] = count + 1
        return RetryDenied(failure=failure)
