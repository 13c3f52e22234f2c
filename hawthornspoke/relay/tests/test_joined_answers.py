"""Answers that are cut short and followed by another one on their connection."""

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.httpio._matching import ResponseMatcher
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    response,
    stream_head,
)
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario
from hawthornspoke.relay.tests.test_unframed_answers import event, unframed
from hawthornspoke.relay.tests.test_unmatched_answers import OTHER, late_answer


@pytest.mark.parametrize("prefix, status", [("once", 502), ("again", 200)])
def test_answer_that_is_cut_and_followed_by_another_is_not_joined(prefix, status):
    """Guards against a body that contains the answer to another request."""

    async def respond(endpoint, head, writer):
        own = response(head, body=b"x" * 400)
        other = late_answer(200, b"y" * 400, fields=[OTHER])
        writer.write(own[:-200] + other[:200])
        await endpoint.reader.read()

    async def scenario():
        broken, other = ScriptedEndpoint(respond), ScriptedEndpoint()
        async with RelayHarness(broken, other, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            result, _, body, _ = await harness.ask(prefix)
            assert (result, body) == (status, b"ok" if status == 200 else b"")

    run_scenario(scenario)


def test_stream_that_is_followed_by_another_answer_is_not_joined():
    """Guards against a whole stream without framing that holds another's answer."""
    late = late_answer(200, event(7), fields=[OTHER])

    async def scenario():
        endpoint = ScriptedEndpoint(unframed(event(1) + late))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            _, _, body, complete = await harness.ask("stream")
            assert 7 not in event_ids(body)
            assert not (complete and b"HTTP/1.1" in body)

    run_scenario(scenario)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_stream_cut_inside_an_event_is_not_joined_to_another_answer(is_chunked):
    """Guards against an event that holds a part of another request's answer."""
    late = late_answer(200, event(7), fields=[OTHER])
    data = event(1) + b"id: 2\nda" + late

    async def respond(endpoint, head, writer):
        writer.write(stream_head(head) + b"%x\r\n" % (len(data) + 50) + data)
        await endpoint.reader.read()

    async def scenario():
        step = respond if is_chunked else unframed(data)
        async with RelayHarness(ScriptedEndpoint(step), timeout=2.0) as harness:
            _, _, body, _ = await harness.ask("stream")
            assert b"HTTP/1.1" not in body

    run_scenario(scenario)


CONTAINED_HEADS = {
    "own": b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n",
    "another's": b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: r2\r\n",
    "behind an echo of the id": b"X-Id: r1\r\n cutHTTP/1.1 200 OK\r\nX-Id: r1\r\n",
    "that names a protocol": b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 p\r\nX-Id: r1\r\n",
}


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("name", CONTAINED_HEADS)
def test_head_is_found_in_a_body(name, size):
    """Guards against a body of two answers, however its parts arrive."""
    matcher = ResponseMatcher(id_header="X-Id", expected_id="r1", is_first=True)
    matcher.start_body()
    data = b"cut" + CONTAINED_HEADS[name]
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    assert any(matcher.contains_head(part) for part in parts)


SOUND_BODIES = {
    "request": b"POST / HTTP/1.1\r\nX-Id: r1\r\n\r\n",
    "head of another protocol": b"HTTP/1.1 200 OK\r\nContent-Type: x\r\n\r\nX-Id: r1",
    "escaped": rb"HTTP/1.1 200 OK\r\nX-Id: r1\r\n",
}


@pytest.mark.parametrize("name", SOUND_BODIES)
def test_text_of_the_protocol_in_a_body_is_no_head(name):
    """Guards against sound answers that fail for what they quote."""
    matcher = ResponseMatcher(id_header="X-Id", expected_id="r1", is_first=True)
    matcher.start_body()
    assert not matcher.contains_head(SOUND_BODIES[name])


def test_refusal_without_an_id_is_not_held_until_the_deadline():
    """Guards against callers that wait as an endpoint refuses without the id."""

    async def refuse(endpoint, head, writer):
        data = late_answer(503, b"", fields=["X-Not-Run: 1", "Connection: close"])
        writer.write(data.replace(b"X-Seal: s\r\n", b""))
        await endpoint.reader.read()

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), refuse)
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            await harness.ask("once")
            began = monotonic()
            status, _, _, _ = await harness.ask("once")
            assert status == 502
            assert monotonic() < began + 1.0

    run_scenario(scenario)
