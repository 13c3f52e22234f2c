"""The operator address of each process: health, metrics, state dump, drain."""

import json

import pykka

from hawthornspoke.base import PARTITION
from hawthornspoke.node._messages import DrainOrdered, DumpAsked
from hawthornspoke.web import HttpServer, Response, json_response

ASK_SECONDS = 5.0


class OperatorServer:
    """Answers operators about one process.

    Parameters
    ----------
    address : str
    port : int
    control : pykka.ActorRef
    metrics : Metrics
    is_ready : callable
        Takes nothing, returns a bool.
    allow_faults : bool, default=False
        Whether a test may cut this process off from addresses.
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
            address=address, port=port, handler=self._handle, threads=4
        )

    def open(self):
        """Start to serve."""
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
            self.control.tell(DrainOrdered(reason="ordered by an operator"))
            return json_response({"leaving": True}, status=202)
        if request.path == "/_partition" and self.allow_faults:
            PARTITION.set(request.json())
            return json_response({"cut_off": list(PARTITION.prefixes)})
        return json_response({"error": {"code": "not_found"}}, status=404)

    def _dump(self):
        try:
            state = self.control.ask(DumpAsked(), timeout=ASK_SECONDS)
        except pykka.Timeout:
            return json_response({"error": {"code": "busy"}}, status=503)
        body = json.dumps(state, indent=2, sort_keys=True).encode()
        return Response(headers={"Content-Type": "application/json"}, body=body)
