"""Quarantine of requests that crash endpoints, at an entry host."""

import asyncio
import dataclasses

from hawthornspoke.base import monotonic
from hawthornspoke.httpio import refuses_connections
from hawthornspoke.placing import EndpointsListed
from hawthornspoke.protocol import Frame
from hawthornspoke.quarantine import EndpointEnded, Evidence, encode_evidence
from hawthornspoke.relay import _suspects
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    delayed_stream,
    events,
    field,
    reset_connection,
    silent,
    stream_event,
    stream_head,
)
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario
from hawthornspoke.signals import ReportedLoad, SignalsObserved


def then_exit(step):
    """Return a step that runs another one, and then ends the endpoint."""

    async def exiting(endpoint, head, writer):
        await step(endpoint, head, writer)
        await writer.drain()
        endpoint.close()
        return False

    return exiting


async def next_event(endpoint, head, writer):
    """Step that sends the next event of a stream, and leaves the stream incomplete."""
    last = int(field(head, "Last-Event-Id") or 0)
    writer.write(stream_head(head) + stream_event(last + 1))
    await writer.drain()
    await asyncio.sleep(0.02)


def quarantine(harness, fingerprint, *, incarnation_ids=("x1", "x2", "x3")):
    """Put requests with a feature into quarantine, by ends one second apart."""
    now = monotonic() - len(incarnation_ids)
    for number, incarnation_id in enumerate(incarnation_ids):
        message = EndpointEnded(
            incarnation_id=incarnation_id,
            fingerprints=(fingerprint,),
            other_endpoints_in_use=9,
        )
        harness.suspects.quarantine.step(message, now=now + number)


def evidence_against(fingerprint):
    """Return an agent's frame with evidence against a request from other hosts."""
    now = monotonic()
    items = [
        Evidence(
            fingerprint=fingerprint,
            incarnation_id=incarnation_id,
            deadline=now + 60 + number,
        )
        for number, incarnation_id in enumerate(("x1", "x2", "x3"))
    ]
    return Frame(evidence=encode_evidence(items, now=now))


async def fingerprint_of_next(harness, prefix):
    """Make a request; return the fingerprint that the host computes for it."""
    recorded = []
    refusal = harness.suspects.refusal

    def record(features):
        recorded.append(features[0])
        return refusal(features)

    harness.handler._suspects = RecordingSuspects(harness.suspects, record)
    await harness.ask(prefix)
    harness.handler._suspects = harness.suspects
    return recorded[0]


class RecordingSuspects:
    """PoisonRequestTracker with another ``refusal`` method."""

    def __init__(self, suspects, refusal):
        self.refusal = refusal
        self.record_answered = suspects.record_answered
        self.is_informed = suspects.is_informed


def test_request_in_quarantine_is_refused_without_being_sent():
    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint) as harness:
            fingerprint = await fingerprint_of_next(harness, "again")
            quarantine(harness, fingerprint)
            status, head, _, _ = await harness.ask("again")
            assert status == 503
            assert float(field(head, "Retry-After")) > 60
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_other_requests_of_the_caller_are_served():
    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint) as harness:
            fingerprint = await fingerprint_of_next(harness, "again")
            quarantine(harness, fingerprint)
            assert (await harness.ask("once"))[0] == 200

    run_scenario(scenario)


def test_quarantine_that_starts_while_waiting_for_a_connection_applies():
    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint) as harness:
            fingerprint = await fingerprint_of_next(harness, "again")
            harness.pool.actions = [lambda: quarantine(harness, fingerprint)]
            status, head, _, _ = await harness.ask("again")
            assert status == 503
            assert float(field(head, "Retry-After")) > 60
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_request_sent_before_its_quarantine_may_have_run():
    async def scenario():
        first, second = (
            ScriptedEndpoint(then_exit(reset_connection())),
            ScriptedEndpoint(then_exit(reset_connection())),
        )
        async with RelayHarness(first, second, timeout=2.0) as harness:
            quarantine(harness, "other")
            status, head, _, _ = await harness.ask("again")
            assert status == 502
            assert field(head, "Retry-After") is None

    run_scenario(scenario)


def test_request_waiting_at_an_endpoint_is_cancelled_by_its_quarantine():
    """Guards against an endpoint that crashes from a request sent earlier."""

    async def scenario():
        endpoint = ScriptedEndpoint(events([1]), silent())
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            fingerprint = await fingerprint_of_next(harness, "stream")
            request_task = asyncio.create_task(harness.ask("stream"))
            await asyncio.sleep(0.1)
            at_endpoint = harness.fleet.endpoint_by_id["e0"]
            assert at_endpoint.own_in_flight == 1
            harness.suspects.merge_evidence(evidence_against(fingerprint))
            status, head, _, _ = await asyncio.wait_for(request_task, 0.5)
            assert status == 502
            assert field(head, "Retry-After") is None
            assert at_endpoint.own_in_flight == 0
            assert at_endpoint.failure_rate == 0

    run_scenario(scenario)


