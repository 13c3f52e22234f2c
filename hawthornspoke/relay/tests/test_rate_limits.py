"""Requests to endpoints that name a rate limit, without agents to share it with."""

import asyncio

from hawthornspoke.base import monotonic
from hawthornspoke.permits import PermitsGranted
from hawthornspoke.placing import EndpointsListed, Fleet
from hawthornspoke.placing.tests.test_rate_limits import plain_entry
from hawthornspoke.protocol import EndpointRateLimit, Frame
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    field,
    make_rate_limits,
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
                "permit_claims_total", outcome="granted", source="local"
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


class StubLink:
    """Connection to an agent that records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)


def test_all_hosts_choose_the_same_agent_for_an_endpoint():
    """Guards against two agents that each grant a whole limit."""
    fleet = Fleet()
    endpoint_ids = [f"plain-{number}" for number in range(20)]
    addresses = [f"10.0.0.{number}:80" for number in range(6)]
    hosts = []
    for order in (addresses, addresses[::-1]):
        host = make_rate_limits(fleet)
        for address in order:
            host.add_agent(address, StubLink())
        hosts.append(host)
    chosen = [
        [host._allocator_address(item) for item in endpoint_ids] for host in hosts
    ]
    assert chosen[0] == chosen[1]
    assert len(set(chosen[0])) > 1
    hosts[0].remove_agent(chosen[0][0])
    assert hosts[0]._allocator_address(endpoint_ids[0]) in addresses


def test_limit_is_reported_to_an_agent_when_it_changes():
    async def scenario():
        endpoint = ScriptedEndpoint(limited(20), limited(20), answer())
        async with RelayHarness(endpoint) as harness:
            link = StubLink()
            harness.rate_limits.add_agent("10.0.0.1:80", link)
            for _ in range(3):
                await harness.ask("again")
                now = monotonic()
                grant = PermitsGranted(
                    endpoint_id="e0", count=1, usable_at=now, expires_at=now + 1.0
                )
                harness.fleet.step(grant, now=now)
            rates = [
                item.rate for frame in link.sent for item in frame.rate_limits or ()
            ]
            assert rates == [20.0, None]

    run_scenario(scenario)


def test_limit_from_an_agent_that_does_not_divide_it_is_ignored():
    """Guards against a limit that has ended and that a former allocator still knows."""
    fleet = Fleet()
    entry = plain_entry("e0")
    fleet.step(EndpointsListed(entries=(entry,)), now=0.0)
    host = make_rate_limits(fleet)
    frame = Frame(rate_limits=[EndpointRateLimit(endpoint_id="e0", rate=2.0)])
    for address in ("10.0.0.1:80", entry.address):
        host.add_agent(address, StubLink())
    host.receive("10.0.0.1:80", frame)
    assert fleet.endpoint_by_id["e0"].rate_limit.rate is None
    host.receive(entry.address, frame)
    assert fleet.endpoint_by_id["e0"].rate_limit.rate == 2.0
