"""What a routing policy sees."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Candidate:
    """An endpoint that may answer a request now.

    Parameters
    ----------
    node : str
    near : bool
        In this entry host's own failure domain.
    load : float
        Estimated requests running and waiting there, per slot.
    in_flight : int
        Requests of this entry host there.
    slots : int
        Requests the endpoint runs at once.
    latency : float
        Smoothed seconds to the first byte, 0.0 if none was seen.
    """

    node: str
    near: bool
    load: float
    in_flight: int
    slots: int
    latency: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestTraits:
    """What a policy may know of a request.

    Parameters
    ----------
    service : str
    prefix : str
        Hash of the start of the prompt, empty if there is none.
    """

    service: str
    prefix: str = ""
