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
    Recheck,
    Sent,
    WeightsDeclared,
)
from hawthornspoke.placing._weights import UNKNOWN, DeclaredVersions, age_of

__all__ = [
    "UNKNOWN",
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
    "Recheck",
    "Sent",
    "WeightsDeclared",
    "age_of",
]
