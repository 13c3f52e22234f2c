"""Engines that answer in a content coding although none is asked for."""

import gzip

import pytest

from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent.tests.test_endless_responses import FakeRun
from hawthornspoke.agent.tests.test_unframed_answers import engine_of_one_answer
from hawthornspoke.protocol import EventKind, Submit

CODED = gzip.compress(b"hello " * 50)


@pytest.mark.parametrize("kind", ["model", "plain"])
@pytest.mark.parametrize("body", [CODED, CODED[:-9]], ids=["whole", "cut by engine"])
def test_coded_answer_is_passed_on_as_it_is(body, kind):
    """Guards against a plain body under a head that calls it coded."""
    submit = Submit(request_id="r", path="/", method="POST", body=b"{}", digest="d")
    head = b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
    data = head % len(body) + body
    with engine_of_one_answer(lambda *_: None, data=data) as (url, _):
        head, *parts = ENGINES.get(kind)(url=url).stream_events(
            FakeRun(submit), timeout=5.0
        )
    assert head.headers["content-encoding"] == "gzip"
    assert all(part.kind == EventKind.TOKENS for part in parts)
    assert b"".join(part.data for part in parts) == body
