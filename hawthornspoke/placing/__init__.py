"""Endpoint selection and admission of requests."""

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
    WeightsDated,
    WeightsDeclared,
)

__all__ = [
    "AgentLost",
    "Ask",
    "CatalogChanged",
    "Decline",
    "EndpointsListed",
    "EngineReported",
    "EntryHostsSeen",
    "Finished",
    "Fleet",
    "LoadSeen",
    "Place",
    "Recheck",
    "Sent",
    "WeightsDated",
    "WeightsDeclared",
]
