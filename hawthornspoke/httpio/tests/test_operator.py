"""The operators' port serves metrics and process state only."""

import asyncio
import json

import pytest

from hawthornspoke.httpio import ConnectionPool, HttpServer, OperatorHandler, fetch
from hawthornspoke.metrics import Metrics


@pytest.mark.parametrize(
    ("target", "status"), [("/metrics", 200), ("/dump", 200), ("/other", 404)]
)
def test_operator_port(target, status):
    async def run():
        metrics = Metrics()
        metrics.count("requests_total", outcome="done")
        handler = OperatorHandler(metrics=metrics, dump=lambda: {"node": "n1"})
        server = HttpServer(
            host="127.0.0.1", port=0, handler=handler, on_handler_error=print
        )
        await server.start()
        pool = ConnectionPool()
        answer = await fetch(
            pool,
            f"127.0.0.1:{server.bound_port}",
            method="GET",
            target=target,
            timeout=2.0,
        )
        pool.close()
        server.close()
        return answer

    answer = asyncio.run(run())
    assert answer.status == status
    if target == "/metrics":
        assert b'hawthornspoke_requests_total{outcome="done"} 1' in answer.body
    if target == "/dump":
        assert json.loads(answer.body) == {"node": "n1"}
