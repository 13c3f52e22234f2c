"""Engines that close inside the head of a response."""

import pytest

from hawthornspoke.agent._engines import (
    ENGINES,
    ORDER_FAILED,
    IncompleteResponse,
    ModelEngine,
)
from hawthornspoke.agent.tests.test_endless_responses import FakeRun
from hawthornspoke.protocol import Submit
from hawthornspoke.store.tests.cutting_server import HEADS, cuts_of, cutting_server


@pytest.mark.parametrize("kind", ["model", "plain"])
@pytest.mark.parametrize("name", HEADS)
def test_no_cut_head_begins_an_answer(kind, name):
    """Guards against an empty answer that looks whole, or an untrue "not run"."""
    submit = Submit(request_id="r", path="/", method="POST", body=b"{}", digest="d")
    for cut in cuts_of(HEADS[name]):
        with cutting_server(cut) as url:
            events = ENGINES.get(kind)(url=url).stream_events(
                FakeRun(submit), timeout=5.0
            )
            with pytest.raises(IncompleteResponse):
                pytest.fail(f"{cut}: {list(events)}")


@pytest.mark.parametrize("name", HEADS)
def test_no_cut_head_confirms_an_order(name):
    """Guards against weights that count as loaded because an engine went away."""
    for cut in cuts_of(HEADS[name]):
        with cutting_server(cut) as url:
            engine = ModelEngine(url=url)
            assert engine.unload("d", fence=1) == ORDER_FAILED, cut
            assert engine.stage("d", 0, b"x") == ORDER_FAILED, cut
            assert engine.state() is None, cut
