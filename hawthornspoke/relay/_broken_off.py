"""Requests that were broken off at endpoints, until it is known whether these ended."""

from hawthornspoke.base import monotonic

#: Seconds from a broken connection within which the platform's list may show that the
#: endpoint had ended, though another process listens there already.
REPLACEMENT_TIME = 5.0


class BrokenOff:
    """Requests that were broken off at one incarnation of an endpoint.

    Attributes
    ----------
    placement : Placement
    service : str
    features : set of str
        Of these requests, as far as they may have crashed the endpoint.
    at : float
        When the first of them was broken off, on the monotonic clock.
    """

    __slots__ = ("placement", "service", "features", "at")

    def __init__(self, *, placement, service):
        self.placement = placement
        self.service = service
        self.features = set()
        self.at = monotonic()


class UnexplainedBreaks:
    """Broken connections of endpoints at whose addresses a process listens.

    Parameters
    ----------
    fleet : Fleet
    """

    __slots__ = ("_fleet", "_broken_by_incarnation")

    def __init__(self, *, fleet):
        self._fleet = fleet
        self._broken_by_incarnation = {}

    def add(self, incarnation_id, broken):
        """Keep requests that were broken off.

        Parameters
        ----------
        incarnation_id : str
        broken : BrokenOff
        """
        known = self._broken_by_incarnation.setdefault(incarnation_id, broken)
        known.features |= broken.features

    def pop_ended(self):
        """Remove and return those at endpoints that another process has replaced.

        Returns
        -------
        list of (str, BrokenOff)
            With their incarnation ids.
        """
        now = monotonic()
        ended = []
        for incarnation_id, broken in list(self._broken_by_incarnation.items()):
            is_replaced = self._fleet.is_replaced(broken.placement)
            if is_replaced or now >= broken.at + REPLACEMENT_TIME:
                del self._broken_by_incarnation[incarnation_id]
            if is_replaced:
                ended.append((incarnation_id, broken))
        return ended
