"""When a weights version was declared, as far as a process can tell."""

from dataclasses import dataclass

#: Time of a declaration whose time is not known.
UNKNOWN_TIME = float("-inf")

#: Seconds between proven bounds from which a process may go by an assumption. Bounds
#: that are closer date the declaration better than any assumption.
MIN_ASSUMED_GAP = 2.0

#: Lower bounds kept for a declaration. Only those that an upper bound contradicts have
#: to be replaced by lower ones.
MAX_LOWER_BOUNDS = 8


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclarationBounds:
    """Proven bounds on the time of a declaration.

    Parameters
    ----------
    version : int
    earliest : float
        Lower bound in seconds of ``boottime_clock``; ``UNKNOWN_TIME`` if there is none.
    latest : float
        Upper bound, the time at which some process knew of the declaration; infinity if
        there is none.
    """

    version: int
    earliest: float = UNKNOWN_TIME
    latest: float = float("inf")


class Declaration:
    """A declared version and the time of its declaration.

    Requests may start on older weights until a fixed time after a declaration, so its
    time has to be a lower bound: one that is too late lets them start on expired
    weights. Bounds are proven by messages that can't have been sent otherwise. The
    latest proven lower bound counts; one that is later than a proven upper bound is
    wrong, and isn't used.

    After an outage of the platform the proven bound is as old as the outage, and old
    weights would be refused though no host could learn of the declaration before. A
    process that could not read the platform may therefore assume that the version was
    declared at the end of the outage. It doesn't report an assumption to others, and
    goes by it only as far as agents confirm it: see ``DeclaredVersions``.

    Parameters
    ----------
    version : int
    is_from_platform : bool
        False while only agents have reported it.

    Attributes
    ----------
    latest : float
        Proven upper bound.
    outage_ended_at : float
        Assumed lower bound, ``UNKNOWN_TIME`` if nothing is assumed.
    """

    __slots__ = (
        "version",
        "is_from_platform",
        "latest",
        "outage_ended_at",
        "_lower_bounds",
    )

    def __init__(self, *, version, is_from_platform):
        self.version = version
        self.is_from_platform = is_from_platform
        self.latest = float("inf")
        self.outage_ended_at = UNKNOWN_TIME
        self._lower_bounds = []

    @property
    def earliest(self):
        """Latest proven lower bound that no upper bound contradicts."""
        return max(
            (at for at in self._lower_bounds if at <= self.latest),
            default=UNKNOWN_TIME,
        )

    def add_bounds(self, *, earliest, latest):
        """Add proven bounds."""
        self.latest = min(self.latest, latest)
        if earliest == UNKNOWN_TIME or earliest in self._lower_bounds:
            return
        self._lower_bounds = sorted([*self._lower_bounds, earliest])
        # One of the lowest is kept, in case that upper bounds contradict all others.
        del self._lower_bounds[1:-MAX_LOWER_BOUNDS]

    def assume(self, outage_ended_at):
        """Assume that the version was not declared before the end of an outage."""
        self.outage_ended_at = max(self.outage_ended_at, outage_ended_at)

    def lower_bound(self, unaware_until):
        """Return the time to go by.

        Parameters
        ----------
        unaware_until : float
            Until when agents are known not to have heard of the declaration.

        Returns
        -------
        float
            ``UNKNOWN_TIME`` if there is no bound.
        """
        earliest = self.earliest
        if self.latest - earliest < MIN_ASSUMED_GAP:
            return earliest
        assumed = min(self.outage_ended_at, unaware_until, self.latest)
        return max(earliest, assumed)

    def bounds(self):
        """Return the proven bounds as DeclarationBounds."""
        return DeclarationBounds(
            version=self.version, earliest=self.earliest, latest=self.latest
        )
