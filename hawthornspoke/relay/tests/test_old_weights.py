"""No request starts on old weights after their version bound."""

import asyncio

from hawthornspoke.base import boottime_clock, monotonic
from hawthornspoke.catalog import Catalog, DeclaredWeights, EndpointEntry, Service
from hawthornspoke.placing import Fleet, PlacementRequest, Rejection, WeightsDeclared
from hawthornspoke.relay.tests.relay_harness import (
    ENGINE,
    RelayHarness,
    ScriptedEndpoint,
    delayed_stream,
    events,
    make_relay,
    undroppable_stream,
)

BOUND = 0.8


def fleet(*, bound=BOUND):
    """Return a fleet in which requests may start on old weights for 0.8 s."""
    return Fleet(failure_domain="a", version_bound=bound, version_margin=0.3)


def declare(harness, version):
    """Declare a version now; return the time when the bound of older ones ends."""
    declared = DeclaredWeights(model="m", version=version)
    message = WeightsDeclared(declared=declared, at=boottime_clock())
    harness.fleet.step(message, now=monotonic())
    return monotonic() + harness.fleet.version_bound


def test_request_waiting_at_an_engine_is_cancelled_before_the_bound():
    """Guards against a request that starts on old weights after their bound.

    Versions 2 and 3 were declared 4 s apart, and a request started on version 2 46 ms
    after its bound, which ends 8 s after the declaration of version 3. An engine that
    had just loaded version 2 received 45 requests within a second from nine entry
    hosts, each of which considered it idle. One was sent 1.2 s before the bound and
    expected to start within 0.1 s, but started after 1.19 s, 1 ms before its response
    timeout. In another run, two requests waited 1.11 s at such an engine, and only by
    chance timed out 1.0 s before the bound. The start time was estimated on sending,
    but a request that waited longer was not cancelled.
    """

    async def scenario():
        start_times = []
        full = ScriptedEndpoint(delayed_stream(BOUND + 0.1, start_times))
        async with RelayHarness(full, timeout=3.0, fleet=fleet()) as harness:
            bound = declare(harness, 2)
            status, _, _, _ = await harness.ask("stream")
            assert status == 502
            await asyncio.sleep(max(0.0, bound + 0.2 - monotonic()))
            assert start_times == []
            assert len(full.requests) == 1

    asyncio.run(scenario())


def test_cancelled_request_is_retried_at_an_engine_with_new_weights():
    """The same, with an engine that has loaded the new version by then."""

    async def scenario():
        start_times = []
        full, current = (
            ScriptedEndpoint(delayed_stream(BOUND + 0.1, start_times)),
            ScriptedEndpoint(events([1, 2], version="2")),
        )
        async with RelayHarness(full, current, timeout=3.0, fleet=fleet()) as harness:
            entry = harness.fleet.endpoint_by_id["e1"].entry
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 3
            declare(harness, 2)
            request_task = asyncio.create_task(harness.ask("stream"))
            await asyncio.sleep(0.1)
            harness.fleet.endpoint_by_id["e1"].entry = EndpointEntry(
                endpoint_id="e1",
                service="s",
                address=entry.address,
                failure_domain="a",
                slots=4,
                weights_version=2,
                layers=(0, 16),
            )
            status, _, body, complete = await request_task
            assert (status, complete) == (200, True)
            assert body.count(b"id: ") == 2
            assert start_times == []

    asyncio.run(scenario())


def test_engine_that_ignores_closed_connections_starts_nothing_after_the_bound():
    """Guards against old weights whose expiry depends on a close that has an effect."""

    async def late_starts(sent_after):
        start_times = []
        engine = ScriptedEndpoint(undroppable_stream(2.5, start_times))
        async with RelayHarness(engine, timeout=3.0, fleet=fleet(bound=2.2)) as harness:
            bound = declare(harness, 2)
            await asyncio.sleep(sent_after)
            would_start_at = monotonic() + 2.5
            await harness.ask("stream")
            await asyncio.sleep(would_start_at + 0.1 - monotonic())
            return [started for started in start_times if started > bound]

    # Sent long before the bound and shortly before it.
    assert [asyncio.run(late_starts(seconds)) for seconds in (0.0, 1.2)] == [[], []]


def test_request_that_started_in_time_is_not_cancelled():
    """A stream that started before the bound continues after it."""

    async def scenario():
        endpoint = ScriptedEndpoint(delayed_stream(0.1, [], pause=BOUND))
        async with RelayHarness(endpoint, timeout=3.0, fleet=fleet()) as harness:
            declare(harness, 2)
            status, _, body, complete = await harness.ask("stream")
            assert (status, complete) == (200, True)
            assert body.count(b"id: ") == 2

    asyncio.run(scenario())


def test_restart_of_an_entry_host_does_not_restart_the_bound():
    """Guards against a version bound that restarts with the entry host.

    An entry host that started 4 s after version 2 was declared sent requests to
    engines with version 1 until 11 s after the declaration, with a bound of 8 s; the
    longest excess seen was 7 s. The platform's tables don't contain the time of a
    declaration, so each process counted the bound from its first read: after a restart
    of all processes, the logs showed an age of 6 ms for a version declared 18 s before.
    """

    async def scenario():
        relay = make_relay()
        old = EndpointEntry(
            endpoint_id="e0",
            service="s",
            address="127.0.0.1:9",
            failure_domain="a",
            slots=4,
            weights_version=1,
            layers=(0, 16),
        )
        services = {"s": Service(name="s", engine=ENGINE)}
        relay.sink.on_catalog(
            Catalog(revision=1, routes=(), service_by_name=services, requires_key=False)
        )
        relay.sink.on_entries((old,))
        relay.sink.on_declared(DeclaredWeights(model="m", version=2))
        now = monotonic()
        (answer,) = relay.fleet.step(
            PlacementRequest(service="s", prompt_tokens=10), now=now
        )
        relay.agents.close()
        assert isinstance(answer, Rejection)
        assert answer.reason == "no_weights"

    asyncio.run(scenario())
