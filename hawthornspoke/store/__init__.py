"""Clients for the platform: table, object store, host list, weight origin."""

from hawthornspoke.store._bounded_response import (
    BoundedResponse,
    HeadCut,
    ResponseTooLarge,
)
from hawthornspoke.store._failures import (
    CONFLICT,
    NOT_FOUND,
    UNAVAILABLE,
    WRITE_UNCONFIRMED,
)
from hawthornspoke.store._hosts import HostEntry, HostListClient
from hawthornspoke.store._http import HttpClient
from hawthornspoke.store._objects import ObjectClient
from hawthornspoke.store._origin import OriginClient
from hawthornspoke.store._table import Condition, TableClient

__all__ = [
    "BoundedResponse",
    "HeadCut",
    "ResponseTooLarge",
    "CONFLICT",
    "NOT_FOUND",
    "UNAVAILABLE",
    "WRITE_UNCONFIRMED",
    "Condition",
    "HostEntry",
    "HostListClient",
    "HttpClient",
    "ObjectClient",
    "OriginClient",
    "TableClient",
]
