"""Endpoints that close inside the head of an answer, alone and in a race."""

import asyncio

import pytest

from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    field,
    silent,
)
from hawthornspoke.relay.tests.test_forward import run_scenario

FRAMINGS = {
    "length": "Content-Length: 2",
    "chunks": "Transfer-Encoding: chunked",
    "neither": "X-Last: 1",
}

#: Every so many bytes of a head there is a cut.
CUT_INTERVAL = 5


def cut_head(framing, size):
    """Return a step that sends the first bytes of a head and closes."""

    async def step(endpoint, head, writer):
        lines = [
            "HTTP/1.1 200 OK",
            "X-Seal: s",
            f"X-Request-Id: {field(head, 'X-Request-Id')}",
            FRAMINGS[framing],
        ]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode()
        writer.write(data[: min(size, len(data) - 1)])
        await writer.drain()
        writer.close()

    return step


@pytest.mark.parametrize("prefix", ["again", "stream", "once"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_no_cut_head_begins_an_answer(framing, prefix):
    """Guards against an empty answer that looks whole to its caller."""

    async def ask(size):
        endpoint = ScriptedEndpoint(*[cut_head(framing, size)] * 2)
        async with RelayHarness(endpoint, timeout=1.0) as harness:
            status, *_ = await harness.ask(prefix)
            assert status in (0, 502), size

    async def scenario():
        await asyncio.gather(*(ask(size) for size in range(1, 75, CUT_INTERVAL)))

    run_scenario(scenario)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_no_cut_head_wins_a_race(framing):
    """Guards against a second attempt that ends a silent one by an empty answer."""

    async def ask(size):
        first = ScriptedEndpoint(silent())
        second = ScriptedEndpoint(cut_head(framing, size))
        async with RelayHarness(first, second, timeout=1.2) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            status, *_ = await harness.ask("again")
            assert len(second.requests) == 1
            assert status in (0, 502, 504), size

    async def scenario():
        await asyncio.gather(*(ask(size) for size in range(1, 75, CUT_INTERVAL)))

    run_scenario(scenario)
