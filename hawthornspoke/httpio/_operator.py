"""HTTP handler of the operators' port, which serves metrics and process state."""

import json

METRICS_TYPE = "text/plain; version=0.0.4"


class OperatorHandler:
    """Request handler that serves ``/metrics`` and ``/dump``.

    Parameters
    ----------
    metrics : Metrics
    dump : callable
        Returns the state of the process as JSON-serializable data.
    """

    __slots__ = ("_metrics", "_dump")

    def __init__(self, *, metrics, dump):
        self._metrics = metrics
        self._dump = dump

    async def __call__(self, request, reply):
        """Handle one request; unknown targets get status 404."""
        if request.target.startswith("/metrics"):
            body = self._metrics.render().encode()
            reply.send(200, [("Content-Type", METRICS_TYPE)], body)
        elif request.target.startswith("/dump"):
            body = json.dumps(self._dump()).encode()
            reply.send(200, [("Content-Type", "application/json")], body)
        else:
            reply.send(404)
