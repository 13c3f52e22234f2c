"""Bytes that arrive on a kept connection before the answer to its request."""

import asyncio

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    events,
    response,
    stream_event,
    stream_head,
)
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario

#: Field of an answer that names another request than that of the caller.
OTHER = "X-Request-Id: other"


def late_answer(status, body, *, fields=()):
    """Return the bytes of a sealed answer that names no request."""
    lines = [f"HTTP/1.1 {status} X", "X-Seal: s", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, *fields, "", ""]).encode() + body


def preceded_by(data, step):
    """Return a step that sends other bytes before an answer."""

    async def send(endpoint, head, writer):
        writer.write(data)
        return await step(endpoint, head, writer)

    return send


async def ask_twice(harness, prefix):
    """Answer one request, and return what the caller of the next one gets."""
    status, _, _, _ = await harness.ask("again")
    assert status == 200
    opened = harness.pool.opened
    result = await harness.ask(prefix)
    assert harness.pool.opened == opened
    return result


UNIDENTIFIED = {
    "success": late_answer(200, b"of another"),
    "failure": late_answer(500, b"of another"),
    "refusal": late_answer(503, b"", fields=["X-Not-Run: 1"]),
    "invalid request": late_answer(400, b"", fields=["X-Not-Run: 1"]),
    "several": late_answer(200, b"of another") + late_answer(500, b"again"),
}


@pytest.mark.parametrize("prefix", ["once", "again"])
@pytest.mark.parametrize("name", UNIDENTIFIED)
def test_late_answer_without_an_id_is_not_given_to_the_next_request(name, prefix):
    """Guards against callers that get another request's answer."""

    async def scenario():
        endpoint = ScriptedEndpoint(
            answer(), preceded_by(UNIDENTIFIED[name], answer(body=b"own"))
        )
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            status, _, body, _ = await ask_twice(harness, prefix)
            assert (status, body) == (200, b"own")
            assert len(endpoint.requests) == 2

    run_scenario(scenario)


def test_late_stream_without_an_id_is_not_given_to_the_next_request():
    """Guards against a stream that begins with the events of another request."""
    late = stream_head("").replace(b"X-Request-Id: None\r\n", b"")
    late += stream_event(7) + b"0\r\n\r\n"

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), preceded_by(late, events([1, 2])))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            status, _, body, complete = await ask_twice(harness, "stream")
            assert (status, event_ids(body), complete) == (200, [1, 2], True)

    run_scenario(scenario)


def test_answer_without_an_id_to_the_first_request_of_a_connection_is_its_answer():
    async def respond(endpoint, head, writer):
        writer.write(late_answer(200, b"own"))

    async def scenario():
        endpoint = ScriptedEndpoint(respond, respond)
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            for _ in range(2):
                status, _, body, _ = await harness.ask("once")
                assert (status, body) == (200, b"own")
            # What follows on such a connection might be a late answer.
            assert harness.pool.opened == 2

    run_scenario(scenario)


def test_request_without_an_id_gets_the_answer_of_its_endpoint():
    """Guards against a refusal that isn't given to a request without an id."""

    async def refuse(endpoint, head, writer):
        writer.write(late_answer(400, b"", fields=["X-Not-Run: 1"]))

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), refuse)
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            await harness.ask("once")
            began = monotonic()
            status, _, _, _ = await harness.ask("once", request_id=None)
            assert status == 503
            assert monotonic() < began + 1.0

    run_scenario(scenario)


@pytest.mark.parametrize("prefix", ["once", "again", "stream"])
@pytest.mark.parametrize("status, fields", [(503, ["X-Not-Run: 1"]), (500, [])])
def test_no_endpoint_gets_two_attempts_of_one_request(prefix, status, fields):
    """Guards against a late answer to the first attempt, which bears the same id."""

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), answer(status, b"", fields))
        async with RelayHarness(endpoint, timeout=1.0) as harness:
            await harness.ask("once")
            result, _, _, _ = await harness.ask(prefix)
            assert result == status
            assert len(endpoint.requests) == 2

    run_scenario(scenario)


