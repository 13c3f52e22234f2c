"""Endpoint selection and admission of requests."""

from hawthornspoke.placing._fleet import Fleet
from hawthornspoke.placing._messages import (
    AgentLost,
    CatalogChanged,
    DeclarationTimesUpdated,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    LoadObserved,
    Placement,
    PlacementRecheck,
    PlacementRequest,
    RateLimitChanged,
    RateLimitObserved,
    Rejection,
    RequestFinished,
    RequestSent,
    WeightsDeclared,
)

__all__ = [
    "AgentLost",
    "CatalogChanged",
    "DeclarationTimesUpdated",
    "EndpointsListed",
    "EngineReported",
    "EntryHostsUpdated",
    "Fleet",
    "LoadObserved",
    "Placement",
    "PlacementRecheck",
    "PlacementRequest",
    "RateLimitChanged",
    "RateLimitObserved",
    "Rejection",
    "RequestFinished",
    "RequestSent",
    "WeightsDeclared",
]
