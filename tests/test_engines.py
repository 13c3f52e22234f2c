"""Engine drivers: truncated responses and proof that a request was not run."""

import json

import pytest

from hawthornspoke.agent._engines import ENGINES, IncompleteResponse
from hawthornspoke.agent._runs import Run
from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.base.tests.addresses import random_port
from hawthornspoke.protocol import EventKind, Submit
from hawthornspoke.web import HttpServer, Response

ADDRESS = "127.0.0.1"
EVENT = b'data: {"choices": [{"text": "x"}]}\n\n'


def run_request(response):
    """Run one request against an engine that returns the given response."""
    port = random_port(12000, 15000)
    server = HttpServer(address=ADDRESS, port=port, handler=lambda request: response)
    server.open()
    body = json.dumps({"model": "m", "prompt": "p", "stream": True}).encode()
    submit = Submit(request_id="r", digest="d", body=body, path="/v1/completions")
    run = Run(submit=submit, deadline=monotonic() + 5)
    try:
        engine = ENGINES.get("model")(url=f"http://{ADDRESS}:{port}")
        return list(engine.stream_events(run, timeout=5))
    finally:
        server.close()


def stream(*chunks):
    headers = {"Content-Type": "text/event-stream"}
    return Response(headers=headers, body=iter(chunks))


def test_complete_stream_is_forwarded():
    events = run_request(stream(EVENT, EVENT, b"data: [DONE]\n\n"))
    assert events[0].kind == EventKind.HEAD
    assert sum(event.count or 0 for event in events) == 2


def test_stream_cut_between_events_is_incomplete():
    """Guards against treating a truncated response as complete.

    An engine closes its stream between two events without the end marker, so the
    end of the body alone does not show that the response is complete.
    """
    with pytest.raises(IncompleteResponse):
        run_request(stream(EVENT, EVENT))


def test_stream_cut_inside_an_event_is_incomplete():
    """Guards against delivering a partial event to the client."""
    with pytest.raises(IncompleteResponse):
        run_request(stream(EVENT, EVENT[:10]))


@pytest.mark.parametrize("status", [404, 429])
def test_rejection_by_an_engine_proves_not_run(status):
    """Guards against reporting a request that the engine rejected as unknown."""
    (failure,) = run_request(Response(status=status))
    assert is_failure(failure)


def test_server_error_does_not_prove_not_run():
    """Guards against reporting a partially executed request as not run."""
    with pytest.raises(IncompleteResponse):
        run_request(Response(status=500))
