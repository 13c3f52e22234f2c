"""Client for the eventually consistent host list, in EndpointSlice format.

References
----------
.. [1] Kubernetes API reference, discovery.k8s.io/v1 EndpointSlice.
"""

from loguru import logger

from hawthornspoke import fields
from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import UNAVAILABLE

#: Maximum number of invalid entries of one list that are logged.
MAX_LOGGED_INVALID = 10


class HostEntry:
    """One host in the host list.

    Parameters
    ----------
    host : str
    role : str
        ``"entry"`` or ``"agent"``.
    failure_domain : str
    address : str
    port : int
    leaving : bool
        Whether the host is terminating.
    """

    __slots__ = ("host", "role", "failure_domain", "address", "port", "leaving")

    def __init__(self, *, host, role, failure_domain, address, port, leaving):
        self.host = host
        self.role = role
        self.failure_domain = failure_domain
        self.address = address
        self.port = port
        self.leaving = leaving


class HostListClient:
    """Reads the host list with conditional requests (ETag).

    The response for an unchanged list is 304 without a body.

    Parameters
    ----------
    http : HttpClient
    """

    __slots__ = ("http", "_etag", "_entries")

    def __init__(self, *, http):
        self.http = http
        self._etag = None
        self._entries = []

    def read(self):
        """Return the current host list.

        Returns
        -------
        list of HostEntry or Failure
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        response = self.http.request("GET", "/endpointslices", headers=headers)
        if is_failure(response):
            return response
        if response.status == 304:
            return self._entries
        if response.status != 200:
            return UNAVAILABLE.with_reason(f"host list returned HTTP {response.status}")
        try:
            entries = _parse_entries(response.data)
        except fields.FieldError as error:
            return UNAVAILABLE.with_reason(f"cannot parse host list: {error}")
        self._etag = response.headers.get("ETag")
        self._entries = entries
        return entries


def _parse_entries(data):
    invalid = []
    entries = [
        entry
        for entries in fields.decode_each(
            fields.parse_entries(data, "items"),
            lambda item: _decode_slice(item, invalid.append),
            on_invalid=invalid.append,
        )
        for entry in entries
    ]
    for description in invalid[:MAX_LOGGED_INVALID]:
        logger.warning("invalid entry in the host list: {}", description)
    return entries


def _decode_slice(item, on_invalid):
    """Return the valid hosts of a slice, which share its role and port."""
    fields.as_object(item)
    labels = fields.child(fields.child(item, "metadata"), "labels")
    role = fields.text(labels, "role")
    port = fields.port(_first(item, "ports"), "port")

    def decode_host(endpoint):
        fields.as_object(endpoint)
        addresses = fields.texts(endpoint, "addresses")
        return HostEntry(
            host=fields.text(endpoint, "hostname"),
            role=role,
            failure_domain=fields.text(endpoint, "zone"),
            address=fields.ip({"address": next(iter(addresses), None)}, "address"),
            port=port,
            leaving=fields.flag(fields.child(endpoint, "conditions"), "terminating"),
        )

    endpoints = fields.items(item, "endpoints")
    return fields.decode_each(endpoints, decode_host, on_invalid=on_invalid)


def _first(obj, name):
    """Return the first object of a list."""
    return next(iter(fields.children(obj, name)), {})
