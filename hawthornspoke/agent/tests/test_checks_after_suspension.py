"""An agent that resumes after a stall doesn't run requests of disconnected senders.

Guards against running a request seconds after the entry host closed its connection and
told the caller that the request had not run. The host stalls between the arrival of the
request and the call of the engine, in the gate or at the start of a thread. The
sender's connection was checked only on arrival, and a request past its deadline was
given another 50 ms.
"""

import threading
import time

import pytest
import urllib3

from hawthornspoke.agent._engine_actor import run_request
from hawthornspoke.agent._engine_exits import EngineExits
from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._process import _Handler
from hawthornspoke.agent._runs import DEADLINE_PASSED, Run
from hawthornspoke.base import monotonic
from hawthornspoke.base.tests.addresses import random_port
from hawthornspoke.metrics import Metrics
from hawthornspoke.protocol import REPLY_LOST, Connection, EventKind, RpcServer, Submit
from hawthornspoke.web import HttpServer, Response

ADDRESS = "127.0.0.1"


class Engine:
    """An HTTP engine that records the paths of its requests."""

    def __init__(self, kind):
        self.requested_paths = []
        port = random_port(12000, 15000)
        self._server = HttpServer(address=ADDRESS, port=port, handler=self._respond)
        self._server.open()
        self.driver = ENGINES.get(kind)(url=f"http://{ADDRESS}:{port}")

    def _respond(self, request):
        self.requested_paths.append(request.path)
        return Response(headers={"Content-Type": "application/json"}, body=b"{}")

    def close(self):
        self._server.close()


@pytest.fixture(params=["model", "plain"])
def engine(request):
    item = Engine(request.param)
    yield item
    item.close()


class StoppedControl:
    """Reference to a control actor that has stopped."""

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


def run_event_kinds(run, engine):
    """Run a request and return the kinds of its events."""
    run_request(
        run=run,
        engine=engine.driver,
        exits=EngineExits(name="a"),
        control=StoppedControl(),
    )
    return [event.kind for event in run.next_events(0.1)]


def test_run_before_its_deadline_reaches_the_engine(engine):
    run = Run(submit=submit(), deadline=monotonic() + 5)
    assert run_event_kinds(run, engine)[-1] == EventKind.DONE
    assert engine.requested_paths == ["/v1/completions"]


def test_run_past_its_deadline_is_rejected(engine):
    run = Run(submit=submit(), deadline=monotonic() - 1)
    assert run_event_kinds(run, engine)[-1] == EventKind.REFUSED
    assert engine.requested_paths == []


def test_run_cancelled_before_its_start_is_not_sent(engine):
    run = Run(submit=submit(), deadline=monotonic() + 5)
    run.cancel()
    run_event_kinds(run, engine)
    assert engine.requested_paths == []


class StallingHandler(_Handler):
    """Stalls before the call of the gate, then starts the run."""

    __slots__ = ("engine", "stall", "started")

    def ask(self, method, **arguments):
        self.stall()
        run_request(
            run=arguments["run"],
            engine=self.engine,
            exits=EngineExits(name="a"),
            control=StoppedControl(),
        )
        self.started.set()
        return 0

    def tell(self, method, **arguments):
        pass


def submit_to_stalled(engine, stall, *, remaining_ms=5000, wait=0.2):
    """Send a request to an agent that stalls; return the reply."""
    handler = StallingHandler(
        actor=None, store=None, link_out=None, metrics=Metrics(), serve_slots=1
    )
    handler.engine = engine.driver
    handler.stall = stall
    handler.started = threading.Event()
    port = random_port(30000, 32000)
    server = RpcServer(address=ADDRESS, port=port, handler=handler)
    server.open()
    connection = Connection(address=ADDRESS, port=port)
    request = submit(remaining_ms)
    reply = connection.call("submit", request, deadline=monotonic() + wait)
    assert handler.started.wait(2.0)
    server.close()
    return reply


def test_entry_host_disconnected_while_the_agent_stalled(engine):
    reply = submit_to_stalled(engine, lambda: time.sleep(0.4))
    assert reply == REPLY_LOST
    assert engine.requested_paths == []


def test_deadline_passed_while_the_host_was_suspended(engine, monkeypatch):
    real_clock_gettime = time.clock_gettime

    def suspend():
        monkeypatch.setattr(
            time, "clock_gettime", lambda clock: real_clock_gettime(clock) + 9.0
        )

    reply = submit_to_stalled(engine, suspend, wait=2.0)
    assert [event.kind for event in reply.events][-1] == EventKind.REFUSED
    assert engine.requested_paths == []


def test_request_that_expires_while_the_agent_connects_is_not_sent(engine, monkeypatch):
    """Guards against a request that runs as its host resumes before the first byte."""
    run = Run(submit=submit(), deadline=monotonic() + 5.0)
    connect = urllib3.connection.HTTPConnection.connect

    def connect_after_a_stall(connection):
        run.deadline = monotonic()
        connect(connection)

    monkeypatch.setattr(
        urllib3.connection.HTTPConnection, "connect", connect_after_a_stall
    )
    (outcome,) = engine.driver.stream_events(run, timeout=1.0)
    assert outcome == DEADLINE_PASSED
    assert engine.requested_paths == []
