"""What a host knows of the engines that all entry hosts share."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class SharedCapacity:
    """The engines that may serve a request, and the entry hosts that share them.

    Parameters
    ----------
    engines : int
    slots : int
        Of each engine.
    mean_load : float
        Mean number of requests at an engine, running and waiting.
    release_interval : float
        Mean interval in seconds at which a full engine releases slots.
    hosts : int
        Entry hosts, each assumed to get as many requests as this one.
    """

    engines: int
    slots: int
    mean_load: float
    release_interval: float
    hosts: int


@dataclass(slots=True, kw_only=True, frozen=True)
class AdmissionLimit:
    """What one request may take of the engines while they are scarce.

    Parameters
    ----------
    reserved_slots : float or None
        Slots of an engine that the request has to leave free. With 0, it needs a free
        slot; None if it may also wait for one. With ``NO_SLOT``, it is refused.
    queue_share : float
        Share of an engine's waiting requests that it starts before this one, from 0 to
        1.
    scarcity : float
        From 0 to 1, as of the decision.
    step : float
        Urgency of the request, 0 for the most urgent rank.
    """

    reserved_slots: float | None
    queue_share: float
    scarcity: float
    step: float


#: Reserve that no engine can meet.
NO_SLOT = float("inf")