def test_no_request_is_sent_on_a_connection_with_unread_data():
    """Guards against a late answer that arrives right before the next request."""

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), answer(body=b"own"))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            await harness.ask("again")
            (idle,) = harness.pool._idle_by_key["e0"]
            idle.connection.transport.pause_reading()
            endpoint.writer.write(late_answer(200, b"of another"))
            await endpoint.writer.drain()
            status, _, body, _ = await harness.ask("once")
            assert (status, body) == (200, b"own")
            assert not idle.connection.is_open

    run_scenario(scenario)


#: The expected answer: a head alone.
OWN = b"HTTP/1.1 204 X\r\nX-Seal: s\r\nX-Request-Id: r1\r\n\r\n"

UNREADABLE = {
    "without a length": f"HTTP/1.1 200 X\r\nX-Seal: s\r\n{OTHER}\r\n\r\nof an".encode(),
    "cut short": late_answer(200, b"x" * 5000, fields=[OTHER])[:-4000],
    "cut short, in chunks": (
        f"HTTP/1.1 200 X\r\nX-Seal: s\r\n{OTHER}\r\n".encode()
        + b"Transfer-Encoding: chunked\r\n\r\nfff\r\nof another"
    ),
    "cut short, in a trailer": (
        f"HTTP/1.1 200 X\r\nX-Seal: s\r\n{OTHER}\r\n".encode()
        + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 1"
    ),
    "cut short, without an id": late_answer(200, b"x" * 5000)[:-4000],
}


@pytest.mark.parametrize("sent_last", [0, 5, 15])
@pytest.mark.parametrize("prefix", ["once", "stream"])
@pytest.mark.parametrize("name", UNREADABLE)
def test_request_behind_an_unfinished_late_answer_ends_at_once(name, prefix, sent_last):
    """Guards against callers that wait for an answer that can't be found any more."""

    async def respond(endpoint, head, writer):
        data = UNREADABLE[name] + OWN
        writer.write(data[:-sent_last] if sent_last else data)
        await asyncio.sleep(0.02)
        writer.write(data[-sent_last:] if sent_last else b"")
        await endpoint.reader.read()

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), respond, respond)
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            began = monotonic()
            status, _, _, _ = await ask_twice(harness, prefix)
            assert status == 502
            assert monotonic() < began + 1.0
            assert len(endpoint.requests) == 2
            # It isn't evidence that the endpoint ended.
            assert harness.logged("broken_off") == []

    run_scenario(scenario)


