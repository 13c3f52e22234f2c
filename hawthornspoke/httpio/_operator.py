"""What operators ask a process: its metrics and its state."""

import json

METRICS_TYPE = "text/plain; version=0.0.4"


class OperatorPort:
    """Answers ``/metrics`` and ``/dump``.

    Parameters
    ----------
    metrics : Metrics
    dump : callable
        Returns the process's state as plain data.
    """

    __slots__ = ("_metrics", "_dump")

    def __init__(self, *, metrics, dump):
        self._metrics = metrics
        self._dump = dump

    async def __call__(self, request, reply):
        """Answer one request."""
        if request.target.startswith("/metrics"):
            body = self._metrics.render().encode()
            reply.send(200, [("Content-Type", METRICS_TYPE)], body)
        elif request.target.startswith("/dump"):
            body = json.dumps(self._dump()).encode()
            reply.send(200, [("Content-Type", "application/json")], body)
        else:
            reply.send(404)
