"""Choosing an endpoint for a request, or refusing it at once."""

from hawthornspoke.placing._fleet import Fleet
from hawthornspoke.placing._messages import (
    AgentLost,
    Ask,
    CatalogChanged,
    Decline,
    EndpointsListed,
    EngineReported,
    EntryHostsSeen,
    Finished,
    LoadSeen,
    Place,
    Sent,
    WeightsDeclared,
)
from hawthornspoke.placing._weights import DeclaredVersions

__all__ = [
    "AgentLost",
    "Ask",
    "CatalogChanged",
    "Decline",
    "DeclaredVersions",
    "EndpointsListed",
    "EngineReported",
    "EntryHostsSeen",
    "Finished",
    "Fleet",
    "LoadSeen",
    "Place",
    "Sent",
    "WeightsDeclared",
]
