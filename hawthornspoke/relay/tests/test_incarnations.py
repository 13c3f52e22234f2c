"""Requests to an endpoint that restarts under the same id."""

import asyncio

from hawthornspoke.base import monotonic
from hawthornspoke.catalog import EndpointEntry, Incarnation
from hawthornspoke.placing import EndpointsListed, Fleet
from hawthornspoke.protocol import EngineState, Frame
from hawthornspoke.relay._agents import AgentLinks
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    make_rate_limits,
    make_suspects,
    refuse_as_full,
)

FIRST = Incarnation(started_ms=1_000_000)
SECOND = Incarnation(started_ms=1_060_000)


def reset_when(should_reset):
    """Return a step that resets the connection once an event is set."""

    async def step(endpoint, head, writer):
        await should_reset.wait()
        return False

    return step


def list_endpoint(harness, address, incarnation):
    """List the only endpoint with an incarnation."""
    entry = EndpointEntry(
        endpoint_id="e0",
        service="s",
        address=address,
        failure_domain="a",
        slots=4,
        weights_version=1,
        layers=(0, 16),
        incarnation=incarnation,
    )
    harness.fleet.step(EndpointsListed(entries=(entry,)), now=monotonic())


def tracked_endpoint(harness):
    """Return the state of the endpoint in the fleet."""
    return harness.fleet.endpoint_by_id["e0"]


def test_failure_of_an_earlier_incarnation_does_not_count_for_the_next():
    """Guards against attributing a failed request to a later incarnation.

    A request runs at an endpoint that loses power. The endpoint restarts, is listed
    with its new incarnation and gets another request; then the connection of the
    first one breaks. The failure was counted for the endpoint regardless of the
    incarnation: the new one was avoided, and received more requests than it has slots.
    """

    async def scenario():
        should_reset, released = asyncio.Event(), asyncio.Event()

        async def answer_when_released(endpoint, head, writer):
            await released.wait()
            await answer()(endpoint, head, writer)

        endpoint = ScriptedEndpoint(reset_when(should_reset), answer_when_released)
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            address = tracked_endpoint(harness).entry.address
            list_endpoint(harness, address, FIRST)
            first = asyncio.create_task(harness.ask("once"))
            await _wait_until(lambda: len(endpoint.requests) == 1)
            list_endpoint(harness, address, SECOND)
            second = asyncio.create_task(harness.ask("once"))
            await _wait_until(lambda: len(endpoint.requests) == 2)
            should_reset.set()
            status, _, _, _ = await first
            assert status == 502
            assert tracked_endpoint(harness).own_in_flight == 1
            assert tracked_endpoint(harness).failure_rate == 0.0
            released.set()
            status, _, _, _ = await second
            assert status == 200
            assert tracked_endpoint(harness).own_in_flight == 0

    asyncio.run(scenario())


def test_connection_to_an_earlier_incarnation_is_not_reused():
    """Guards against a 502 for the first request to a restarted endpoint.

    A pooled connection is idle when the endpoint loses power and restarts under the
    same id. Connections were pooled by the id alone.
    """

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), answer(), answer(), refuse_as_full())
        async with RelayHarness(endpoint) as harness:
            address = tracked_endpoint(harness).entry.address
            list_endpoint(harness, address, FIRST)
            for _ in range(2):
                assert (await harness.ask("once"))[0] == 200
            assert harness.pool.opened == 1
            list_endpoint(harness, address, SECOND)
            assert (await harness.ask("once"))[0] == 200
            assert harness.pool.opened == 2
            assert (await harness.ask("once"))[0] == 503
            assert harness.pool.opened == 2

    asyncio.run(scenario())


def test_incarnation_reported_by_an_agent_reaches_the_fleet():
    """Guards against ignoring a restart that only the agent reports."""
    fleet = Fleet(failure_domain="a")
    entry = EndpointEntry(
        endpoint_id="e0",
        service="s",
        address="127.0.0.1:9",
        failure_domain="a",
        slots=4,
        incarnation=FIRST,
    )
    fleet.step(EndpointsListed(entries=(entry,)), now=monotonic())
    links = AgentLinks(
        port=1,
        failure_domain="a",
        fleet=fleet,
        log=None,
        directive_for=None,
        on_entry_hosts=None,
        suspects=make_suspects(fleet),
        rate_limits=make_rate_limits(fleet),
    )
    state = EngineState(running=2, waiting=1, started_ms=SECOND.started_ms)
    links._on_frame(entry.address, None, Frame(engine_state=state))
    assert fleet.endpoint_by_id["e0"].incarnation == SECOND
    assert fleet.endpoint_by_id["e0"].load == 3


async def _wait_until(condition):
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0.01)
