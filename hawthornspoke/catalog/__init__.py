"""Platform-independent model of the configuration and the endpoints."""

from hawthornspoke.catalog._declared import (
    FIRST_VERSION,
    SEND_MARGIN,
    UNKNOWN,
    DeclaredVersions,
    age_of,
)
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
    event_patience,
)

__all__ = [
    "AT_MOST_ONCE",
    "FIRST_VERSION",
    "SEND_MARGIN",
    "IDEMPOTENT",
    "STREAM",
    "UNKNOWN",
    "UNKNOWN_START",
    "CallerLimits",
    "Catalog",
    "DeclaredVersions",
    "DeclaredWeights",
    "EndpointEntry",
    "EngineProfile",
    "Incarnation",
    "Organisation",
    "Route",
    "RouteTable",
    "Service",
    "Share",
    "age_of",
    "choose_share",
    "event_patience",
]
