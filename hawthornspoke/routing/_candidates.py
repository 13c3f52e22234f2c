"""Input of the routing policies."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Candidate:
    """An endpoint that can serve a request now.

    Parameters
    ----------
    node : str
    near : bool
        Whether it is in this entry host's failure domain.
    load : float
        Estimated running and waiting requests per slot.
    in_flight : int
        Requests that this entry host has in flight there.
    slots : int
        Maximum number of concurrent requests.
    latency : float
        Smoothed time to first byte in seconds, 0.0 without samples.
    """

    node: str
    near: bool
    load: float
    in_flight: int
    slots: int
    latency: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestTraits:
    """Properties of a request that a policy may use.

    Parameters
    ----------
    service : str
    prefix : str
        Hash of the start of the prompt, empty without a prompt. Requests that share
        it profit from an endpoint that caches this prefix.
    """

    service: str
    prefix: str = ""
