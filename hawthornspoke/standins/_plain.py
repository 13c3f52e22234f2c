"""Simulated service whose calls are not idempotent."""

import threading
import time

from hawthornspoke.standins._faults import FAULTS_PATH, Faults
from hawthornspoke.web import HttpServer, Response, json_response


class PlainService:
    """Records every call that it executes.

    Parameters
    ----------
    address : str
    port : int
    seconds : float, default=0.01
        Duration of one call.

    Notes
    -----
    Faults: ``slow`` (additional duration in seconds), ``drop_answers`` (number of
    calls to execute without delivering the response).
    """

    __slots__ = ("address", "port", "seconds", "faults", "runs", "_lock", "_server")

    def __init__(self, *, address, port, seconds=0.01):
        self.address = address
        self.port = port
        self.seconds = seconds
        self.faults = Faults(defaults={"slow": 0.0, "drop_answers": 0})
        self.runs = []
        self._lock = threading.Lock()
        self._server = HttpServer(
            address=address, port=port, handler=self._handle, threads=64
        )

    def open(self):
        """Start serving."""
        self._server.open()

    def close(self):
        """Stop serving."""
        self._server.close()

    def _handle(self, request):
        if request.path == FAULTS_PATH:
            return self.faults.handle(request)
        if request.path == "/runs":
            return json_response({"runs": self.runs})
        if request.path == "/state":
            return json_response({"instance": "plain"})
        with self._lock:
            self.runs.append(
                {
                    "request_id": request.headers.get("x-request-id", ""),
                    "key": request.headers.get("idempotency-key", ""),
                    "path": request.path,
                }
            )
            number = len(self.runs)
        time.sleep(self.seconds + self.faults["slow"])
        if self.faults.consume("drop_answers"):
            return Response(status=201, body=_drop_connection())
        return json_response({"number": number, "path": request.path}, status=201)


def _drop_connection():
    """Yield a truncated body, so that an executed call gets no complete response."""
    yield b"{"
    raise ConnectionResetError("response dropped by injected fault")
