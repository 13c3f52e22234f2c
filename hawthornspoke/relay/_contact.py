"""State machine for the age of the last confirmation from the platform.

Each response of the platform confirms that this host's configuration was current.
"""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Share of ``keys_valid_for`` after which a host without a confirmation reports itself
#: not ready, so that callers use other hosts. The platform responds every two seconds,
#: so a single late response doesn't trigger this.
STABLE_SHARE = 0.6


@dataclass(slots=True, kw_only=True, frozen=True)
class Confirmed:
    """The platform responded.

    Parameters
    ----------
    at : float
        Time at which the state known to this process was current: the earliest time
        at which the platform can have produced its response.
    """

    at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadFailed:
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
    """The platform can no longer be read."""

    reason: str


@MACHINES.register("contact")
class PlatformContact(Machine):
    """Decides whether API keys may still be trusted.

    A key can be revoked while this host is cut off from the platform, and requests
    with it would run long after the operators were told that it is revoked. So all
    keys are refused once the last confirmation is too old, whatever the cause.

    Parameters
    ----------
    keys_valid_for : float, default=4.6
        Seconds after a confirmation for which keys are trusted. Revocations have to
        take effect within 5 s; the rest is for the time that a request needs from the
        check of its key to the endpoint.
    changes_bind_after : float, default=2.0
        Seconds within which a change of the configuration must take effect.

    Notes
    -----
    ``now`` must be on a clock that includes the time for which the host is suspended.
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
        """Record a response of the platform."""
        if self.confirmed_at is None or message.at > self.confirmed_at:
            self.confirmed_at = message.at
        if self.connected is False:
            self.regained_at = now
        changed, self.connected = self.connected is not True, True
        if not changed:
            return []
        return [ContactRegained(silent_for=round(now - self.confirmed_at, 3))]

    def on_read_failed(self, message, *, now):
        """Record a failed call to the platform."""
        changed, self.connected = self.connected is not False, False
        return [ContactLost(reason=message.reason)] if changed else []

    def keys_trusted(self, *, now):
        """Return whether a known key may be used.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return self._confirmed_within(self.keys_valid_for, now)

    def may_reject(self, *, now):
        """Return whether an unknown key or route may be refused permanently.

        A key or a route may have been added since the last confirmation, and callers
        don't retry after a permanent refusal. A host whose confirmation is older than
        ``changes_bind_after`` refuses temporarily instead, so that the caller tries
        another host.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return self._confirmed_within(self.changes_bind_after, now)

    def is_stable(self, *, now):
        """Return whether callers should keep using this host.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            False some time before keys are no longer trusted: the load balancer needs
            two seconds to direct new callers elsewhere.
        """
        return self._confirmed_within(self.keys_valid_for * STABLE_SHARE, now)

    def _confirmed_within(self, seconds, now):
        return self.confirmed_at is not None and now < self.confirmed_at + seconds

    def age(self, *, now):
        """Return the age of the last confirmation in seconds, None before the first."""
        return None if self.confirmed_at is None else round(now - self.confirmed_at, 3)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"connected": self.connected, "age": self.age(now=now)}
