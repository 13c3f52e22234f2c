"""Engines whose answers have neither a length nor chunks."""

import contextlib
import socket
import subprocess
import sys
import threading
import time

import pytest

from hawthornspoke.agent._engines import ENGINES, IncompleteResponse
from hawthornspoke.agent.tests.test_endless_responses import FakeRun
from hawthornspoke.protocol import Event, EventKind, Submit

HEAD = b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"
SUBMIT = Submit(request_id="r", path="/", method="POST", body=b"{}", digest="d")

#: A process that answers its first request by a head and a part, and waits.
PROGRAM = """
import socket, sys, time
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
connection, _ = listener.accept()
data = b""
while not data.endswith(b"}"):
    data += connection.recv(65536)
connection.sendall(b"HTTP/1.1 200 OK\\r\\nX-A: b\\r\\n\\r\\nhalf")
time.sleep(30.0)
"""


#: Listeners of engines that have started again.
RESTARTED = []


def read_request(connection):
    """Read a whole request: to close a connection with unread data resets it."""
    data = b""
    while not data.endswith(b"}"):
        data += connection.recv(65536)


@contextlib.contextmanager
def engine_of_one_answer(end, *, data=HEAD + b"part"):
    """Run an engine that sends a head and a part; provides its URL.

    Parameters
    ----------
    end : callable
        Called with the listener and the connection of the answer, to end it.
    data : bytes
    """
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    may_end = threading.Event()

    def serve():
        connection, _ = listener.accept()
        read_request(connection)
        connection.sendall(data)
        may_end.wait(5.0)
        end(listener, connection)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{port}", may_end
    finally:
        may_end.set()
        thread.join(5.0)
        listener.close()


def read_answer(kind, url, on_part):
    """Return the parts of an answer; ``on_part`` is called after the first."""
    parts = []
    for event in ENGINES.get(kind)(url=url).stream_events(FakeRun(SUBMIT), timeout=5.0):
        assert isinstance(event, Event)
        if event.kind == EventKind.TOKENS:
            parts.append(event.data)
            on_part()
    return parts


def end_process(listener, connection):
    """Close all connections, as the end of a process does."""
    listener.close()
    connection.close()


def restart(listener, connection):
    """Close all connections and listen again at once."""
    address = listener.getsockname()
    end_process(listener, connection)
    RESTARTED.append(socket.create_server(address))


@pytest.mark.parametrize("kind", ["model", "plain"])
@pytest.mark.parametrize("end", [end_process, restart])
def test_answer_of_an_engine_that_ends_is_not_whole(end, kind):
    """Guards against a part of an answer that its caller gets with a last chunk."""
    with engine_of_one_answer(end) as (url, may_end):
        with pytest.raises(IncompleteResponse):
            pytest.fail(f"{read_answer(kind, url, may_end.set)}")
    while RESTARTED:
        RESTARTED.pop().close()


@pytest.mark.parametrize("kind", ["model", "plain"])
def test_answer_of_a_process_that_is_killed_is_not_whole(kind):
    """Guards against the same where the operating system closes the connections."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
    )
    try:
        url = f"http://127.0.0.1:{int(process.stdout.readline())}"
        with pytest.raises(IncompleteResponse):
            pytest.fail(f"{read_answer(kind, url, process.kill)}")
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.mark.parametrize("kind", ["model", "plain"])
def test_answer_that_its_engine_ends_is_whole(kind):
    """Guards against sound answers that are lost with the broken ones."""
    with engine_of_one_answer(lambda listener, connection: connection.close()) as (
        url,
        may_end,
    ):
        assert b"".join(read_answer(kind, url, may_end.set)) == b"part"


def test_idle_connection_that_an_engine_closes_proves_nothing():
    """Guards against sound answers that are lost to an engine's idle timeout."""
    kept = []

    def close_idle_first(listener, connection):
        idle, _ = listener.accept()
        idle.close()
        time.sleep(0.05)
        connection.sendall(b"more")
        kept.append(listener.accept()[0])
        connection.close()

    with engine_of_one_answer(close_idle_first) as (url, may_end):
        assert b"".join(read_answer("plain", url, may_end.set)) == b"partmore"
    while kept:
        kept.pop().close()


@pytest.mark.parametrize(
    ("url", "port"),
    [("http://engine", 80), ("https://engine", 443), ("https://engine:9000", 9000)],
)
def test_end_of_an_engine_is_looked_for_at_its_own_port(url, port, monkeypatch):
    """Guards against another process that is taken for the engine."""
    addresses = []

    def create_connection(address, *, timeout):
        addresses.append(address)
        raise ConnectionRefusedError

    monkeypatch.setattr(socket, "create_connection", create_connection)
    assert ENGINES.get("plain")(url=url).has_ended()
    assert addresses == [("engine", port)]


@pytest.mark.parametrize("kind", ["model", "plain"])
def test_answer_whose_last_part_is_read_after_a_restart_is_not_whole(kind):
    """Guards against a connection to the next start that stands for the last one."""
    may_read = threading.Event()

    def send_and_restart(listener, connection):
        connection.sendall(b"more")
        restart(listener, connection)
        may_read.set()

    with engine_of_one_answer(send_and_restart) as (url, may_end):

        def on_part():
            may_end.set()
            may_read.wait(5.0)

        with pytest.raises(IncompleteResponse):
            pytest.fail(f"{read_answer(kind, url, on_part)}")
    while RESTARTED:
        RESTARTED.pop().close()
