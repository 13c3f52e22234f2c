"""A relay before scripted endpoints: what callers and endpoints see of failures."""

import asyncio

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.relay.tests.endpoint import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    events,
    field,
    refuse_as_full,
    reset_connection,
    response,
    silent,
)


def run_scenario(scenario):
    """Run a scenario on an event loop of its own."""
    asyncio.run(scenario())


def event_ids(body):
    """Return the ids of the events in a body."""
    return [int(part[4:].split(b"\n")[0]) for part in body.split(b"\n\n") if part]


def test_request_is_passed_on_unchanged():
    async def scenario():
        endpoint = ScriptedEndpoint(answer(body=b"hello"))
        async with RelayHarness(endpoint) as harness:
            status, head, body, is_complete = await harness.ask(
                "once", extra=["X-Mine: 7", "X-Organisation: liar"]
            )
            assert (status, body, is_complete) == (200, b"hello", True)
            assert field(head, "X-Seal") == "s"
            raw, sent = endpoint.requests[0]
            assert raw.startswith("POST /once/x?q=1 HTTP/1.1\r\n")
            assert sent == b"hi"
            assert field(raw, "X-Mine") == "7"
            assert field(raw, "X-Organisation") is None
            assert field(raw, "X-Expect-Endpoint") == "e0"
            assert int(field(raw, "X-Deadline-Ms")) <= 600

    run_scenario(scenario)


def test_silent_endpoint_is_no_promise_at_the_time_limit():
    """A request that may run was answered with "not run".

    Symptom: 503 for a request at most once, and an endpoint ran it later.
    Events: the request is sent; the endpoint says nothing; the route's time ends.
    Cause: "may have run" was noted only with an answer or a broken connection.
    """

    async def scenario():
        endpoint = ScriptedEndpoint(silent())
        async with RelayHarness(endpoint) as harness:
            status, head, _, _ = await harness.ask("once")
            assert status == 504
            assert field(head, "Retry-After") is None
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_reset_endpoint_is_no_promise_either():
    async def scenario():
        endpoint, other = (
            ScriptedEndpoint(reset_connection()),
            ScriptedEndpoint(reset_connection()),
        )
        async with RelayHarness(endpoint, other) as harness:
            status, _, _, _ = await harness.ask("once")
            assert status == 502
            assert len(endpoint.requests) + len(other.requests) == 1

    run_scenario(scenario)


def test_endpoint_that_sheds_gives_a_truthful_refusal():
    async def scenario():
        endpoint = ScriptedEndpoint(refuse_as_full())
        async with RelayHarness(endpoint) as harness:
            status, head, _, _ = await harness.ask("once")
            assert status == 503
            assert float(field(head, "Retry-After")) > 0

    run_scenario(scenario)


@pytest.mark.parametrize(
    "step", [refuse_as_full(), reset_connection(), answer(status=500)]
)
def test_repeatable_request_goes_to_another_endpoint(step):
    async def scenario():
        first, second = ScriptedEndpoint(step, step), ScriptedEndpoint(step, step)
        first.steps, second.steps = [step], [answer(body=b"good")]
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_running = 1
            status, _, body, _ = await harness.ask("again")
            assert (status, body) == (200, b"good")
            assert len(first.requests) == len(second.requests) == 1

    run_scenario(scenario)


def test_unreachable_endpoint_costs_no_run():
    """An endpoint that is gone made a request fail that was never sent.

    Symptom: 502 for a request at most once. Events: the endpoint dies; its entry
    is still listed; the connection is refused. Cause: nothing was sent, so another
    endpoint may be tried.
    """

    async def scenario():
        dead, alive = ScriptedEndpoint(), ScriptedEndpoint(answer())
        async with RelayHarness(dead, alive) as harness:
            dead.close()
            harness.fleet.endpoint_by_id["e1"].own_running = 1
            status, _, _, _ = await harness.ask("once")
            assert status == 200

    run_scenario(scenario)


