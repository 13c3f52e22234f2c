"""Old weights answer nothing after their bound, whatever an engine does meanwhile."""

import asyncio

from hawthornspoke.base import contact_clock, monotonic
from hawthornspoke.catalog import Catalog, DeclaredWeights, EndpointEntry, Service
from hawthornspoke.placing import Ask, Decline, Fleet, WeightsDeclared
from hawthornspoke.relay.tests.endpoint import (
    ENGINE,
    RelayHarness,
    ScriptedEndpoint,
    delayed_stream,
    events,
    lone_relay,
)

BOUND = 0.8


def fleet():
    """Return a fleet whose old weights may begin to answer for 0.8 s."""
    return Fleet(failure_domain="a", version_bound=BOUND, version_margin=0.3)


def declare(harness, version):
    """Declare a version now; return when older ones may no longer begin."""
    declared = DeclaredWeights(model="m", version=version)
    message = WeightsDeclared(declared=declared, at=contact_clock())
    harness.fleet.step(message, now=monotonic())
    return monotonic() + BOUND


def test_request_that_waits_at_an_engine_is_withdrawn_before_the_bound():
    """A request began on old weights 46 ms after their bound.

    Symptom: callers got a first event of version 2 more than 8 s after version 3 was
    declared, on a day on which two versions were named 4 s apart.
    Events: an engine that had just taken up version 2 took 45 requests within a
    second from nine entry hosts, each of which saw it empty. One was sent 1.2 s before
    the bound and expected to begin within 0.1 s; it began after 1.19 s, 1 ms
    before the entry host gave it up for its silence.
    Cause: whether a request begins in time was an expectation at the moment of
    sending. Nothing took a request back that waited longer.
    Evidence: arrivals at that engine in the second concerned, and two requests of
    another run of the same day that waited 1.11 s at such an engine and were given
    up by the same clock, 1.0 s before the bound by luck alone.
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


def test_withdrawn_request_goes_to_an_engine_with_the_new_weights():
    """The same events, and an engine that has the new version by then."""

    async def scenario():
        start_times = []
        full, current = (
            ScriptedEndpoint(delayed_stream(BOUND + 0.1, start_times)),
            ScriptedEndpoint(events([1, 2], version="2")),
        )
        async with RelayHarness(full, current, timeout=3.0, fleet=fleet()) as harness:
            entry = harness.fleet.endpoint_by_id["e1"].entry
            harness.fleet.endpoint_by_id["e1"].own_running = 3
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
            status, _, body, is_complete = await request_task
            assert (status, is_complete) == (200, True)
            assert body.count(b"id: ") == 2
            assert start_times == []

    asyncio.run(scenario())


def test_request_that_has_begun_in_time_is_left_alone():
    """A stream that began before the bound goes on after it."""

    async def scenario():
        endpoint = ScriptedEndpoint(delayed_stream(0.1, [], pause=BOUND))
        async with RelayHarness(endpoint, timeout=3.0, fleet=fleet()) as harness:
            declare(harness, 2)
            status, _, body, is_complete = await harness.ask("stream")
            assert (status, is_complete) == (200, True)
            assert body.count(b"id: ") == 2

    asyncio.run(scenario())


def test_entry_host_that_restarts_does_not_begin_the_bound_anew():
    """Old weights answered for up to 7 s after their bound.

    Symptom: an entry host that had started 4 s after version 2 was declared sent
    requests to engines with version 1 until 11 s after the declaration; the bound
    is 8 s.
    Events: the process starts, reads the platform's tables for the first time and
    finds a declared version there, without a word on when it was written.
    Cause: the bound was counted from the moment at which this process learned of
    the declaration.
    Evidence: after a kill of all processes the logs tell an age of 6 ms for a
    version that had been declared 18 s before.
    """

    async def scenario():
        relay = lone_relay()
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
        relay.sink.on_catalog(Catalog(revision=1, routes=(), service_by_name=services))
        relay.sink.on_entries((old,))
        relay.sink.on_declared(DeclaredWeights(model="m", version=2))
        now = monotonic()
        (answer,) = relay.fleet.step(Ask(service="s", prompt_tokens=10), now=now)
        relay.agents.close()
        assert isinstance(answer, Decline)
        assert answer.reason == "no_weights"

    asyncio.run(scenario())
