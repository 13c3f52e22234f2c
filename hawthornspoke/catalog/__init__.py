"""Types of the configuration, the endpoints and the declared weights.

They are independent of the platform, from whose rows an adapter creates them.
"""

from hawthornspoke.catalog._declaration import UNKNOWN_TIME, DeclarationBounds
from hawthornspoke.catalog._declared import (
    EXPIRY_MARGIN,
    FIRST_VERSION,
    DeclaredVersions,
    declaration_age,
    declaration_date_logger,
    newest_version_by_model,
)
from hawthornspoke.catalog._incarnation import UNKNOWN_START, Incarnation
from hawthornspoke.catalog._table import RouteTable, choose_service
from hawthornspoke.catalog._types import (
    AT_MOST_ONCE,
    DEFAULT_RANK,
    IDEMPOTENT,
    LEAST_URGENT_RANK,
    MOST_URGENT_RANK,
    STREAM,
    CallerLimits,
    Catalog,
    DeclaredWeights,
    EndpointEntry,
    EngineProfile,
    Evacuation,
    Organisation,
    Route,
    Service,
    Share,
    allowed_regions,
    event_timeout,
    rank_of,
)

__all__ = [
    "AT_MOST_ONCE",
    "DEFAULT_RANK",
    "FIRST_VERSION",
    "IDEMPOTENT",
    "EXPIRY_MARGIN",
    "LEAST_URGENT_RANK",
    "MOST_URGENT_RANK",
    "STREAM",
    "UNKNOWN_START",
    "UNKNOWN_TIME",
    "CallerLimits",
    "Catalog",
    "DeclarationBounds",
    "DeclaredVersions",
    "DeclaredWeights",
    "EndpointEntry",
    "EngineProfile",
    "Evacuation",
    "Incarnation",
    "Organisation",
    "Route",
    "RouteTable",
    "Service",
    "Share",
    "allowed_regions",
    "choose_service",
    "declaration_age",
    "declaration_date_logger",
    "event_timeout",
    "newest_version_by_model",
    "rank_of",
]
