"""An entry host that stood still sends nothing that is over, or allowed no more.

Symptom: an endpoint ran a request whose caller had left, 6.6 s after its deadline.
Events: an endpoint is chosen; the process stands still while it connects; meanwhile
the caller leaves, or the key is taken away. Cause: all this was looked at when the
endpoint was chosen; only the steady clock was read once more.
"""

import random
import socket
import time

import pytest

from hawthornspoke.base import Failure
from hawthornspoke.entry._attempt import Attempt
from hawthornspoke.entry._context import RequestContext
from hawthornspoke.protocol import (
    PROTOCOL_VERSION,
    Connection,
    Event,
    EventKind,
    Events,
    RpcServer,
)
from hawthornspoke.web import Request

ADDRESS = "127.0.0.1"


class Agent:
    """Answers each request as done, and notes it."""

    def __init__(self):
        self.seen = []
        self.port = random.randrange(30000, 32000)
        self.address = ADDRESS
        self.node = "runner"
        self.digest = ""
        self._server = RpcServer(address=ADDRESS, port=self.port, handler=self)
        self._server.open()

    def submit(self, request):
        self.seen.append(request)
        return Events(
            version=PROTOCOL_VERSION,
            request_id=request.request_id,
            events=[Event(kind=EventKind.DONE)],
        )

    def close(self):
        self._server.close()


class StallingConnection(Connection):
    """Runs something once the connection is open."""

    __slots__ = ("stall",)

    def _open(self, remaining):
        opened = super()._open(remaining)
        self.stall()
        return opened


class Pool:
    """Gives out one connection that stalls."""

    def __init__(self, stall):
        self._stall = stall

    def take(self, *, address, port):
        connection = StallingConnection(address=address, port=port)
        connection.stall = self._stall
        return connection

    def give_back(self, connection):
        connection.close()


class Service:
    """A service, as far as an attempt asks."""

    @staticmethod
    def live_key(adapter):
        return "s"


@pytest.fixture
def agent():
    item = Agent()
    yield item
    item.close()


@pytest.fixture
def caller():
    """Return both ends of a caller's connection."""
    near, far = socket.socketpair()
    yield near, far
    near.close()
    far.close()


def attempt(agent, caller, stall, **options):
    """Make an attempt that stands still before it sends; return it, ended."""
    request = Request(
        method="POST",
        path="/services/s/x",
        query="",
        headers={},
        body=b"",
        connection=caller[0],
    )
    context = RequestContext(request=request, default_timeout=1.0)
    context.service = Service()
    made = Attempt(
        context=context, endpoint=agent, pool=Pool(stall), revision=1, **options
    )
    assert list(made.events()) == []
    return made


def test_request_that_is_still_wanted(agent, caller):
    made = attempt(agent, caller, lambda: None)
    assert made.ended.done
    assert len(agent.seen) == 1


def test_caller_that_left_while_the_process_stood_still(agent, caller):
    made = attempt(agent, caller, caller[1].close)
    assert agent.seen == []
    assert (made.ended.was_run, made.ended.failure.code) == (False, "caller_gone")


def test_deadline_that_passed_while_the_process_stood_still(agent, caller):
    made = attempt(agent, caller, lambda: time.sleep(1.1))
    assert agent.seen == []
    assert (made.ended.was_run, made.ended.failure.code) == (False, "too_late")


def test_deadline_that_passed_while_the_host_was_suspended(agent, caller, monkeypatch):
    real = time.clock_gettime

    def suspend():
        monkeypatch.setattr(time, "clock_gettime", lambda clock: real(clock) + 9.0)

    made = attempt(agent, caller, suspend)
    assert agent.seen == []
    assert (made.ended.was_run, made.ended.failure.code) == (False, "too_late")


def test_key_that_was_taken_away_meanwhile(agent, caller):
    gone = Failure(code="unauthenticated", reason="the key is not one")
    made = attempt(agent, caller, lambda: None, recheck=lambda: gone)
    assert agent.seen == []
    assert (made.ended.was_run, made.ended.failure.code) == (False, "unauthenticated")


def test_all_is_looked_at_after_the_key(agent, caller):
    """The look at the key waits for an actor; what passes meanwhile is seen."""

    def slow():
        caller[1].close()
        return None

    made = attempt(agent, caller, lambda: None, recheck=slow)
    assert agent.seen == []
    assert made.ended.failure.code == "caller_gone"
