"""Simulated platform: table, object store, host list and weight origin."""

import threading

from hawthornspoke.base import digest_of, monotonic
from hawthornspoke.standins._faults import FAULTS_PATH, Faults
from hawthornspoke.standins._origin import Origin
from hawthornspoke.standins._table import Table
from hawthornspoke.web import HttpServer, Response, json_response


class HostList:
    """Host list whose changes become visible after a delay.

    Parameters
    ----------
    lag : float, default=0.0
        Delay in seconds until a change becomes visible.

    Notes
    -----
    Faults: ``hosts_down`` (503 for reads).
    """

    __slots__ = ("lag", "faults", "_changes", "_lock")

    def __init__(self, *, lag=0.0):
        self.lag = lag
        self.faults = Faults(defaults={"hosts_down": False})
        self._changes = []
        self._lock = threading.Lock()

    def set(self, hosts):
        """Replace the host list; visible after ``lag`` seconds.

        Parameters
        ----------
        hosts : list of dict
            With ``host``, ``role``, ``failure_domain``, ``address``, ``port``
            and, for terminating hosts, ``leaving``.
        """
        with self._lock:
            self._changes.append((monotonic() + self.lag, list(hosts)))

    def handle(self, request):
        """Handle a read, or a ``POST`` that replaces the hosts."""
        if request.method == "POST":
            self.set(request.json())
            return json_response({})
        if self.faults["hosts_down"]:
            return Response(status=503)
        items = _to_endpoint_slices(self._visible())
        etag = digest_of(repr(items).encode())[:16]
        if request.headers.get("if-none-match") == etag:
            return Response(status=304)
        return json_response({"items": items}, headers={"ETag": etag})

    def _visible(self):
        with self._lock:
            visible = [
                hosts
                for visible_at, hosts in self._changes
                if visible_at <= monotonic()
            ]
        return visible[-1] if visible else []


class Platform:
    """Simulates all platform services in one process.

    Parameters
    ----------
    address : str
    port : int
    lag : float, default=0.0
        Delay of the host list in seconds.
    chunk_size : int, default=16384
    origin_rate : float, default=0.0
        Bandwidth of the origin in bytes per second; 0 for no limit.
    """

    __slots__ = ("address", "port", "table", "objects", "hosts", "origin", "_server")

    def __init__(self, *, address, port, lag=0.0, chunk_size=16384, origin_rate=0.0):
        self.address = address
        self.port = port
        self.table = Table()
        self.objects = {}
        self.hosts = HostList(lag=lag)
        self.origin = Origin(chunk_size=chunk_size, rate=origin_rate)
        self._server = HttpServer(
            address=address, port=port, handler=self._handle, threads=256
        )

    def open(self):
        """Start serving."""
        self._server.open()

    def close(self):
        """Stop serving."""
        self._server.close()

    def _handle(self, request):
        path = request.path
        if path == FAULTS_PATH:
            return self._set_faults(request.json())
        if path == "/_counts":
            return json_response(self._counts())
        if path == "/_rows":
            return json_response(self.table.rows)
        if path == "/":
            return self.table.handle(request)
        if path == "/endpointslices":
            return self.hosts.handle(request)
        if path.startswith("/origin/"):
            request.path = path.removeprefix("/origin")
            return self.origin.handle(request)
        return self._handle_object(request)

    def _set_faults(self, changes):
        for component in (self.table, self.hosts, self.origin):
            own_changes = {
                name: value
                for name, value in changes.items()
                if name in component.faults.defaults
            }
            component.faults.set(own_changes)
        return json_response({})

    def _counts(self):
        return {
            "reads": self.table.reads,
            "writes": self.table.writes,
            "origin_bytes": self.origin.bytes_sent,
            "origin_requests": self.origin.requests,
        }

    def _handle_object(self, request):
        if self.table.faults["table_down"]:
            return Response(status=503)
        if request.method == "PUT":
            self.objects[request.path] = request.body
            return Response()
        data = self.objects.get(request.path)
        return Response(status=404) if data is None else Response(body=data)


def _to_endpoint_slices(hosts):
    items = []
    for host in hosts:
        item = {
            "metadata": {"labels": {"role": host["role"]}},
            "ports": [{"port": host["port"]}],
            "endpoints": [
                {
                    "hostname": host["host"],
                    "zone": host["failure_domain"],
                    "addresses": [host["address"]],
                    "conditions": {"terminating": bool(host.get("leaving"))},
                }
            ],
        }
        items.append(item)
    return items
