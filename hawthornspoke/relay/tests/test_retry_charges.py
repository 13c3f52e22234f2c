"""What the retry budget is charged for."""

import asyncio

import pytest

from hawthornspoke.relay._try import Attempt
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


async def ask_twice(monkeypatch, *, allowance):
    """Let two requests be retried, over connections that take long.

    Returns
    -------
    (list of int, int, int, int)
        Statuses, arrivals at the second endpoint, and retries that were charged, while
        the connections are made and in the end.
    """
    failing = ScriptedEndpoint(reset_connection(), reset_connection())
    other = ScriptedEndpoint(answer(), answer())
    connect = Attempt.connect

    async def connect_slowly(attempt, **options):
        if attempt.placement.endpoint_id == "e1":
            await asyncio.sleep(0.5)
        return await connect(attempt, **options)

    monkeypatch.setattr(Attempt, "connect", connect_slowly)
    async with RelayHarness(failing, other, timeout=2.0) as harness:
        harness.fleet.endpoint_by_id["e1"].own_in_flight = 5
        harness.budget.ratio, harness.budget.allowance = 0.0, allowance
        asking = [asyncio.create_task(harness.ask("again")) for _ in range(2)]
        await asyncio.sleep(0.3)
        charged = harness.budget.allowed
        statuses = [(await task)[0] for task in asking]
        return statuses, len(other.requests), charged, harness.budget.allowed


def test_retry_is_charged_once_it_has_connected(monkeypatch):
    """Guards against two windows' retries in one, since connections took long."""
    result = asyncio.run(ask_twice(monkeypatch, allowance=2.0))
    assert result == ([200, 200], 2, 0, 2)


def test_retry_that_finds_the_budget_spent_as_it_has_connected_is_not_sent(monkeypatch):
    """Guards against more retries than are left, which were allowed together."""
    statuses, arrivals, _, charged = asyncio.run(ask_twice(monkeypatch, allowance=1.0))
    assert sorted(statuses) == [200, 502]
    assert (arrivals, charged) == (1, 1)
