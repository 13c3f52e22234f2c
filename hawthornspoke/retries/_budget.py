"""State machine that limits retries to a fraction of requests and an allowance."""

import math
from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine, SlidingCount

OUT_OF_BUDGET = Failure(code="retry_budget_spent")
NOT_REPEATABLE = Failure(code="not_repeatable")
NO_TIME = Failure(code="no_time_to_retry")


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestCounted:
    """A request earned a fraction of a retry, for itself or others."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryRequest:
    """Asks whether a retry may be sent, right before it is.

    Parameters
    ----------
    repeatable : bool
        False for a request that is marked as not repeatable.
    was_run : bool
        False only if the attempt is known not to have run.
    deadline : float
        Deadline of the request on the budget's clock.
    """

    repeatable: bool
    was_run: bool
    deadline: float


class RetryGrant:
    """Retries out of the reserve that all hosts share.

    Parameters
    ----------
    left : int
    deadline : float
        Time until which they may be sent, on the budget's clock.
    """

    __slots__ = ("left", "deadline")

    def __init__(self, *, left, deadline):
        self.left = left
        self.deadline = deadline


class RetryCharge:
    """What the budget was charged for one retry.

    Parameters
    ----------
    at : float
        Time of the charge on the budget's clock.
    grant : RetryGrant or None, default=None
        What it was taken from, None for the share of this host.
    """

    __slots__ = ("at", "grant")

    def __init__(self, *, at, grant=None):
        self.at = at
        self.grant = grant


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryAllowed:
    """The retry may be sent now."""

    charge: RetryCharge


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryUnused:
    """A retry that was allowed couldn't be sent."""

    charge: RetryCharge


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryDenied:
    """The request must not be retried."""

    failure: object


@MACHINES.register("retry_budget")
class RetryBudget(Machine):
    """Limits the retries in any window to a fraction of its requests and an allowance.

    Parameters
    ----------
    ratio : float, default=0.1
        Retries allowed per request.
    allowance : float, default=10.0
        Retries allowed in a window beyond those.
    window : float, default=10.0
        Seconds.
    allowance_from : float, default=-math.inf
        Time from which the allowance may be used: a window after the start of a process
        that doesn't know what another one in its place has used.

    Notes
    -----
    If endpoints fail because they are overloaded, retries add to the load that makes
    them fail, and the overload persists after its cause is gone. The budget bounds the
    requests sent in a window to ``1 + ratio`` times those received and the allowance.

    Until ``allowance_from`` a new budget allows only what its own requests have earned,
    so that several budgets in a row, each without knowledge of the one before, together
    allow no more than one does.
    """

    __slots__ = (
        "ratio",
        "allowance",
        "allowance_from",
        "allowed",
        "denied_by_code",
        "_requests",
        "_past_requests",
        "_charges",
        "_grants",
    )
    PARAMS = {
        "ratio": Bounds(kind=(int, float), low=0, high=1),
        "allowance": Bounds(kind=(int, float), low=0),
        "window": Bounds(kind=(int, float), low=0),
        "allowance_from": Bounds(kind=(int, float)),
    }

    def __init__(
        self, *, ratio=0.1, allowance=10.0, window=10.0, allowance_from=-math.inf
    ):
        self.ratio = ratio
        self.allowance = allowance
        self.allowance_from = allowance_from
        self.allowed = 0
        self.denied_by_code = {}
        self._requests = SlidingCount(window=window)
        self._past_requests = SlidingCount(window=window)
        self._charges = []
        self._grants = []

    @property
    def window(self):
        """Seconds for which requests and retries count."""
        return self._requests.window

    @window.setter
    def window(self, seconds):
        self._requests.window = self._past_requests.window = seconds

    def on_request_counted(self, message, *, now):
        """Count a request."""
        self._requests.add(now)
        return []

    def on_retry_unused(self, message, *, now):
        """Return the charge of a retry."""
        self.allowed -= 1
        charge = message.charge
        if charge.grant is not None:
            charge.grant.left += 1
        elif charge in self._charges:
            self._charges.remove(charge)
        return []

    def add_grant(self, grant):
        """Allow retries beyond the share of this host.

        Parameters
        ----------
        grant : RetryGrant
        """
        self._grants.append(grant)

    def add_past(self, *, counts, requests, before):
        """Charge retries that a process before this one has used; call it once.

        Parameters
        ----------
        counts, requests : sequence of int
            Retries and requests of the last second, of the one before, and so on.
        before : float
            End of the last of these seconds.
        """
        for age, count in enumerate(counts):
            self._charges += [RetryCharge(at=before - age) for _ in range(count)]
        for age in reversed(range(len(requests))):
            # At the begin of its second, so that none counts for too long.
            self._past_requests.add(before - age - 1.0, count=requests[age])

    def left(self, *, now):
        """Return how many retries of this host's share are allowed now.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
            Negative if the allowance has been lowered since retries were sent.
        """
        self._charges = [item for item in self._charges if item.at > now - self.window]
        allowance = self.allowance if now >= self.allowance_from else 0.0
        requests = self._requests.value(now) + self._past_requests.value(now)
        earned = self.ratio * requests
        return earned + allowance - len(self._charges)

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
        # Before the share of this host, which lasts longer.
        grant = self._usable_grant(now)
        charge = RetryCharge(at=now, grant=grant)
        if grant is None:
            self._charges.append(charge)
        else:
            grant.left -= 1
        self.allowed += 1
        return [RetryAllowed(charge=charge)]

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
        if self.left(now=now) < 1.0 and self._usable_grant(now) is None:
            return OUT_OF_BUDGET
        return None

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "left": round(self.left(now=now), 2),
            "granted": sum(item.left for item in self._grants if item.deadline > now),
            "allowance": round(self.allowance, 2),
            "allowed": self.allowed,
            "denied_by_code": dict(self.denied_by_code),
        }

    def _usable_grant(self, now):
        """Return a grant of which something is left, None if there is none."""
        self._grants = [item for item in self._grants if item.deadline > now]
        return next((item for item in self._grants if item.left), None)

    def _deny(self, failure):
        count = self.denied_by_code.get(failure.code, 0)
        self.denied_by_code[failure.code] = count + 1
        return RetryDenied(failure=failure)
