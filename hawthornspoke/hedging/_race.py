"""State machine of the attempts of one request that are under way at the same time."""

import math
from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptStarted:
    """An attempt is being made.

    Parameters
    ----------
    attempt_id : int
        Unique within the request.
    patience : float
        Seconds without progress after which the attempt counts as silent.
    """

    attempt_id: int
    patience: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ProgressMade:
    """An attempt has brought the next part of the answer.

    Parameters
    ----------
    attempt_id : int
    patience : float
        Seconds until the next progress after which the attempt counts as silent.
    """

    attempt_id: int
    patience: float


@dataclass(slots=True, kw_only=True, frozen=True)
class DataReceived:
    """An attempt has received data, but not yet the next part of the answer.

    Parameters
    ----------
    attempt_id : int
    patience : float
        Seconds without progress after which the attempt counts as silent.
    """

    attempt_id: int
    patience: float


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptEnded:
    """An attempt has failed, or was refused by its endpoint.

    Parameters
    ----------
    attempt_id : int
    was_sent : bool, default=True
        Whether an endpoint may have received the request.
    retry_at : float, default=-math.inf
        Time before which no other attempt is made beside those under way.
    """

    attempt_id: int
    was_sent: bool = True
    retry_at: float = -math.inf


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptDenied:
    """The attempt that was wanted can't be made.

    Parameters
    ----------
    retry_at : float
        Time from which it may be asked for again; ``math.inf`` for never.
    """

    retry_at: float = math.inf


@dataclass(slots=True, kw_only=True, frozen=True)
class TimePassed:
    """No attempt has made progress until now."""


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptSilent:
    """An attempt has made no progress within its patience."""

    attempt_id: int


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptWanted:
    """Another attempt should be made.

    Parameters
    ----------
    is_hedge : bool
        Whether other attempts are still under way, so that nothing is lost without it.
    """

    is_hedge: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptAbandoned:
    """Another attempt was faster; this one should be cancelled."""

    attempt_id: int


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestLost:
    """No attempt is under way any more, and no other one can be made."""


@MACHINES.register("attempt_race")
class AttemptRace(Machine):
    """Decides which attempts of one request go on, and when another one is made.

    Parameters
    ----------
    max_attempts : int, default=2
        Number of endpoints to which the request may be sent.
    is_repeatable : bool, default=True
        Whether a second attempt may be made beside one that may be running.

    Attributes
    ----------
    silent_at_by_id : dict of int to float
        When each attempt under way counts as silent unless it makes progress.
    silent_ids : set of int
        Attempts under way that are silent.
    sent : int
        Number of attempts that were made, without those that were never sent.

    Notes
    -----
    Silence is evidence of a delay, not of a failure: an endpoint that is silent may go
    on at any time. So an attempt ends only if its connection breaks, its endpoint
    refuses the request, or another attempt is faster.
    """

    __slots__ = (
        "max_attempts",
        "is_repeatable",
        "silent_at_by_id",
        "silent_ids",
        "sent",
        "_next_attempt_at",
        "_is_wanted",
    )
    PARAMS = {
        "max_attempts": Bounds(kind=int, low=1),
        "is_repeatable": Bounds(kind=bool),
    }

    def __init__(self, *, max_attempts=2, is_repeatable=True):
        self.max_attempts = max_attempts
        self.is_repeatable = is_repeatable
        self.silent_at_by_id = {}
        self.silent_ids = set()
        self.sent = 0
        self._next_attempt_at = -math.inf
        self._is_wanted = False

    @property
    def wake_at(self):
        """Time at which ``TimePassed`` is due; ``math.inf`` if it isn't needed."""
        unnoticed = [
            at
            for attempt_id, at in self.silent_at_by_id.items()
            if attempt_id not in self.silent_ids
        ]
        return min(self._hedge_at(), *unnoticed, math.inf)

    def on_attempt_started(self, message, *, now):
        """Record an attempt."""
        self._is_wanted = False
        self.sent += 1
        self.silent_at_by_id[message.attempt_id] = now + message.patience
        return []

    def on_progress_made(self, message, *, now):
        """Keep the attempt that has brought the next part of the answer.

        Returns
        -------
        list of AttemptAbandoned
        """
        others = [item for item in self.silent_at_by_id if item != message.attempt_id]
        self.silent_at_by_id = {message.attempt_id: now + message.patience}
        self.silent_ids.clear()
        if self._next_attempt_at < math.inf:
            self._next_attempt_at = -math.inf
        return [AttemptAbandoned(attempt_id=item) for item in others]

    def on_data_received(self, message, *, now):
        """Start the patience with an attempt anew."""
        self.silent_at_by_id[message.attempt_id] = now + message.patience
        self.silent_ids.discard(message.attempt_id)
        return []

    def on_attempt_ended(self, message, *, now):
        """Ask for another attempt if no other one is under way.

        Returns
        -------
        list of AttemptWanted or RequestLost
        """
        self.silent_at_by_id.pop(message.attempt_id, None)
        self.silent_ids.discard(message.attempt_id)
        if not message.was_sent:
            self.sent -= 1
        if self.silent_at_by_id or self._is_wanted:
            self._next_attempt_at = max(self._next_attempt_at, message.retry_at)
            return []
        if self.sent >= self.max_attempts:
            return [RequestLost()]
        return self._want(is_hedge=False)

    def on_attempt_denied(self, message, *, now):
        """Wait for the attempts under way, if there are any.

        Returns
        -------
        list of RequestLost
        """
        self._is_wanted = False
        self._next_attempt_at = message.retry_at
        return [] if self.silent_at_by_id else [RequestLost()]

    def on_time_passed(self, message, *, now):
        """Note silent attempts, and ask for another one if all of them are silent.

        Returns
        -------
        list of AttemptSilent or AttemptWanted
        """
        outcomes = []
        for attempt_id, at in self.silent_at_by_id.items():
            if now >= at and attempt_id not in self.silent_ids:
                self.silent_ids.add(attempt_id)
                outcomes.append(AttemptSilent(attempt_id=attempt_id))
        if now >= self._hedge_at():
            outcomes += self._want(is_hedge=True)
        return outcomes

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "sent": self.sent,
            "silent_in_by_id": {
                str(key): round(at - now, 3) for key, at in self.silent_at_by_id.items()
            },
        }

    def _hedge_at(self):
        """Return when a second attempt is due; ``math.inf`` if it may not be made."""
        if (
            not self.is_repeatable
            or not self.silent_at_by_id
            or self._is_wanted
            or self.sent >= self.max_attempts
        ):
            return math.inf
        return max(self._next_attempt_at, *self.silent_at_by_id.values())

    def _want(self, *, is_hedge):
        self._is_wanted = True
        return [AttemptWanted(is_hedge=is_hedge)]
