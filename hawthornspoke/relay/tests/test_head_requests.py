"""HEAD requests, whose answers have no body whatever their heads announce."""

import asyncio

import pytest

from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    field,
)
from hawthornspoke.relay.tests.test_forward import run_scenario

FRAMINGS = {
    "length": "Content-Length: 5",
    "chunks": "Transfer-Encoding: chunked",
    "neither": "X-Last: 1",
}


def answer_head(framing, status=200):
    """Return a step that answers a HEAD request and keeps its connection open."""

    async def step(endpoint, head, writer):
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Request-Id: {field(head, 'X-Request-Id')}",
            "X-Seal: s",
            "Keep-Alive: timeout=10",
            FRAMINGS[framing],
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    return step


def send_head_request(writer, prefix, request_id):
    """Send a HEAD request, whose connection stays open."""
    lines = [
        f"HEAD /{prefix}/x HTTP/1.1",
        "Host: svc.example",
        "X-Deadline-Ms: 3000",
        f"X-Request-Id: {request_id}",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())


@pytest.mark.parametrize("prefix", ["again", "once", "stream"])
@pytest.mark.parametrize("status", [200, 404])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_answer_to_head_ends_with_its_head(framing, status, prefix):
    """Guards against a wait until the deadline for a body that never comes."""

    async def scenario():
        endpoint = ScriptedEndpoint(*[answer_head(framing, status)] * 2)
        async with RelayHarness(endpoint) as harness:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.server.bound_port
            )
            for request_id in ("r1", "r2"):
                send_head_request(writer, prefix, request_id)
                async with asyncio.timeout(0.4):
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                assert head.startswith(f"HTTP/1.1 {status} ")
                assert field(head, "X-Request-Id") == request_id
                assert field(head, "X-Seal") == "s"
                length = "5" if framing == "length" else None
                assert field(head, "Content-Length") == length
                assert field(head, "Transfer-Encoding") is None
            writer.close()
            assert harness.pool.opened == 1

    run_scenario(scenario)


def test_connection_with_a_body_after_the_answer_to_head_is_not_reused():
    """Guards against a body that is taken for the answer to the next request."""

    async def answer_with_body(endpoint, head, writer):
        await answer_head("length")(endpoint, head, writer)
        writer.write(b"hello")

    async def scenario():
        endpoint = ScriptedEndpoint(answer_with_body, answer_head("length"))
        async with RelayHarness(endpoint) as harness:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.server.bound_port
            )
            for request_id in ("r1", "r2"):
                send_head_request(writer, "once", request_id)
                async with asyncio.timeout(0.4):
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                assert head.startswith("HTTP/1.1 200 ")
                assert field(head, "X-Request-Id") == request_id
            writer.close()
            assert harness.pool.opened == 2

    run_scenario(scenario)
