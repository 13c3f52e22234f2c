"""Tests that a suspended entry host does not send expired or revoked requests.

Guards against an endpoint running a request 6.6 s after its deadline, for a caller that
had disconnected. The process is suspended while it connects to the chosen endpoint, and
meanwhile the caller disconnects or its key is revoked. Caller and key were checked only
when the endpoint was chosen; before sending, only the monotonic clock was read again,
which stops while the host is suspended.
"""

import socket
import time

import pytest

from hawthornspoke.base import Failure
from hawthornspoke.base.tests.addresses import random_port
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
    """Agent that records each request and answers it as done."""

    def __init__(self):
        self.submits = []
        self.port = random_port(30000, 32000)
        self.address = ADDRESS
        self.node = "runner"
        self.digest = ""
        self._server = RpcServer(address=ADDRESS, port=self.port, handler=self)
        self._server.open()

    def submit(self, request):
        self.submits.append(request)
        return Events(
            version=PROTOCOL_VERSION,
            request_id=request.request_id,
            events=[Event(kind=EventKind.DONE)],
        )

    def close(self):
        self._server.close()


class StallingConnection(Connection):
    """Connection that calls a function once it is open."""

    __slots__ = ("stall",)

    def _open(self, remaining):
        opened = super()._open(remaining)
        self.stall()
        return opened


class Pool:
    """Connection pool whose connections stall."""

    def __init__(self, stall):
        self._stall = stall

    def acquire_connection(self, *, address, port):
        connection = StallingConnection(address=address, port=port)
        connection.stall = self._stall
        return connection

    def release_connection(self, connection):
        connection.close()


class Service:
    """Stub of a service with the attributes that an attempt uses."""

    @staticmethod
    def live_key(adapter):
        return "s"


@pytest.fixture
def agent():
    started_agent = Agent()
    yield started_agent
    started_agent.close()


@pytest.fixture
def caller():
    """Return both ends of a caller's connection."""
    server_end, caller_end = socket.socketpair()
    yield server_end, caller_end
    server_end.close()
    caller_end.close()


def run_attempt(agent, caller, stall, **options):
    """Run an attempt that stalls before sending; return the finished attempt."""
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
    finished_attempt = Attempt(
        context=context, endpoint=agent, pool=Pool(stall), revision=1, **options
    )
    assert list(finished_attempt.events()) == []
    return finished_attempt


def test_valid_request_is_sent(agent, caller):
    finished_attempt = run_attempt(agent, caller, lambda: None)
    assert finished_attempt.result.done
    assert len(agent.submits) == 1


def test_caller_disconnects_while_process_is_suspended(agent, caller):
    finished_attempt = run_attempt(agent, caller, caller[1].close)
    assert agent.submits == []
    assert (finished_attempt.result.was_run, finished_attempt.result.failure.code) == (
        False,
        "caller_gone",
    )


def test_deadline_passes_while_process_is_suspended(agent, caller):
    finished_attempt = run_attempt(agent, caller, lambda: time.sleep(1.1))
    assert agent.submits == []
    assert (finished_attempt.result.was_run, finished_attempt.result.failure.code) == (
        False,
        "too_late",
    )


def test_deadline_passes_while_host_is_suspended(agent, caller, monkeypatch):
    real_clock_gettime = time.clock_gettime

    def suspend():
        monkeypatch.setattr(
            time, "clock_gettime", lambda clock: real_clock_gettime(clock) + 9.0
        )

    finished_attempt = run_attempt(agent, caller, suspend)
    assert agent.submits == []
    assert (finished_attempt.result.was_run, finished_attempt.result.failure.code) == (
        False,
        "too_late",
    )


def test_key_revoked_before_sending(agent, caller):
    revoked = Failure(
        code="unauthenticated", reason="the key belongs to no organisation"
    )
    finished_attempt = run_attempt(agent, caller, lambda: None, recheck=lambda: revoked)
    assert agent.submits == []
    assert (finished_attempt.result.was_run, finished_attempt.result.failure.code) == (
        False,
        "unauthenticated",
    )


def test_remaining_checks_follow_key_check(agent, caller):
    """The key check waits for an actor; a disconnect meanwhile is noticed."""

    def disconnect_caller():
        caller[1].close()
        return None

    finished_attempt = run_attempt(
        agent, caller, lambda: None, recheck=disconnect_caller
    )
    assert agent.submits == []
    assert finished_attempt.result.failure.code == "caller_gone"
