"""An agent that stood still starts nothing that nobody waits for any more.

Symptom: an agent that woke ran a request that its entry host had given up seconds
before; the caller had been told that it had not run.
Events: the request comes and its sender is still there; the host stands still before
the engine is called: in the gate, or while a thread starts; the entry host closes
its connection; the host wakes. Cause: the sender was looked at when the request came,
and not when the engine was called; and a request whose time was over was given
50 ms.
"""

import random
import threading
import time

import pytest

from hawthornspoke.agent._engine_actor import run_request
from hawthornspoke.agent._engine_ends import EngineEnds
from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._process import _Handler
from hawthornspoke.agent._runs import Run
from hawthornspoke.base import monotonic
from hawthornspoke.metrics import Metrics
from hawthornspoke.protocol import REPLY_LOST, Connection, EventKind, RpcServer, Submit
from hawthornspoke.web import HttpServer, Response

ADDRESS = "127.0.0.1"


class Engine:
    """An engine that notes what it is asked."""

    def __init__(self, kind):
        self.seen = []
        port = random.randrange(12000, 15000)
        self._server = HttpServer(address=ADDRESS, port=port, handler=self._answer)
        self._server.open()
        self.driver = ENGINES.get(kind)(url=f"http://{ADDRESS}:{port}")

    def _answer(self, request):
        self.seen.append(request.path)
        return Response(headers={"Content-Type": "application/json"}, body=b"{}")

    def close(self):
        self._server.close()


@pytest.fixture(params=["model", "plain"])
def engine(request):
    item = Engine(request.param)
    yield item
    item.close()


class NoControl:
    """The control actor of a process that is about to end."""

    @staticmethod
    def is_alive():
        return False


def submit(remaining_ms=5000):
    return Submit(
        request_id="r",
        digest="d",
        method="POST",
        path="/v1/completions",
        body=b'{"model": "m", "prompt": "p"}',
        remaining_ms=remaining_ms,
    )


def events_of(run, engine):
    """Start a run; return the kinds of its events."""
    run_request(
        run=run,
        engine=engine.driver,
        ends=EngineEnds(name="a"),
        control=NoControl(),
    )
    return [event.kind for event in run.take(0.1)]


def test_run_that_is_still_wanted(engine):
    run = Run(submit=submit(), deadline=monotonic() + 5)
    assert events_of(run, engine)[-1] == EventKind.DONE
    assert engine.seen == ["/v1/completions"]


def test_run_whose_time_is_over(engine):
    run = Run(submit=submit(), deadline=monotonic() - 1)
    assert events_of(run, engine)[-1] == EventKind.REFUSED
    assert engine.seen == []


def test_run_that_was_cancelled_before_it_started(engine):
    run = Run(submit=submit(), deadline=monotonic() + 5)
    run.cancel()
    events_of(run, engine)
    assert engine.seen == []


class StallingHandler(_Handler):
    """Stands still where the gate is asked, then starts the run."""

    __slots__ = ("engine", "stall", "started")

    def ask(self, method, **arguments):
        self.stall()
        run_request(
            run=arguments["run"],
            engine=self.engine,
            ends=EngineEnds(name="a"),
            control=NoControl(),
        )
        self.started.set()
        return 0

    def tell(self, method, **arguments):
        pass


def stalled(engine, stall, *, remaining_ms=5000, wait=0.2):
    """Send a request to an agent that stands still; return what is replied."""
    handler = StallingHandler(
        actor=None, store=None, link_out=None, metrics=Metrics(), serve_slots=1
    )
    handler.engine = engine.driver
    handler.stall = stall
    handler.started = threading.Event()
    port = random.randrange(30000, 32000)
    server = RpcServer(address=ADDRESS, port=port, handler=handler)
    server.open()
    connection = Connection(address=ADDRESS, port=port)
    request = submit(remaining_ms)
    reply = connection.call("submit", request, deadline=monotonic() + wait)
    assert handler.started.wait(2.0)
    server.close()
    return reply


def test_entry_host_that_left_while_the_agent_stood_still(engine):
    reply = stalled(engine, lambda: time.sleep(0.4))
    assert reply == REPLY_LOST
    assert engine.seen == []


def test_deadline_that_passed_while_the_host_was_suspended(engine, monkeypatch):
    real = time.clock_gettime

    def suspend():
        monkeypatch.setattr(time, "clock_gettime", lambda clock: real(clock) + 9.0)

    reply = stalled(engine, suspend, wait=2.0)
    assert [event.kind for event in reply.events][-1] == EventKind.REFUSED
    assert engine.seen == []
