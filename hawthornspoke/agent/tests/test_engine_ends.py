"""How requests tell that their engine's process has ended."""

import pytest

from hawthornspoke.agent import _engine_ends
from hawthornspoke.agent._engine_actor import run_request
from hawthornspoke.agent._engine_ends import SAME_END, EngineEnds
from hawthornspoke.agent._engines import ENGINES, CutAnswer
from hawthornspoke.agent._runs import Run
from hawthornspoke.base import monotonic
from hawthornspoke.protocol import EventKind, Submit


class NoControl:
    def is_alive(self):
        return False


class BrokenEngine:
    """Breaks off each answer."""

    def __init__(self, *, has_ended):
        self._has_ended = has_ended

    def answer(self, run, *, timeout):
        raise CutAnswer("broken")

    def has_ended(self):
        return self._has_ended


def reason_of(engine, ends):
    run = Run(submit=Submit(request_id="r"), deadline=monotonic() + 5)
    run_request(run=run, engine=engine, ends=ends, control=NoControl())
    last = run.take(0.1)[-1]
    assert last.kind == EventKind.FAILED
    return last.reason


def test_requests_that_one_end_broke_off_tell_the_same_end():
    ends = EngineEnds(name="a")
    engine = BrokenEngine(has_ended=True)
    reasons = [reason_of(engine, ends) for _ in range(3)]
    assert reasons == ["engine_ended: a#1"] * 3


def test_later_end_is_another_one(monkeypatch):
    ends = EngineEnds(name="a")
    engine = BrokenEngine(has_ended=True)
    first = reason_of(engine, ends)
    now = monotonic() + SAME_END + 0.1
    monkeypatch.setattr(_engine_ends, "monotonic", lambda: now)
    assert reason_of(engine, ends) != first


def test_answer_that_a_living_engine_breaks_off_tells_no_end():
    engine = BrokenEngine(has_ended=False)
    assert reason_of(engine, EngineEnds(name="a")) == "broken"


@pytest.mark.parametrize("kind", ENGINES.names())
def test_engine_at_an_address_without_a_process_has_ended(kind):
    # Port 1 of loopback: nothing listens there.
    assert ENGINES.get(kind)(url="http://127.0.0.1:1").has_ended()
