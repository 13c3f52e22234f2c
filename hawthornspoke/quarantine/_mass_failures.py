"""Detects ends of endpoints that no request has caused, as many end at once."""

from hawthornspoke.quarantine._blame import SIMULTANEOUS_WINDOW

#: Number of endpoints that end together, and their share of the endpoints in use by a
#: host, from which the cause is assumed not to be a request: no request runs at that
#: many endpoints at once.
MIN_MASS_ENDS = 2
MIN_MASS_SHARE = 0.75


class _RecentEnd:
    """The end of an endpoint as seen by this host."""

    __slots__ = ("at", "features")

    def __init__(self, *, at):
        self.at = at
        self.features = set()


class MassFailures:
    """Keeps the most recent ends of endpoints, which count as one event."""

    __slots__ = ("_end_by_incarnation",)

    def __init__(self):
        self._end_by_incarnation = {}

    def record(self, message, *, known, now):
        """Add an end, and those of idle endpoints that were found with it.

        Parameters
        ----------
        message : EndpointEnded
        known : set of str
            Incarnations that had ended before.
        now : float
        """
        end = self._end_by_incarnation.setdefault(
            message.incarnation_id, _RecentEnd(at=now)
        )
        end.features.update(message.fingerprints)
        # Idle endpoints that are known to have ended earlier, perhaps by the same
        # request, don't show that this end is part of a mass failure.
        if known.isdisjoint(message.idle_ended):
            for incarnation_id in message.idle_ended:
                self._end_by_incarnation[incarnation_id] = _RecentEnd(at=now)
        for incarnation_id, recent in list(self._end_by_incarnation.items()):
            if now >= recent.at + SIMULTANEOUS_WINDOW:
                del self._end_by_incarnation[incarnation_id]

    def is_mass_failure(self, message):
        """Return whether most endpoints in use have ended together.

        Parameters
        ----------
        message : EndpointEnded

        Returns
        -------
        bool
        """
        ended_together = len(self._end_by_incarnation)
        in_use = ended_together + message.other_endpoints_in_use
        return (
            ended_together >= MIN_MASS_ENDS
            and ended_together >= MIN_MASS_SHARE * in_use
        )

    def incarnations(self):
        """Return the incarnations that ended recently."""
        return self._end_by_incarnation.keys()

    def partly_present(self):
        """Return the features that ran at only some of the endpoints.

        Returns
        -------
        list of tuple of (str, str)
            Features with the incarnations at which they ran.
        """
        return [
            (feature, incarnation_id)
            for incarnation_id, end in self._end_by_incarnation.items()
            for feature in end.features
            if self._count_absences(feature) >= MIN_MASS_ENDS - 1
        ]

    def _count_absences(self, feature):
        ends = self._end_by_incarnation.values()
        return sum(feature not in end.features for end in ends)
