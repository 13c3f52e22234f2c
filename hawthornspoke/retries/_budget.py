"""State machine that limits retries to a fraction of successful requests."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine

OUT_OF_BUDGET = Failure(code="retry_budget_spent")
NOT_REPEATABLE = Failure(code="not_repeatable")
NO_TIME = Failure(code="no_time_to_retry")


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestSucceeded:
    """A request succeeded."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryRequest:
    """Asks whether a failed attempt may be retried.

    Parameters
    ----------
    repeatable : bool
        False for a request that is marked as not repeatable.
    was_run : bool
        False only if the attempt is known not to have run.
    deadline : float
        Deadline of the request on the monotonic clock.
    """

    repeatable: bool
    was_run: bool
    deadline: float


class RetryCharge:
    """What the budget was charged for one retry.

    Parameters
    ----------
    at : float
        Time of the charge on the budget's clock.
    """

    __slots__ = ("at",)

    def __init__(self, *, at):
        self.at = at


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryAllowed:
    """The request may be sent to another endpoint."""

    charge: RetryCharge


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryUnused:
    """A retry that was allowed has not been sent."""

    charge: RetryCharge


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryDenied:
    """The request must not be retried."""

    failure: object


@MACHINES.register("retry_budget")
class RetryBudget(Machine):
    """Token bucket that successful requests fill and retries drain.

    Parameters
    ----------
    ratio : float, default=0.1
        Tokens added by one success; a retry takes one token.
    reserve : float, default=10.0
        Capacity of the bucket, which is full at the start.

    Notes
    -----
    If endpoints fail because they are overloaded, retries add to the load that makes
    them fail, and the overload persists after its cause is gone. Once the reserve is
    used up, the budget limits the requests sent to at most ``1 + ratio`` times those
    received.
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

    def on_request_succeeded(self, message, *, now):
        """Add the tokens earned by a success."""
        self.tokens = min(float(self.reserve), self.tokens + self.ratio)
        return []

    def on_retry_unused(self, message, *, now):
        """Return the token of a retry."""
        self.tokens = min(float(self.reserve), self.tokens + 1.0)
        self.allowed -= 1
        return []

    def on_retry_request(self, message, *, now):
        """Allow or deny a retry.

        Parameters
        ----------
        message : RetryRequest
        now : float

        Returns
        -------
        list of RetryAllowed or RetryDenied
        """
        failure = self.denial(message, now=now)
        if failure is not None:
            return [self._deny(failure)]
        self.tokens -= 1.0
        self.allowed += 1
        return [RetryAllowed(charge=RetryCharge(at=now))]

    def denial(self, message, *, now):
        """Return why a retry would be denied now, None if it would be allowed.

        Parameters
        ----------
        message : RetryRequest
        now : float

        Returns
        -------
        Failure or None
        """
        if message.was_run and not message.repeatable:
            return NOT_REPEATABLE
        if now >= message.deadline:
            return NO_TIME
        if self.tokens < 1.0:
            return OUT_OF_BUDGET
        return None

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
