"""Client for the eventually consistent host list, in EndpointSlice format.

References
----------
.. [1] Kubernetes API reference, discovery.k8s.io/v1 EndpointSlice.
"""

import json

from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import UNAVAILABLE


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
            entries = _parse_entries(json.loads(response.data))
        except (ValueError, KeyError, TypeError, IndexError) as error:
            return UNAVAILABLE.with_reason(f"cannot parse host list: {error!r}")
        self._etag = response.headers.get("ETag")
        self._entries = entries
        return entries


def _parse_entries(document):
    entries = []
    for slice_item in document["items"]:
        role = slice_item["metadata"]["labels"]["role"]
        port = int(slice_item["ports"][0]["port"])
        for endpoint in slice_item["endpoints"]:
            conditions = endpoint.get("conditions", {})
            entry = HostEntry(
                host=endpoint["hostname"],
                role=role,
                failure_domain=endpoint["zone"],
                address=endpoint["addresses"][0],
                port=port,
                leaving=bool(conditions.get("terminating")),
            )
            entries.append(entry)
    return entries
