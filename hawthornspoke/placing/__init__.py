"""Endpoint selection and admission of requests."""

from hawthornspoke.placing._fleet import Fleet
from hawthornspoke.placing._load_estimate import RequestRates
from hawthornspoke.placing._messages import (
    AgentLost,
    CatalogChanged,
    DeclarationTimesUpdated,
    EndpointEjected,
    EndpointReadmitted,
    EndpointResponded,
    EndpointSilent,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    EvacuationsChanged,
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
    "DeclarationTimesUpdated",
    "EndpointEjected",
    "EndpointReadmitted",
    "EndpointResponded",
    "EndpointSilent",
    "EndpointsListed",
    "EngineReported",
    "EntryHostsUpdated",
    "EvacuationsChanged",
    "Fleet",
    "Placement",
    "PlacementRecheck",
    "PlacementRequest",
    "Rejection",
    "RequestFinished",
    "RequestRates",
    "RequestSent",
    "WeightsDeclared",
]
