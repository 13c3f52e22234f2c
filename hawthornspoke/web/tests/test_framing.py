"""Messages whose framing is broken, cut short or in conflict."""

import contextlib
import socket
import threading

import pytest

from hawthornspoke.web import HttpServer, Response

POST = b"POST / HTTP/1.1\r\nHost: x\r\n"


@contextlib.contextmanager
def running_server(handle):
    """Run a server; provides its port."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    server = HttpServer(address="127.0.0.1", port=port, handler=handle, threads=2)
    server.open()
    try:
        yield port
    finally:
        server.close()


def converse(port, *parts, closes=True):
    """Send the parts of a caller's data; return all that the server sends.

    Parameters
    ----------
    port : int
    *parts : bytes
    closes : bool, default=True
        Whether the caller closes its side of the connection after them.
    """
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as caller:
        for part in parts:
            caller.sendall(part)
        if closes:
            caller.shutdown(socket.SHUT_WR)
        received = b""
        while data := caller.recv(65536):
            received += data
        return received


def recording_handler(requests):
    """Return a handler that records the bodies of requests."""

    def handle(request):
        requests.append(request.body)
        return Response(body=b"done")

    return handle


@pytest.mark.parametrize(
    "request_data",
    [
        POST + b"Content-Length: 10\r\n\r\nhello",
        POST + b"Content-Length: 10\r\n\r\n",
        POST + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        POST + b"Transfer-Encoding: chunked\r\n\r\n9\r\nhello",
    ],
    ids=["length", "length without body", "chunks", "chunk"],
)
def test_request_whose_body_is_cut_is_not_handled(request_data):
    """Guards against a part of a request that is taken for the whole of it."""
    requests = []
    with running_server(recording_handler(requests)) as port:
        received = converse(port, request_data)
    assert not received.startswith(b"HTTP/1.1 200 ")
    assert requests == []


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        b"Content-Length: 5\r\nContent-Length: 2\r\n",
        b"Content-Length: 5, 2\r\n",
        b"Content-Length: -5\r\n",
        b"Content-Length: +5\r\n",
        b"Content-Length: 0_5\r\n",
    ],
)
def test_request_with_framing_in_conflict_is_not_handled(fields):
    """Guards against a body that ends elsewhere than its caller says."""
    requests = []
    with running_server(recording_handler(requests)) as port:
        received = converse(port, POST + fields + b"\r\n5\r\nhello\r\n0\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert requests == []


@pytest.mark.parametrize(
    ("method", "status", "body"),
    [
        (b"HEAD", 200, lambda: b"body"),
        (b"HEAD", 200, lambda: iter([b"bo", b"dy"])),
        (b"GET", 204, lambda: iter([b"body"])),
        (b"GET", 304, lambda: b"body"),
        (b"GET", 304, lambda: iter([b"body"])),
    ],
    ids=["HEAD", "HEAD of a stream", "204", "304", "304 as a stream"],
)
def test_response_without_body_ends_with_its_head(method, status, body):
    """Guards against a body that callers take for the next response."""
    request_data = method + b" / HTTP/1.1\r\nHost: x\r\n\r\n"

    def handle(request):
        return Response(status=status, body=body())

    with running_server(handle) as port:
        received = converse(port, request_data)
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert received.partition(b"\r\n\r\n")[2] == b""


def test_stream_in_answer_to_head_is_read_to_its_end():
    """Guards against requests that never end, as nobody reads their bodies."""
    ends = []

    def stream():
        yield b"body"
        ends.append("read")

    with running_server(lambda request: Response(body=stream())) as port:
        converse(port, b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n")
    assert ends == ["read"]


@pytest.mark.parametrize("is_cut", [True, False], ids=["cut", "whole"])
def test_cut_stream_without_chunks_does_not_look_whole(is_cut):
    """Guards against a part of a stream that a caller without chunks takes as whole."""
    may_go_on = threading.Event()

    def stream():
        yield b"first"
        may_go_on.wait(5.0)
        if is_cut:
            raise ConnectionAbortedError("answer is incomplete")

    with running_server(lambda request: Response(body=stream())) as port:
        with socket.create_connection(("127.0.0.1", port), timeout=5.0) as caller:
            caller.sendall(b"GET / HTTP/1.0\r\nHost: x\r\n\r\n")
            received = b""
            while not received.endswith(b"first"):
                received += caller.recv(65536)
            may_go_on.set()
            if is_cut:
                with pytest.raises(ConnectionResetError):
                    pytest.fail(f"the end: {caller.recv(65536)}")
            else:
                assert caller.recv(65536) == b""