def test_reset_by_a_running_endpoint_is_no_evidence():
    async def scenario():
        first, second = (
            ScriptedEndpoint(reset_connection(), reset_connection()),
            ScriptedEndpoint(answer(), answer()),
        )
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            assert (await harness.ask("again"))[0] == 200
            await asyncio.sleep(0.05)
            assert harness.suspects.quarantine.evidence(now=monotonic()) == []

    run_scenario(scenario)


def test_third_probe_is_awaited_before_a_retry(monkeypatch):
    """Guards against a fourth endpoint that crashes while the third is probed."""

    async def slow_probe(address, *, timeout):
        await asyncio.sleep(0.05)
        return await refuses_connections(address, timeout=timeout)

    monkeypatch.setattr(_suspects, "refuses_connections", slow_probe)

    async def scenario():
        endpoints = [ScriptedEndpoint(then_exit(reset_connection())) for _ in range(4)]
        async with RelayHarness(*endpoints, timeout=2.0) as harness:
            await harness.ask("again")
            await harness.ask("again")
            await harness.ask("again")
            assert sum(len(endpoint.requests) for endpoint in endpoints) == 3

    run_scenario(scenario)


def test_resumed_stream_counts_at_each_endpoint_that_ended():
    async def scenario():
        endpoints = [ScriptedEndpoint(then_exit(next_event)) for _ in range(4)]
        async with RelayHarness(*endpoints, timeout=2.0) as harness:
            _, _, body, complete = await harness.ask("stream")
            assert event_ids(body) == [1, 2]
            assert not complete
            await harness.ask("stream")
            status, _, _, _ = await harness.ask("stream")
            assert status == 503
            assert sum(len(endpoint.requests) for endpoint in endpoints) == 3

    run_scenario(scenario)


def test_at_most_once_request_counts_when_its_caller_repeats_it():
    async def scenario():
        endpoints = [ScriptedEndpoint(then_exit(reset_connection())) for _ in range(4)]
        async with RelayHarness(*endpoints) as harness:
            statuses = [(await harness.ask("once"))[0] for _ in range(4)]
            assert statuses == [502, 502, 502, 503]
            assert sum(len(endpoint.requests) for endpoint in endpoints) == 3

    run_scenario(scenario)


