"""Messages of the permit allocator."""

from dataclasses import dataclass

from hawthornspoke.catalog import UNKNOWN_START, Incarnation


@dataclass(slots=True, kw_only=True, frozen=True)
class RateLimitReported:
    """An entry host learned the rate limit of an endpoint from a response.

    Parameters
    ----------
    endpoint_id : str
    rate : float or None
        Requests per second from all entry hosts together; None if the endpoint names no
        limit any more.
    incarnation : Incarnation
        Incarnation (process run) of the endpoint that responded.
    learned_at : float or None
        Time of the response, on the clock of the machine, if the report is repeated;
        None if it has just been received.
    """

    endpoint_id: str
    rate: float | None
    incarnation: Incarnation = UNKNOWN_START
    learned_at: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class RateLimitUpdated:
    """The rate limit of an endpoint changed; all entry hosts should know of it.

    The parameters are those of ``RateLimitReported``, but for the time.
    """

    endpoint_id: str
    rate: float | None
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class PermitClaimed:
    """An entry host asks for permits to send requests to an endpoint with a limit.

    Parameters
    ----------
    endpoint_id : str
    rate : float
        Limit that the entry host knows, in requests per second.
    incarnation : Incarnation
    wanted : int, default=1
        Number of permits that the entry host could use now.
    first_delay : float, default=0.0
        Additional seconds before the first permit of a limit that wasn't known.
    """

    endpoint_id: str
    rate: float
    incarnation: Incarnation = UNKNOWN_START
    wanted: int = 1
    first_delay: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class PermitsGranted:
    """An entry host may send requests to an endpoint.

    Parameters
    ----------
    endpoint_id : str
    count : int
        Number of requests.
    usable_at, expires_at : float
        Time range for sending them, on the clock of the machine.
    incarnation : Incarnation
    """

    endpoint_id: str
    count: int
    usable_at: float
    expires_at: float
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class PermitsDenied:
    """All permits of the near future are granted to other entry hosts.

    Parameters
    ----------
    endpoint_id : str
    retry_at : float
        Time of the next claim, on the clock of the machine.
    incarnation : Incarnation
    """

    endpoint_id: str
    retry_at: float
    incarnation: Incarnation = UNKNOWN_START