def test_request_behind_an_unfinished_late_answer_goes_to_another_endpoint():
    """Guards against a failure where another endpoint could have answered."""

    async def respond(endpoint, head, writer):
        writer.write(UNREADABLE["without a length"])
        await endpoint.reader.read()

    async def scenario():
        broken = ScriptedEndpoint(answer(), respond)
        other = ScriptedEndpoint(answer(body=b"other"))
        async with RelayHarness(broken, other, timeout=3.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            await harness.ask("again")
            began = monotonic()
            status, _, body, _ = await harness.ask("again")
            assert (status, body, len(broken.requests)) == (200, b"other", 2)
            assert monotonic() < began + 1.0

    run_scenario(scenario)


@pytest.mark.parametrize("sent_last", [0, 130, 160, 200])
@pytest.mark.parametrize("prefix, status", [("once", 502), ("again", 200)])
def test_answer_that_is_cut_and_sent_once_more_is_not_joined(prefix, status, sent_last):
    """Guards against a body of two answers that looks whole."""

    async def respond(endpoint, head, writer):
        own = response(head, body=b"x" * 400)
        data = own[:-200] + own[:300]
        writer.write(data[: len(data) - sent_last])
        await asyncio.sleep(0.02)
        writer.write(data[len(data) - sent_last :])
        await endpoint.reader.read()

    async def scenario():
        broken, other = ScriptedEndpoint(respond), ScriptedEndpoint()
        async with RelayHarness(broken, other, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            result, _, body, _ = await harness.ask(prefix)
            assert (result, body) == (status, b"ok" if status == 200 else b"")

    run_scenario(scenario)


def test_body_that_names_its_request_is_passed_on():
    async def respond(endpoint, head, writer):
        text = b"HTTP/1.1 200 X\r\n\r\nX-Request-Id: r1\r\nGET / HTTP/1.1\r\n"
        writer.write(response(head, body=text + head.encode()))

    async def scenario():
        endpoint = ScriptedEndpoint(respond)
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            status, _, body, _ = await harness.ask("once")
            assert (status, body.count(b"X-Request-Id: r1")) == (200, 2)

    run_scenario(scenario)


CUT_HEADS = {
    "success": b"HTTP/1.1 200 X\r\nX-Seal: of an",
    "refusal": b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Seal: of an",
    "failure": b"HTTP/1.1 500 X\r\nX-Request-Id: oth",
    "reason": b"HTTP/1.1 200 O",
    "status": b"HTTP/1.1 200 ",
    "end of a line": b"HTTP/1.1 200 X\r\nX-Seal: s\r\n",
}


@pytest.mark.parametrize("own_status", [200, 500])
@pytest.mark.parametrize("name", CUT_HEADS)
def test_late_answer_that_is_cut_in_its_head_lends_the_next_no_status(name, own_status):
    """Guards against a status, seal or promise of another request's answer."""

    async def scenario():
        own = answer(own_status, b"own")
        endpoint = ScriptedEndpoint(answer(), preceded_by(CUT_HEADS[name], own))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            status, head, _, _ = await ask_twice(harness, "once")
            assert (status, "X-Seal" in head) == (502, False)
            assert len(endpoint.requests) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("prefix", ["once", "stream"])
@pytest.mark.parametrize("status", ["000", "001", "099", "101", "600", "700", "999"])
def test_answer_whose_status_is_none_of_the_protocol_fails_at_once(status, prefix):
    """Guards against callers that get such a status, or wait for another answer."""

    async def respond(endpoint, head, writer):
        data = response(head, body=b"own").replace(b" 200 ", f" {status} ".encode())
        writer.write(data)
        await endpoint.reader.read()

    async def scenario():
        endpoint = ScriptedEndpoint(answer(), respond)
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            began = monotonic()
            result, head, _, _ = await ask_twice(harness, prefix)
            assert (result, "X-Seal" in head) == (502, False)
            assert monotonic() < began + 1.0
            assert len(endpoint.requests) == 2
            assert harness.logged("broken_off") == []

    run_scenario(scenario)


def test_answer_whose_status_is_none_of_the_protocol_is_repeated_elsewhere():
    """Guards against a failure where another endpoint could have answered."""

    async def scenario():
        broken = ScriptedEndpoint(answer("000", b"own"))
        other = ScriptedEndpoint(answer(body=b"other"))
        async with RelayHarness(broken, other, timeout=3.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            began = monotonic()
            status, _, body, _ = await harness.ask("again")
            assert (status, body, len(broken.requests)) == (200, b"other", 1)
            assert monotonic() < began + 1.0

    run_scenario(scenario)


@pytest.mark.parametrize("status", [100, 102, 150, 199])
def test_answer_behind_interim_responses_is_given_to_the_caller(status):
    async def scenario():
        interim = f"HTTP/1.1 {status} X\r\n\r\n".encode()
        endpoint = ScriptedEndpoint(preceded_by(2 * interim, answer(body=b"own")))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            status_received, _, body, _ = await harness.ask("once")
            assert (status_received, body) == (200, b"own")

    run_scenario(scenario)


@pytest.mark.parametrize("status", [205, 304, 404, 599])
def test_other_final_statuses_are_given_to_the_caller_unchanged(status):
    async def scenario():
        endpoint = ScriptedEndpoint(answer(status, b""))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            result, head, _, _ = await harness.ask("once")
            assert (result, "X-Seal" in head) == (status, True)

    run_scenario(scenario)


@pytest.mark.parametrize("extra", [["X-Not-Run: 1"], []])
def test_success_that_claims_not_to_have_run_is_no_refusal(extra):
    """Guards against a promise that a request hasn't run whose success was sent."""

    async def scenario():
        endpoint = ScriptedEndpoint(answer(200, b"own", extra))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            status, _, body, _ = await harness.ask("once")
            assert (status, body) == (200, b"own")

    run_scenario(scenario)


@pytest.mark.parametrize("status", [421, 503])
def test_refusal_that_names_no_endpoint_promises_that_the_request_has_not_run(status):
    async def scenario():
        extra = [] if status == 421 else ["X-Not-Run: 1"]
        endpoint = ScriptedEndpoint(answer(status, b"", extra))
        async with RelayHarness(endpoint, timeout=2.0) as harness:
            result, _, _, _ = await harness.ask("once")
            assert result == 503

    run_scenario(scenario)