def test_stream_goes_on_at_another_endpoint_after_its_last_event():
    """A stream was joined from two runs.

    Symptom: an event came twice, or was missing. Events: an endpoint dies within
    an event. Cause: bytes, not events, were passed on, and the second run began
    elsewhere than after the last whole event.
    """

    async def scenario():
        first = ScriptedEndpoint(events([1, 2, 3], is_complete=False, cut=b"id: 4\nda"))
        second = ScriptedEndpoint(events([4, 5]))
        async with RelayHarness(first, second, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_running = 1
            status, _, body, is_complete = await harness.ask("stream")
            assert (status, is_complete) == (200, True)
            assert event_ids(body) == [1, 2, 3, 4, 5]
            raw, _ = second.requests[0]
            assert field(raw, "Last-Event-Id") == "3"
            assert field(raw, "X-Expect-Version") == "1"

    run_scenario(scenario)


def test_request_is_not_sent_again_when_its_caller_is_about_to_leave():
    """Engines read prompts for callers that had left.

    Events: an engine is silent; the request is sent to a second one just before the
    caller's patience ends; a full link delays it by more. Cause: only the route's
    limit was looked at.
    """

    async def scenario():
        first, second = (
            ScriptedEndpoint(reset_connection()),
            ScriptedEndpoint(events([1])),
        )
        async with RelayHarness(first, second, timeout=0.6) as harness:
            harness.fleet.endpoint_by_id["e1"].own_running = 1
            status, _, _, _ = await harness.ask("stream")
            assert status == 502
            assert second.requests == []

    run_scenario(scenario)


def test_stream_is_not_joined_from_two_versions():
    """Weights of two versions made one answer.

    Events: an endpoint dies in the middle; another, which has newer weights, goes
    on. Cause: the version was not asked for.
    """

    async def scenario():
        first = ScriptedEndpoint(events([1, 2], is_complete=False))
        second = ScriptedEndpoint(events([3], version="2"))
        async with RelayHarness(first, second, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_running = 1
            status, _, body, is_complete = await harness.ask("stream")
            assert (status, is_complete) == (200, False)
            assert event_ids(body) == [1, 2]

    run_scenario(scenario)


def test_stream_with_a_missing_event_does_not_look_complete():
    async def scenario():
        only = ScriptedEndpoint(events([1, 2, 4]))
        async with RelayHarness(only, timeout=2.0) as harness:
            status, _, body, is_complete = await harness.ask("stream")
            assert (status, is_complete) == (200, False)
            assert event_ids(body) == [1, 2]

    run_scenario(scenario)


def test_second_answer_reaches_no_later_request():
    """A caller got the answer to another request.

    Events: an endpoint answers twice on a kept connection; the next request on it
    reads the second answer. Cause: answers were matched by order, not by id.
    """

    async def twice(endpoint, head, writer):
        writer.write(response(head, body=b"first"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(response(head, body=b"again"))

    async def scenario():
        endpoint = ScriptedEndpoint(twice, answer(body=b"second"))
        async with RelayHarness(endpoint) as harness:
            assert (await harness.ask("once"))[2] == b"first"
            await asyncio.sleep(0.1)
            assert (await harness.ask("once", extra=["X-N: 2"]))[2] == b"second"

    run_scenario(scenario)


def test_late_answer_with_another_id_is_passed_over():
    async def late(endpoint, head, writer):
        writer.write(response(head.replace("r1", "r0"), body=b"old"))
        writer.write(response(head, body=b"new"))

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(late)) as harness:
            assert (await harness.ask("once"))[2] == b"new"

    run_scenario(scenario)


def test_success_without_a_seal_is_none():
    async def unsealed(endpoint, head, writer):
        is_complete = response(head, body=b"rubbish")
        writer.write(is_complete.replace(b"X-Seal: s\r\n", b""))

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(unsealed)) as harness:
            assert (await harness.ask("once"))[0] == 502

    run_scenario(scenario)


def test_unframed_answer_that_is_reset_is_not_whole():
    async def unframed(endpoint, head, writer):
        text = f"HTTP/1.1 200 X\r\nX-Request-Id: {field(head, 'X-Request-Id')}\r\n"
        writer.write(text.encode() + b"X-Seal: s\r\n\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.get_extra_info("socket").setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")
        return False

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(unframed)) as harness:
            assert (await harness.ask("once"))[0] == 502

    run_scenario(scenario)


def test_endpoint_is_told_at_once_when_the_caller_leaves():
    """An endpoint worked on for a caller that was gone.

    Events: a caller sends a request and closes its connection. Cause: nobody read
    from the caller while the endpoint was waited for.
    """

    async def scenario():
        closed = asyncio.Event()

        async def wait(endpoint, head, writer):
            await writer.wait_closed()
            closed.set()
            return False

        async def read_to_end(endpoint, head, writer):
            return await wait(endpoint, head, writer)

        async with RelayHarness(ScriptedEndpoint(read_to_end), timeout=5.0) as harness:
            _, writer = await asyncio.open_connection(
                "127.0.0.1", harness.server.bound_port
            )
            writer.write(
                b"GET /again/x HTTP/1.1\r\nHost: svc.example\r\n"
                b"X-Request-Id: r9\r\nX-Deadline-Ms: 5000\r\n\r\n"
            )
            await asyncio.sleep(0.1)
            writer.transport.abort()
            await asyncio.sleep(0.1)
            assert harness.fleet.endpoint_by_id["e0"].own_running == 0

    run_scenario(scenario)


def test_revoked_or_unknown_key_is_refused():
    async def scenario():
        endpoint = ScriptedEndpoint(answer())
        async with RelayHarness(endpoint, keys={"k1": "org"}) as harness:
            assert (await harness.ask("once", extra=["X-Api-Key: k2"]))[0] == 401
            status, _, _, _ = await harness.ask("once", extra=["X-Api-Key: k1"])
            assert status == 200
            raw, _ = endpoint.requests[0]
            assert field(raw, "X-Api-Key") is None
            assert field(raw, "X-Organisation") == "org"

    run_scenario(scenario)


def test_keys_are_not_trusted_without_the_platforms_word():
    """A key that had been revoked still worked.

    Symptom: requests with it ran more than five seconds after the operators were
    told that it was dead. Events: the entry host is cut off from the platform, the
    key is revoked, its owner goes on. Cause: the host trusted what it last knew.
    """

    async def scenario():
        endpoint = ScriptedEndpoint(answer())
        async with RelayHarness(
            endpoint, keys={"k1": "org"}, confirmed=False
        ) as harness:
            status, head, _, _ = await harness.ask("once", extra=["X-Api-Key: k1"])
            assert status == 503
            assert field(head, "Retry-After") is not None
            assert endpoint.requests == []

    run_scenario(scenario)


def test_host_that_hears_nothing_does_not_say_that_there_is_no_such_thing():
    """A key that had been accepted 3.96 s before was refused for good, with 401.

    Symptom: 401 from hosts of one failure domain, whose readiness failed in the same
    seconds; their callers don't come back after it.
    Events: a configuration with a new key is accepted; the hosts' link is full and
    they don't read it in time; a caller uses the key.
    Cause: the age of the platform's word was looked at for keys that are known, not
    for those that are missing, nor for routes.
    Evidence: the revision and the age of the word on the refusals' log lines.
    """

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(), keys={"k1": "org"}) as harness:
            for prefix, key, known in (("once", "new", 401), ("new", "k1", 404)):
                extra = [f"X-Api-Key: {key}"]
                harness.contact.confirmed_at = monotonic() - 2.5
                status, head, _, _ = await harness.ask(prefix, extra=extra)
                assert status == 503
                assert float(field(head, "Retry-After")) > 0
                harness.contact.confirmed_at = monotonic() - 1.5
                assert (await harness.ask(prefix, extra=extra))[0] == known

    run_scenario(scenario)


def test_unknown_route_is_not_found():
    async def scenario():
        async with RelayHarness(ScriptedEndpoint()) as harness:
            assert (await harness.ask("nowhere"))[0] == 404

    run_scenario(scenario)


@pytest.mark.parametrize(
    "head",
    [
        b"POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Content-Length: 3\r\n\r\nabc",
        b"GET /once/x HTTP/1.1\r\n\r\n",
        b"rubbish\r\n\r\n",
    ],
)
def test_ambiguous_requests_are_refused(head):
    """A request was hidden inside another one.

    Cause: two lengths are read differently by different programs.
    """

    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint) as harness:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.server.bound_port
            )
            writer.write(head)
            raw = await asyncio.wait_for(reader.read(), 2)
            writer.close()
            assert raw.startswith(b"HTTP/1.1 400 ")
            assert endpoint.requests == []

    run_scenario(scenario)
