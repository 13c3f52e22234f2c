"""How long ago the platform's word was last known to be true: a state machine."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Part of the time for which keys are trusted after which a host that has heard
#: nothing sends its callers elsewhere. Answers come every two seconds, so one late
#: answer is no reason yet.
STABLE_SHARE = 0.6


@dataclass(slots=True, kw_only=True, frozen=True)
class Confirmed:
    """The platform answered.

    Parameters
    ----------
    at : float
        A moment at which what this process believes was true: the earliest at
        which the platform may have made its answer.
    """

    at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Lost:
    """The platform could not be read.

    Parameters
    ----------
    reason : str
    """

    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ContactRegained:
    """The platform can be read again."""

    silent_for: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ContactLost:
    """The platform can't be read."""

    reason: str


@MACHINES.register("contact")
class Contact(Machine):
    """Tells whether keys may still be trusted.

    A key can be revoked while this host is cut off. One would notice by requests
    that run long after the operators were told that the key is dead. So keys are
    refused once the platform's word is too old, whoever's fault that is.

    Parameters
    ----------
    keys_valid_for : float, default=4.6
        Seconds after a confirmation for which keys are trusted. Revocations bind
        after 5 s, and a request needs some time from the check to the endpoint.
    changes_bind_after : float, default=2.0
        Seconds after which a change of the configuration has to be in force.

    Notes
    -----
    ``now`` must be on a clock that goes on while the host is suspended.
    """

    __slots__ = (
        "keys_valid_for",
        "changes_bind_after",
        "confirmed_at",
        "connected",
        "regained_at",
    )
    PARAMS = {
        "keys_valid_for": Bounds(kind=(int, float), low=0),
        "changes_bind_after": Bounds(kind=(int, float), low=0),
    }

    def __init__(self, *, keys_valid_for=4.6, changes_bind_after=2.0):
        self.keys_valid_for = keys_valid_for
        self.changes_bind_after = changes_bind_after
        self.confirmed_at = None
        self.connected = None
        self.regained_at = float("-inf")

    def on_confirmed(self, message, *, now):
        """Take an answer of the platform."""
        if self.confirmed_at is None or message.at > self.confirmed_at:
            self.confirmed_at = message.at
        if self.connected is False:
            self.regained_at = now
        changed, self.connected = self.connected is not True, True
        if not changed:
            return []
        return [ContactRegained(silent_for=round(now - self.confirmed_at, 3))]

    def on_lost(self, message, *, now):
        """Take that a call failed."""
        changed, self.connected = self.connected is not False, False
        return [ContactLost(reason=message.reason)] if changed else []

    def keys_trusted(self, *, now):
        """Tell whether a key that is known may be used.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return self._heard_within(self.keys_valid_for, now)

    def may_deny(self, *, now):
        """Tell whether what is not in the configuration may be refused for good.

        A key or a route may have been added since the platform's last word. A caller
        that is told so is not to return, so a host whose word is older than changes
        may take says that it can't tell, and the caller goes to another one.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return self._heard_within(self.changes_bind_after, now)

    def is_stable(self, *, now):
        """Tell whether callers had better stay at this host.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            False some time before keys are no longer trusted: the balancer needs
            two seconds to send new callers elsewhere.
        """
        return self._heard_within(self.keys_valid_for * STABLE_SHARE, now)

    def _heard_within(self, seconds, now):
        return self.confirmed_at is not None and now < self.confirmed_at + seconds

    def age(self, *, now):
        """Return the age of the platform's word in seconds, None if none."""
        return None if self.confirmed_at is None else round(now - self.confirmed_at, 3)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"connected": self.connected, "age": self.age(now=now)}
