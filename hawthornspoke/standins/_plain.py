"""Stand-in for a plain service whose calls may not be repeated."""

import threading
import time

from hawthornspoke.standins._faults import FAULTS_PATH, Faults
from hawthornspoke.web import HttpServer, Response, json_response


class PlainService:
    """Counts what it was asked to do.

    Parameters
    ----------
    address : str
    port : int
    seconds : float, default=0.01
        Time of one call.

    Notes
    -----
    Faults: ``slow`` (further seconds), ``drop_answers`` (that many calls are
    run and their answer then lost).
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
        """Start to serve."""
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
        if self.faults.take("drop_answers"):
            return Response(status=201, body=_drop_connection())
        return json_response({"number": number, "path": request.path}, status=201)


def _drop_connection():
    """Yield a body that breaks off after the call has been run."""
    yield b"{"
    raise ConnectionResetError("answer lost by fault")
