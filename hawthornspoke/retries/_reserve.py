"""State machine that grants retries out of a reserve which all entry hosts share."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Name that stands for each service.
EVERY_SERVICE = ""

#: Fraction of what is left that is granted at once, at least one retry: hosts that
#: start one after the other all get some.
GRANTED_SHARE = 0.25

#: Maximum number of grants that are remembered.
MAX_GRANTS = 500


@dataclass(slots=True, kw_only=True, frozen=True)
class ReservedRetries:
    """Retries that were granted to a host.

    Parameters
    ----------
    service : str
        ``EVERY_SERVICE`` if as many were granted for each one.
    count : int
    until : float
        Time from which they don't count any more.
    """

    service: str
    count: int
    until: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReserveRequested:
    """A host asks for retries.

    Parameters
    ----------
    service : str
        ``EVERY_SERVICE`` for as many for each one.
    use_time : float
        Seconds for which the host may use them.
    """

    service: str
    use_time: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReserveGranted:
    """A host gets retries."""

    count: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ReserveEmpty:
    """All retries are granted.

    Parameters
    ----------
    retry_at : float
        Time at which some of them are free again.
    """

    retry_at: float


@MACHINES.register("retry_reserve")
class RetryReserve(Machine):
    """Grants retries so that no window has more of them than the reserve.

    Parameters
    ----------
    size : int, default=0
        Retries of each service.
    window : float, default=10.0
        Seconds.

    Attributes
    ----------
    grants : list of ReservedRetries

    Notes
    -----
    A grant counts for its time of use and a window more. So all grants that are used in
    a window count at its end, where their sum isn't above the size.
    """

    __slots__ = ("size", "window", "grants")
    PARAMS = {
        "size": Bounds(kind=int, low=0),
        "window": Bounds(kind=(int, float), low=0),
    }

    def __init__(self, *, size=0, window=10.0):
        self.size = size
        self.window = window
        self.grants = []

    def on_reserve_requested(self, message, *, now):
        """Grant some of the retries that are left.

        Returns
        -------
        list of ReserveGranted or ReserveEmpty
        """
        self.grants = [item for item in self.grants if item.until > now]
        left = self._left(message.service)
        if left < 1 or len(self.grants) >= MAX_GRANTS:
            ends = [item.until for item in self.grants]
            return [ReserveEmpty(retry_at=min(ends, default=now + self.window))]
        count = max(1, int(GRANTED_SHARE * left))
        until = now + message.use_time + self.window
        self.grants.append(
            ReservedRetries(service=message.service, count=count, until=until)
        )
        return [ReserveGranted(count=count)]

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"size": self.size, "grants": len(self.grants)}

    def _left(self, service):
        count_by_service = {}
        for item in self.grants:
            count = count_by_service.get(item.service, 0)
            count_by_service[item.service] = count + item.count
        of_every = count_by_service.pop(EVERY_SERVICE, 0)
        if service == EVERY_SERVICE:
            return self.size - of_every - max(count_by_service.values(), default=0)
        return self.size - of_every - count_by_service.get(service, 0)
