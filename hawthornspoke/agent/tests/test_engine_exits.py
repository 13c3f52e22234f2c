"""Requests report the exit of the engine process that interrupted them."""

import pytest

from hawthornspoke.agent import _engine_exits
from hawthornspoke.agent._engine_actor import run_request
from hawthornspoke.agent._engine_exits import SAME_EXIT_SECONDS, EngineExits
from hawthornspoke.agent._engines import ENGINES, IncompleteResponse
from hawthornspoke.agent._runs import Run
from hawthornspoke.base import monotonic
from hawthornspoke.protocol import EventKind, Submit


class StoppedControl:
    def is_alive(self):
        return False


class IncompleteEngine:
    """Engine whose responses are all incomplete."""

    def __init__(self, *, has_ended):
        self._has_ended = has_ended

    def stream_events(self, run, *, timeout):
        raise IncompleteResponse("broken")

    def has_ended(self):
        return self._has_ended


def failure_reason(engine, exits):
    run = Run(submit=Submit(request_id="r"), deadline=monotonic() + 5)
    run_request(run=run, engine=engine, exits=exits, control=StoppedControl())
    last = run.next_events(0.1)[-1]
    assert last.kind == EventKind.FAILED
    return last.reason


def test_requests_interrupted_by_one_exit_report_the_same_exit():
    exits = EngineExits(name="a")
    engine = IncompleteEngine(has_ended=True)
    reasons = [failure_reason(engine, exits) for _ in range(3)]
    assert reasons == ["engine_ended: a#1"] * 3


def test_later_exit_has_another_identifier(monkeypatch):
    exits = EngineExits(name="a")
    engine = IncompleteEngine(has_ended=True)
    first = failure_reason(engine, exits)
    now = monotonic() + SAME_EXIT_SECONDS + 0.1
    monkeypatch.setattr(_engine_exits, "monotonic", lambda: now)
    assert failure_reason(engine, exits) != first


def test_incomplete_response_of_a_running_engine_reports_no_exit():
    engine = IncompleteEngine(has_ended=False)
    assert failure_reason(engine, EngineExits(name="a")) == "broken"


@pytest.mark.parametrize("kind", ENGINES.names())
def test_engine_at_an_address_without_a_process_has_exited(kind):
    # Nothing listens on loopback port 1.
    assert ENGINES.get(kind)(url="http://127.0.0.1:1").has_ended()
