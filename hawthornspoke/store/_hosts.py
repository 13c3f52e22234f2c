"""The platform's lagging list of hosts, in the shape of EndpointSlices.

References
----------
.. [1] Kubernetes API reference, discovery.k8s.io/v1 EndpointSlice.
"""

import json

from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import UNAVAILABLE


class HostEntry:
    """One host of the list.

    Parameters
    ----------
    host : str
    role : str
        ``"entry"`` or ``"agent"``.
    failure_domain : str
    address : str
    port : int
    leaving : bool
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
    """Reads the list; an unchanged list costs no body (ETag).

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
        """Return the hosts that the platform lists.

        Returns
        -------
        list of HostEntry or Failure
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        answer = self.http.request("GET", "/endpointslices", headers=headers)
        if is_failure(answer):
            return answer
        if answer.status == 304:
            return self._entries
        if answer.status != 200:
            return UNAVAILABLE.because(f"host list answered {answer.status}")
        try:
            entries = _entries(json.loads(answer.data))
        except (ValueError, KeyError, TypeError, IndexError) as error:
            return UNAVAILABLE.because(f"unreadable host list: {error!r}")
        self._etag = answer.headers.get("ETag")
        self._entries = entries
        return entries


def _entries(tree):
    entries = []
    for piece in tree["items"]:
        role = piece["metadata"]["labels"]["role"]
        port = int(piece["ports"][0]["port"])
        for endpoint in piece["endpoints"]:
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
