"""Engines whose responses end in a way that proves nothing."""

import pytest

from hawthornspoke.agent._engines import ENGINES, IncompleteResponse
from hawthornspoke.agent.tests.test_endless_responses import FakeRun
from hawthornspoke.protocol import Submit
from hawthornspoke.store.tests.cutting_server import cutting_server
from hawthornspoke.store.tests.test_framing import UNREADABLE


@pytest.mark.parametrize("kind", ["model", "plain"])
@pytest.mark.parametrize("name", UNREADABLE)
def test_no_answer_of_unreadable_framing_is_whole(name, kind):
    """Guards against a part of an answer that its caller gets with a last chunk."""
    fields, body = UNREADABLE[name]
    submit = Submit(request_id="r", path="/", method="POST", body=b"{}", digest="d")
    with cutting_server(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n\r\n" + body) as url:
        events = ENGINES.get(kind)(url=url).stream_events(FakeRun(submit), timeout=5.0)
        with pytest.raises(IncompleteResponse):
            pytest.fail(f"{list(events)}")
