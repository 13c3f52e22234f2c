"""HTTP server for operators: health, metrics, state dump and drain."""

import json

import pykka

from hawthornspoke.base import PARTITION
from hawthornspoke.node._messages import DrainRequested, DumpRequested
from hawthornspoke.web import HttpServer, Response, json_response

ACTOR_TIMEOUT = 5.0

#: Maximum size of a request's body in bytes.
MAX_BODY_BYTES = 65536


class OperatorServer:
    """Answers HTTP requests of operators to one process.

    Parameters
    ----------
    address : str
    port : int
    control : pykka.ActorRef
    metrics : Metrics
    is_ready : callable
        Called without arguments, returns a bool.
    allow_faults : bool, default=False
        Whether tests may block connections to given addresses.
    """

    __slots__ = (
        "address",
        "port",
        "control",
        "metrics",
        "is_ready",
        "allow_faults",
        "_server",
    )

    def __init__(
        self, *, address, port, control, metrics, is_ready, allow_faults=False
    ):
        self.address = address
        self.port = port
        self.control = control
        self.metrics = metrics
        self.is_ready = is_ready
        self.allow_faults = allow_faults
        self._server = HttpServer(
            address=address,
            port=port,
            handler=self._handle,
            threads=4,
            max_body=MAX_BODY_BYTES,
        )

    def open(self):
        """Start serving."""
        self._server.open()

    def close(self):
        """Stop serving."""
        self._server.close()

    def _handle(self, request):
        if request.path == "/healthz":
            return json_response({"alive": self.control.is_alive()})
        if request.path == "/readyz":
            ready = self.is_ready()
            return json_response({"ready": ready}, status=200 if ready else 503)
        if request.path == "/metrics":
            text = self.metrics.render().encode()
            return Response(headers={"Content-Type": "text/plain"}, body=text)
        if request.path == "/dump":
            return self._dump()
        if request.path == "/drain" and request.method == "POST":
            self.control.tell(DrainRequested(reason="ordered by an operator"))
            return json_response({"leaving": True}, status=202)
        if request.path == "/_partition" and self.allow_faults:
            PARTITION.set(request.json())
            return json_response({"cut_off": list(PARTITION.prefixes)})
        return json_response({"error": {"code": "not_found"}}, status=404)

    def _dump(self):
        try:
            state = self.control.ask(DumpRequested(), timeout=ACTOR_TIMEOUT)
        except pykka.Timeout:
            return json_response({"error": {"code": "busy"}}, status=503)
        body = json.dumps(state, indent=2, sort_keys=True).encode()
        return Response(headers={"Content-Type": "application/json"}, body=body)
