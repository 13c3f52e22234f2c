"""Messages in transfer codings other than chunked, which are not decoded here."""

import asyncio

import pytest

from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    field,
)
from hawthornspoke.relay.tests.test_forward import run_scenario

CHUNKS = b"5\r\ncoded\r\n0\r\n\r\n"

CODINGS = {
    "list": ("Transfer-Encoding: gzip, chunked",),
    "two fields": ("Transfer-Encoding: gzip", "Transfer-Encoding: chunked"),
}


def coded_answer(fields, body):
    """Return a step that sends an answer and closes the connection."""

    async def step(endpoint, head, writer):
        lines = [
            "HTTP/1.1 200 OK",
            "X-Seal: s",
            f"X-Request-Id: {field(head, 'X-Request-Id')}",
            *fields,
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        writer.close()
        raise ConnectionError

    return step


@pytest.mark.parametrize("prefix", ["again", "once", "stream"])
@pytest.mark.parametrize(
    ("fields", "body"),
    [
        *[(fields, CHUNKS) for fields in CODINGS.values()],
        (("Transfer-Encoding: gzip",), b"id: 1\ndata: coded\n\n"),
    ],
    ids=[*CODINGS, "without chunks"],
)
def test_coded_answer_does_not_pass_for_a_plain_one(fields, body, prefix):
    """Guards against coded bytes that reach a caller as the endpoint's body."""

    async def scenario():
        endpoint = ScriptedEndpoint(*[coded_answer(fields, body)] * 2)
        async with RelayHarness(endpoint) as harness:
            status, *_ = await harness.ask(prefix)
            assert status == 502

    run_scenario(scenario)


@pytest.mark.parametrize("fields", CODINGS.values(), ids=CODINGS)
def test_coded_request_does_not_run(fields):
    """Guards against coded bytes that an endpoint gets as the caller's body."""

    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint) as harness:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.server.bound_port
            )
            lines = [
                "POST /again/x HTTP/1.1",
                "Host: svc.example",
                "X-Deadline-Ms: 3000",
                "X-Request-Id: r1",
                *fields,
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + CHUNKS)
            async with asyncio.timeout(2.0):
                answer = await reader.read()
            writer.close()
            assert answer.startswith(b"HTTP/1.1 501 ")
            assert endpoint.requests == []

    run_scenario(scenario)
