"""Clients of the platform: table, objects, host list, origin of weights."""

from hawthornspoke.platform._failures import CONFLICT, NOT_FOUND, UNAVAILABLE, UNSURE
from hawthornspoke.platform._hosts import HostEntry, HostListClient
from hawthornspoke.platform._http import HttpClient
from hawthornspoke.platform._objects import ObjectClient
from hawthornspoke.platform._origin import OriginClient
from hawthornspoke.platform._table import Condition, TableClient

__all__ = [
    "CONFLICT",
    "NOT_FOUND",
    "UNAVAILABLE",
    "UNSURE",
    "Condition",
    "HostEntry",
    "HostListClient",
    "HttpClient",
    "ObjectClient",
    "OriginClient",
    "TableClient",
]
