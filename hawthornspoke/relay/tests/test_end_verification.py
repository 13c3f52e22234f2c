"""Proofs that an endpoint runs after the end of an answer without framing."""

import asyncio

import pytest

from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer_probe,
    field,
)
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario
from hawthornspoke.relay.tests.test_unframed_answers import (
    event,
    keep_connections,
    slow_answer,
    unframed,
)
from hawthornspoke.relay.tests.test_unmatched_answers import late_answer

LATE_ERRORS = {
    "failure": late_answer(500, b"").replace(b"X-Seal: s\r\n", b""),
    "refusal": late_answer(503, b"", fields=["X-Not-Run: 1"]).replace(
        b"X-Seal: s\r\n", b""
    ),
}


@pytest.mark.parametrize("name", LATE_ERRORS)
def test_late_error_is_no_proof(name):
    """Guards against a proof by an error that was sent before the end."""

    async def late_error(endpoint, head, writer):
        writer.write(LATE_ERRORS[name])

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 2, unframed(event(1)), probe_step=late_error
        )
        async with RelayHarness(endpoint, timeout=2.0, health_path=None) as harness:
            await keep_connections(harness)
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1], False)

    run_scenario(scenario)


def refusal(head, *, echoes_id, status=421):
    """Return the refusal of a request for another endpoint that names no sender."""
    fields = ["X-Not-Run: 1", "Keep-Alive: timeout=10"]
    if echoes_id:
        fields.append(f"X-Request-Id: {field(head, 'X-Request-Id')}")
    return late_answer(status, b"", fields=fields).replace(b"X-Seal: s\r\n", b"")


@pytest.mark.parametrize("echoes_id", [False, True])
def test_repeated_refusal_of_an_earlier_probe_is_no_proof(echoes_id):
    """Guards against a proof by the answer to the probe of an earlier end."""
    first_refusals = []

    async def refuse_once(endpoint, head, writer):
        if not first_refusals:
            first_refusals.append(refusal(head, echoes_id=echoes_id))
        writer.write(first_refusals[0])

    async def late_stream(endpoint, head, writer):
        await asyncio.sleep(0.3)
        await unframed(event(2))(endpoint, head, writer)

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 3,
            unframed(event(1)),
            late_stream,
            probe_step=refuse_once,
        )
        async with RelayHarness(endpoint, timeout=3.0, health_path=None) as harness:
            await keep_connections(harness, 3)
            first = asyncio.create_task(harness.ask("stream"))
            await asyncio.sleep(0.01)
            _, _, body, complete = await harness.ask("stream", request_id="r2")
            assert (event_ids(body), complete) == ([2], False)
            assert (await first)[3]

    run_scenario(scenario)


@pytest.mark.parametrize("status", [400, 503])
def test_answer_that_echoes_the_id_of_the_probe_is_a_proof(status):
    """Guards against sound streams that are cut as their endpoint has no 421."""

    async def refuse(endpoint, head, writer):
        writer.write(refusal(head, echoes_id=True, status=status))

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.3)] * 2, unframed(event(1)), probe_step=refuse
        )
        async with RelayHarness(endpoint, timeout=2.0, health_path=None) as harness:
            await keep_connections(harness)
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1], True)

    run_scenario(scenario)


def test_only_probes_for_another_endpoint_have_an_id():
    """Guards against a probe that an endpoint runs as a request of no caller."""

    async def refuse(endpoint, head, writer):
        writer.write(refusal(head, echoes_id=False))

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 3,
            unframed(event(1)),
            unframed(event(2)),
            probe_step=refuse,
        )
        async with RelayHarness(endpoint, timeout=3.0) as harness:
            await keep_connections(harness, 3)
            await harness.ask("stream")
            await harness.ask("stream")
            assert len(endpoint.probes) > 1
            for probe in endpoint.probes:
                is_for_other = field(probe, "X-Expect-Endpoint") == "none"
                assert (field(probe, "X-Request-Id") is not None) == is_for_other

    run_scenario(scenario)


def test_end_is_proven_over_a_new_connection_if_kept_ones_hang():
    """Guards against a sound stream that is cut as kept connections use up the time."""

    async def probe(endpoint, head, writer):
        if len(endpoint.probes) <= 3:
            await asyncio.sleep(2.0)
            return False
        return await answer_probe()(endpoint, head, writer)

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 4, unframed(event(1)), probe_step=probe
        )
        async with RelayHarness(endpoint, timeout=3.0) as harness:
            await keep_connections(harness, 4)
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1], True)

    run_scenario(scenario)


def test_end_is_proven_by_a_full_endpoint_that_names_itself_as_it_refuses_another():
    """Guards against a sound stream that is cut as its endpoint has no free slot."""

    async def probe(endpoint, head, writer):
        if field(head, "X-Expect-Endpoint") == endpoint.endpoint_id:
            data = late_answer(503, b"", fields=["X-Not-Run: 1"])
            writer.write(data.replace(b"X-Seal: s\r\n", b""))
            return None
        return await answer_probe()(endpoint, head, writer)

    async def scenario():
        endpoint = ScriptedEndpoint(unframed(event(1)), probe_step=probe)
        async with RelayHarness(endpoint, timeout=3.0) as harness:
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1], True)

    run_scenario(scenario)


def test_end_is_proven_over_a_kept_connection_of_an_endpoint_that_stops_listening():
    """Guards against sound streams that are cut as their endpoint leaves."""

    async def probe(endpoint, head, writer):
        await asyncio.sleep(0.2)
        writer.write(refusal(head, echoes_id=True))

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 2,
            unframed(event(1), stops_listening=True),
            probe_step=probe,
        )
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            await keep_connections(harness)
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1], True)

    run_scenario(scenario)


def test_search_leaves_no_connection_open():
    """Guards against connections that stay open after a search without a proof."""

    async def hang(endpoint, head, writer):
        readers.append(endpoint.reader)
        await writer.wait_closed()
        return False

    readers = []

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 2, unframed(event(1)), probe_step=hang
        )
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            await keep_connections(harness)
            await harness.ask("stream")
            await asyncio.sleep(0.1)
            assert len(readers) > 2
            assert all(reader.at_eof() for reader in readers)

    run_scenario(scenario)
