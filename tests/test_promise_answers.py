"""Guarantee: each client receives the complete response to its own request."""

import json
import socket
import time

from tests.callers import VerifyingClients, _stream_text, check_text
from tests.fleet import auth_headers


def open_stream(fleet, entry, *, tokens, prompt="p", non_idempotent=False):
    """Send a streaming request over a new socket and return the socket."""
    host = fleet.host(entry)
    body = json.dumps(
        {"model": "redacteur", "prompt": prompt, "max_tokens": tokens, "stream": True}
    )
    connection = socket.create_connection((host["address"], fleet.base_port + 3))
    fields = {
        **auth_headers(),
        **({"X-Idempotent": "false"} if non_idempotent else {}),
    }
    headers = "".join(f"{key}: {item}\r\n" for key, item in fields.items())
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n{headers}"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode() + body.encode())
    return connection


def test_concurrent_clients_get_their_own_responses(fleet):
    """Guards against a client receiving part of another client's response.

    Many requests share a few connections and complete out of order. A late response
    must not remain on a connection that is returned to the pool.
    """
    with (
        VerifyingClients(
            fleet, fleet.host_names("entry"), thread_count=10
        ) as plain_clients,
        VerifyingClients(
            fleet, fleet.host_names("entry"), thread_count=10, stream=True
        ) as streaming_clients,
    ):
        plain_clients.wait_results(150)
        streaming_clients.wait_results(150)
    for clients in (plain_clients, streaming_clients):
        assert clients.mismatches() == []
        assert clients.falsely_not_run() == []


def test_late_response_on_a_reused_connection_reaches_no_other_client(fleet):
    """Guards against a late response being delivered to the next request.

    Requests time out while the engine still runs them, and others follow
    immediately through the same entry host. A connection with an unread response
    must not be reused.
    """
    for name in fleet.host_names("runner"):
        fleet.set_engine_faults(name, slow_factor=30.0)
    for _ in range(6):
        late = fleet.send_completion("entry-0", headers={"X-Request-Timeout": "0.3"})
        assert late.status in (408, 504, 503), late.data
    for name in fleet.host_names("runner"):
        fleet.set_engine_faults(name, slow_factor=1.0)
    with VerifyingClients(fleet, ["entry-0"], thread_count=4) as clients:
        clients.wait_results(40)
    assert clients.mismatches() == []


def test_interrupted_stream_is_resumed_with_the_same_weights(fleet):
    """Guards against a truncated stream that appears complete.

    One engine aborts every stream after three tokens. The end of the data does not
    show that the response is complete.
    """
    fleet.set_engine_faults("runner-0", die_after_tokens=3)
    with VerifyingClients(
        fleet, fleet.host_names("entry"), thread_count=6, stream=True
    ) as clients:
        clients.wait_results(120)
    fleet.set_engine_faults("runner-0", die_after_tokens=0)
    assert clients.mismatches() == []
    resumed = sum(
        fleet.dump(name)["counters"].get("retries_total", 0)
        for name in fleet.host_names("entry")
    )
    assert resumed > 0


def test_interrupted_non_idempotent_stream_is_neither_rerun_nor_completed(fleet):
    """Guards against repeating a non-idempotent stream or accepting part of it.

    Every engine aborts streams after three tokens and the requests are
    non-idempotent, so they must be neither resumed nor ended as complete.
    """
    for name in fleet.host_names("runner"):
        fleet.set_engine_faults(name, die_after_tokens=3)
    before = sum(len(fleet.runs(name)["runs"]) for name in fleet.host_names("runner"))
    connection = open_stream(fleet, "entry-0", tokens=6)
    connection.sendall(b"")
    connection.close()
    response = fleet.send_completion(
        "entry-1", headers={"X-Idempotent": "false"}, max_tokens=6
    )
    tree = json.loads(response.data)
    assert response.status == 502
    assert tree["error"]["outcome"] == "unknown"
    with VerifyingClients(
        fleet, ["entry-2"], thread_count=1, non_idempotent=True, stream=True
    ) as clients:
        clients.wait_results(3)
    assert clients.count("done") == 0
    for name in fleet.host_names("runner"):
        fleet.set_engine_faults(name, die_after_tokens=0)
    after = sum(len(fleet.runs(name)["runs"]) for name in fleet.host_names("runner"))
    assert after - before <= 1 + 1 + len(clients.results) + 2


def test_disconnected_client_frees_the_engine(fleet):
    """Guards against engines running requests of disconnected clients.

    A client closes its connection during a stream; the cancellation must reach the
    engine.
    """
    connection = open_stream(fleet, "entry-0", tokens=2000)
    connection.recv(4096)
    connection.close()

    def cancelled():
        return any(fleet.runs(name)["cancelled"] for name in fleet.host_names("runner"))

    fleet.wait_for(cancelled, seconds=10)

    def idle():
        states = [fleet.dump(name)["gate"] for name in fleet.host_names("runner")]
        return not any(state["running_by_id"] for state in states)

    fleet.wait_for(idle, seconds=10)


def test_slow_client_gets_the_whole_stream_and_blocks_no_other(fleet):
    """Guards against a slow reader that blocks others or loses data.

    A client reads a long stream in small chunks while others send requests. Unbounded
    buffers that all clients share would delay the others; a full buffer that drops
    data would truncate the stream.
    """
    connection = open_stream(fleet, "entry-0", tokens=300, prompt="slow")
    with VerifyingClients(fleet, ["entry-0"], thread_count=2) as clients:
        clients.wait_results(20)
    data = b""
    while b"0\r\n\r\n" not in data[-7:]:
        chunk = connection.recv(2048)
        assert chunk, data[-200:]
        data += chunk
        time.sleep(0.002)
    connection.close()
    assert clients.mismatches() == []
    assert data.count(b"data: {") == 300
    assert b"data: [DONE]" in data


def test_check_text_detects_wrong_responses():
    """Guards against a verification that accepts incorrect responses."""
    digest = "a" * 64
    assert check_text("", "p", digest)
    assert check_text("aaaaaaaaaaaa:000000:0 ", "p", digest)
    assert _stream_text(b'data: {"choices": [{"text": "x"}]}\n\n') is None