def test_response_clears_a_request_that_ran_concurrently():
    async def scenario():
        first, second = (
            ScriptedEndpoint(then_exit(reset_connection())),
            ScriptedEndpoint(answer()),
        )
        async with RelayHarness(first, second, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            assert (await harness.ask("again"))[0] == 200
            await asyncio.sleep(0.05)
            items = harness.suspects.quarantine.evidence(now=monotonic())
            assert all(item.cleared for item in items)

    run_scenario(scenario)


def test_error_response_clears_a_request():
    async def scenario():
        first, second = (
            ScriptedEndpoint(then_exit(reset_connection())),
            ScriptedEndpoint(answer(status=500)),
        )
        async with RelayHarness(first, second, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            assert (await harness.ask("again"))[0] == 500
            items = harness.suspects.quarantine.evidence(now=monotonic())
            assert all(item.cleared for item in items)

    run_scenario(scenario)


async def end_the_only_endpoint_in_use(harness, endpoints, *, ended):
    """Send requests that all run at the first endpoint when some endpoints end."""
    for number in range(1, len(endpoints)):
        busy = SignalsObserved(
            endpoint_id=f"e{number}",
            value_by_signal={"load": ReportedLoad(requests=99)},
        )
        harness.fleet.step(busy, now=monotonic())

    async def end_all(endpoint, head, writer):
        for item in ended:
            item.close()
        return False

    endpoints[0].steps = [end_all]
    await harness.ask("once")
    await asyncio.sleep(0.05)
    return [
        item.cleared for item in harness.suspects.quarantine.evidence(now=monotonic())
    ]


def test_idle_endpoints_tell_a_mass_failure_from_a_poison_request():
    """Guards against a host with few requests that takes each mass end for their fault.

    The other endpoints are probed only if all its requests were at one.
    """

    async def scenario(ended_count, cleared):
        endpoints = [ScriptedEndpoint() for _ in range(3)]
        async with RelayHarness(*endpoints) as harness:
            evidence = await end_the_only_endpoint_in_use(
                harness, endpoints, ended=endpoints[:ended_count]
            )
            assert evidence == [cleared]

    for ended_count, cleared in ((1, False), (2, False), (3, True)):
        asyncio.run(scenario(ended_count, cleared))


def test_requests_with_a_quarantined_part_are_refused_and_others_served():
    """Guards against refusing a caller or a route for one part of some prompts."""

    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint) as harness:
            quarantine(harness, "part:dead")
            status, head, _, _ = await harness.ask(
                "again", extra=["X-Prompt-Parts: a1:5,DEAD:5,f1:5"]
            )
            assert status == 503
            assert float(field(head, "Retry-After")) > 60
            own = await harness.ask("again", extra=["X-Prompt-Parts: a1:5,dead:5"])
            assert own[0] == 200
            assert len(endpoint.requests) == 1
            refusal = harness.suspects.refusal(("f", "part:a1", "part:dead"))
            assert refusal.reason == "part:dead"

    run_scenario(scenario)


def test_stream_with_events_is_not_cut_by_the_quarantine_of_a_part():
    """Guards against breaking off sound streams when a part they have is blamed."""

    async def scenario():
        endpoint = ScriptedEndpoint(delayed_stream(0.0, [], pause=0.3))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            request = asyncio.create_task(
                harness.ask("stream", extra=["X-Prompt-Parts: a1:5,f1:5"])
            )
            await asyncio.sleep(0.15)
            harness.suspects.merge_evidence(evidence_against("part:a1"))
            assert harness.suspects.refusal(("f", "part:a1")) is not None
            _, _, body, complete = await request
            assert event_ids(body) == [1, 2] and complete

    run_scenario(scenario)


def test_waiting_request_is_cancelled_by_the_quarantine_of_its_part():
    """Guards against an endpoint that crashes from a request queued there before."""

    async def scenario():
        endpoint = ScriptedEndpoint(silent())
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            request = asyncio.create_task(
                harness.ask("stream", extra=["X-Prompt-Parts: a1:5,f1:5"])
            )
            await asyncio.sleep(0.1)
            harness.suspects.merge_evidence(evidence_against("part:a1"))
            status, _, _, _ = await asyncio.wait_for(request, 0.5)
            assert status == 502
            assert harness.fleet.endpoint_by_id["e0"].own_in_flight == 0

    run_scenario(scenario)


def test_failing_endpoint_clears_no_part():
    """Guards against a part that an endpoint's 500 clears though it wasn't run."""

    async def scenario():
        endpoint = ScriptedEndpoint(answer(status=500), answer(status=500))
        async with RelayHarness(endpoint) as harness:
            quarantine(harness, "part:b1", incarnation_ids=("x1", "x2"))
            await harness.ask("once", extra=["X-Prompt-Parts: b1:5,f1:5"])
            items = harness.suspects.quarantine.evidence(now=monotonic())
            assert [item.cleared for item in items] == [False, False]
            endpoint.steps = [answer()]
            await harness.ask("once", extra=["X-Prompt-Parts: b1:5,f2:5"])
            items = harness.suspects.quarantine.evidence(now=monotonic())
            assert [item.cleared for item in items] == [True, True]

    run_scenario(scenario)


def test_request_before_the_stored_evidence_is_read_is_refused_and_not_sent():
    """Guards against a crash in the moment between a start and what it must know."""

    async def scenario():
        endpoint = ScriptedEndpoint(answer())
        async with RelayHarness(endpoint) as harness:
            harness.suspects.await_record(monotonic() + 60.0)
            status, head, _, _ = await harness.ask("again")
            assert status == 503
            assert float(field(head, "Retry-After")) <= 0.5
            assert endpoint.requests == []
            harness.suspects.merge_recorded(())
            assert (await harness.ask("again"))[0] == 200

    run_scenario(scenario)


def test_requests_are_served_if_the_stored_evidence_cannot_be_read():
    """Guards against a host that serves nothing while the platform is away."""

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(answer())) as harness:
            harness.suspects.await_record(monotonic() + 0.05)
            await asyncio.sleep(0.1)
            assert (await harness.ask("again"))[0] == 200

    run_scenario(scenario)


def test_end_of_an_endpoint_that_listens_again_at_once_is_recognized():
    """Guards against crashes that nobody counts, as a probe finds the next process."""

    async def scenario():
        first, second = (
            ScriptedEndpoint(reset_connection()),
            ScriptedEndpoint(answer(status=500), answer(status=500)),
        )
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            await harness.ask("again", extra=("X-Prompt-Parts: a1:9,b1:9,f1:9",))
            await asyncio.sleep(0.05)
            quarantine_state = harness.suspects.quarantine
            assert quarantine_state.evidence(now=monotonic()) == []
            entries = [item.entry for item in harness.fleet.endpoint_by_id.values()]
            entries[0] = dataclasses.replace(entries[0], endpoint_id="e0-again")
            harness.fleet.step(EndpointsListed(entries=tuple(entries)), now=monotonic())
            harness.suspects.on_endpoints_listed()
            items = quarantine_state.evidence(now=monotonic())
            assert {item.fingerprint for item in items} == {"part:a1", "part:b1"}
            assert all(item.incarnation_id.startswith("e0") for item in items)

    run_scenario(scenario)


def test_stream_that_has_had_events_is_not_cut_by_a_quarantine():
    """Guards against cutting all streams of a request that was beside other causes."""

    async def scenario():
        endpoint = ScriptedEndpoint(events([1]), delayed_stream(0.05, [], pause=0.3))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            fingerprint = await fingerprint_of_next(harness, "stream")
            request_task = asyncio.create_task(harness.ask("stream"))
            await asyncio.sleep(0.15)
            harness.suspects.merge_evidence(evidence_against(fingerprint))
            status, _, body, complete = await asyncio.wait_for(request_task, 1.0)
            assert (status, event_ids(body), complete) == (200, [1, 2], True)

    run_scenario(scenario)
