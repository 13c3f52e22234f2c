"""Endpoint selection and admission of requests."""

from hawthornspoke.placing._fleet import Fleet
from hawthornspoke.placing._messages import (
    AgentLost,
    CatalogChanged,
    DeclarationDatesUpdated,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    LoadObserved,
    Placement,
    PlacementRecheck,
    PlacementRequest,
    Rejection,
    RequestFinished,
    RequestSent,
    WeightsDeclared,
)

__all__ = [
    "AgentLost",
    "CatalogChanged",
    "DeclarationDatesUpdated",
    "EndpointsListed",
    "EngineReported",
    "EntryHostsUpdated",
    "Fleet",
    "LoadObserved",
    "Placement",
    "PlacementRecheck",
    "PlacementRequest",
    "Rejection",
    "RequestFinished",
    "RequestSent",
    "WeightsDeclared",
]
