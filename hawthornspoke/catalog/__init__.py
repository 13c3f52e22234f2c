"""Configuration and endpoints as the product sees them, whatever the platform."""

from hawthornspoke.catalog._incarnation import UNKNOWN_START, Incarnation
from hawthornspoke.catalog._table import RouteTable, choose_share
from hawthornspoke.catalog._types import (
    AT_MOST_ONCE,
    IDEMPOTENT,
    STREAM,
    CallerLimits,
    Catalog,
    DeclaredWeights,
    EndpointEntry,
    EngineProfile,
    Organisation,
    Route,
    Service,
    Share,
)

__all__ = [
    "AT_MOST_ONCE",
    "IDEMPOTENT",
    "STREAM",
    "UNKNOWN_START",
    "CallerLimits",
    "Catalog",
    "DeclaredWeights",
    "EndpointEntry",
    "EngineProfile",
    "Incarnation",
    "Organisation",
    "Route",
    "RouteTable",
    "Service",
    "Share",
    "choose_share",
]
