"""Requests to endpoints that name a rate limit, without agents to share it with."""

import asyncio

from hawthornspoke.base import monotonic
from hawthornspoke.permits import PermitsGranted
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    field,
)


def run_scenario(scenario):
    """Run a scenario on a new event loop."""
    asyncio.run(scenario())


def limited(rate):
    """Return a step that answers and names a rate limit."""
    return answer(extra=(f"X-Rate-Limit: {rate}",))


async def statuses_of(harness, count):
    """Return the statuses of requests that are sent at once."""
    results = await asyncio.gather(*(harness.ask("again") for _ in range(count)))
    return [status for status, *_ in results]


def test_endpoint_with_a_limit_is_left_to_other_hosts_and_others_answer():
    async def scenario():
        first, second = ScriptedEndpoint(*[limited(1)] * 30), ScriptedEndpoint()
        async with RelayHarness(first, second) as harness:
            harness.entry_hosts = 10
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            assert (await harness.ask("again"))[0] == 200
            assert len(first.requests) == 1
            assert await statuses_of(harness, 10) == [200] * 10
            assert len(first.requests) <= 2

    run_scenario(scenario)


def test_request_waits_for_a_permit_of_the_only_endpoint():
    """Guards against a refusal just because the permit was still being claimed."""

    async def scenario():
        endpoint = ScriptedEndpoint(*[limited(40)] * 30)
        async with RelayHarness(endpoint) as harness:
            for _ in range(5):
                assert (await harness.ask("again"))[0] == 200
            claims = harness.metrics.counter_value(
                "permit_claims_total", outcome="granted", source="own"
            )
            assert claims >= 4

    run_scenario(scenario)


def test_request_is_refused_at_once_if_its_permit_would_come_too_late():
    """Guards against requests that wait in vain for an endpoint at its limit."""

    async def scenario():
        endpoint = ScriptedEndpoint(*[limited(0.2)] * 30)
        async with RelayHarness(endpoint) as harness:
            assert (await harness.ask("again"))[0] == 200
            began_at = monotonic()
            results = [await harness.ask("again") for _ in range(4)]
            assert monotonic() - began_at < 0.5
            assert [status for status, *_ in results].count(503) >= 3
            refusals = [head for status, head, *_ in results if status == 503]
            assert all(float(field(head, "Retry-After")) > 0 for head in refusals)
            assert len(endpoint.requests) <= 2

    run_scenario(scenario)


def test_only_one_request_waits_for_the_permits_of_an_endpoint():
    """Guards against a queue of requests of which all but one wait in vain."""

    async def scenario():
        endpoint = ScriptedEndpoint(*[limited(2)] * 30)
        async with RelayHarness(endpoint) as harness:
            assert (await harness.ask("again"))[0] == 200
            statuses = await statuses_of(harness, 5)
            assert statuses.count(200) <= 1
            assert len(endpoint.requests) <= 2

    run_scenario(scenario)


def test_limit_ends_with_a_success_that_names_none():
    async def scenario():
        endpoint = ScriptedEndpoint(limited(20))
        async with RelayHarness(endpoint) as harness:
            await harness.ask("again")
            assert harness.fleet.endpoint_by_id["e0"].rate_limit.rate == 20
            await harness.ask("again")
            assert harness.fleet.endpoint_by_id["e0"].rate_limit.rate is None
            assert await statuses_of(harness, 4) == [200] * 4

    run_scenario(scenario)


def test_refusal_and_invalid_value_leave_a_limit_as_it_is():
    """Guards against a limit that a refusal without the field takes away."""

    async def scenario():
        refusal = answer(503, b"", ("X-Not-Run: 1",))
        endpoint = ScriptedEndpoint(
            limited(20), refusal, answer(extra=("X-Rate-Limit: x",))
        )
        async with RelayHarness(endpoint) as harness:
            for _ in range(3):
                await harness.ask("again")
                now = monotonic()
                grant = PermitsGranted(
                    endpoint_id="e0", count=1, usable_at=now, expires_at=now + 1.0
                )
                harness.fleet.step(grant, now=now)
                assert harness.fleet.endpoint_by_id["e0"].rate_limit.rate == 20
            assert len(endpoint.requests) == 3

    run_scenario(scenario)
