"""What the retry budget is charged for."""

import asyncio

import pytest

from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    events,
    reset_connection,
)


def prefer_first(harness):
    """Make the first endpoint the one with the least load."""
    for number in range(1, len(harness.endpoints)):
        harness.fleet.endpoint_by_id[f"e{number}"].own_in_flight = 1


@pytest.mark.parametrize("failure", [reset_connection(), answer(500, b"")])
def test_retries_at_unreachable_endpoints_are_not_charged(failure):
    """Guards against dead endpoints that use up the retries of other requests."""

    async def scenario():
        failing = ScriptedEndpoint(failure)
        dead = [ScriptedEndpoint() for _ in range(4)]
        async with RelayHarness(failing, *dead, timeout=2.0) as harness:
            prefer_first(harness)
            for endpoint in dead:
                endpoint.close()
            status, *_ = await harness.ask("again", read_time=3.0)
            assert status in (500, 502)
            assert len(failing.requests) == 1
            assert harness.budget.allowed == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("prefix", ["again", "stream"])
def test_retry_without_another_endpoint_is_not_charged(prefix):
    """Guards against charges for requests that nothing is left to send to."""

    async def scenario():
        step = events([1, 2], complete=False)
        if prefix == "again":
            step = reset_connection()
        async with RelayHarness(ScriptedEndpoint(step), timeout=2.0) as harness:
            *_, is_complete = await harness.ask(prefix, read_time=3.0)
            assert harness.budget.allowed == 0
            assert len(harness.endpoints[0].requests) == 1

    asyncio.run(scenario())


def test_retry_that_was_sent_is_charged_once():
    """Guards against retries that no budget knows."""

    async def scenario():
        failing = ScriptedEndpoint(reset_connection())
        dead, other = ScriptedEndpoint(), ScriptedEndpoint()
        async with RelayHarness(failing, dead, other, timeout=2.0) as harness:
            prefer_first(harness)
            harness.fleet.endpoint_by_id["e2"].own_in_flight = 2
            dead.close()
            status, *_ = await harness.ask("again", read_time=3.0)
            assert status == 200
            assert len(other.requests) == 1
            assert harness.budget.allowed == 1

    asyncio.run(scenario())
