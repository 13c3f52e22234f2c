"""Forwarding to scripted endpoints, and the handling of their failures."""

import asyncio

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.relay.tests.relay_harness import (
    RefusingEndpoint,
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
    """Run a scenario on a new event loop."""
    asyncio.run(scenario())


def event_ids(body):
    """Return the ids of the events in a body."""
    return [int(part[4:].split(b"\n")[0]) for part in body.split(b"\n\n") if part]


def test_request_is_forwarded_unchanged():
    async def scenario():
        endpoint = ScriptedEndpoint(answer(body=b"hello"))
        async with RelayHarness(endpoint) as harness:
            status, head, body, complete = await harness.ask(
                "once", extra=["X-Mine: 7", "X-Organisation: liar"]
            )
            assert (status, body, complete) == (200, b"hello", True)
            assert field(head, "X-Seal") == "s"
            raw, sent = endpoint.requests[0]
            assert raw.startswith("POST /once/x?q=1 HTTP/1.1\r\n")
            assert sent == b"hi"
            assert field(raw, "X-Mine") == "7"
            assert field(raw, "X-Organisation") is None
            assert field(raw, "X-Expect-Endpoint") == "e0"
            assert int(field(raw, "X-Deadline-Ms")) <= 600

    run_scenario(scenario)


def test_request_without_a_response_may_have_run():
    """Guards against a 503 for an at-most-once request that may still run.

    The endpoint doesn't respond before the deadline. "May have run" was only recorded
    on a response or a broken connection.
    """

    async def scenario():
        endpoint = ScriptedEndpoint(silent())
        async with RelayHarness(endpoint) as harness:
            status, head, _, _ = await harness.ask("once")
            assert status == 504
            assert field(head, "Retry-After") is None
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_request_with_a_reset_connection_may_have_run():
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


def test_refusal_by_a_full_endpoint_is_returned_with_retry_after():
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
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            status, _, body, _ = await harness.ask("again")
            assert (status, body) == (200, b"good")
            assert len(first.requests) == len(second.requests) == 1

    run_scenario(scenario)


def test_unreachable_endpoint_does_not_count_as_a_run():
    """Guards against a 502 for an at-most-once request that was never sent.

    An endpoint has ended but is still listed, and refuses the connection. Nothing was
    sent, so another endpoint may be tried.
    """

    async def scenario():
        dead, alive = RefusingEndpoint(), ScriptedEndpoint(answer())
        async with RelayHarness(dead, alive) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            status, _, _, _ = await harness.ask("once")
            assert status == 200

    run_scenario(scenario)


def test_stream_resumes_at_another_endpoint_after_its_last_event():
    """Guards against duplicate or missing events in a resumed stream.

    The first endpoint fails in the middle of an event. If bytes rather than complete
    events are forwarded, the second endpoint doesn't resume at the event boundary.
    """

    async def scenario():
        first = ScriptedEndpoint(events([1, 2, 3], complete=False, cut=b"id: 4\nda"))
        second = ScriptedEndpoint(events([4, 5]))
        async with RelayHarness(first, second, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            status, _, body, complete = await harness.ask("stream")
            assert (status, complete) == (200, True)
            assert event_ids(body) == [1, 2, 3, 4, 5]
            raw, _ = second.requests[0]
            assert field(raw, "Last-Event-Id") == "3"
            assert field(raw, "X-Expect-Version") == "1"

    run_scenario(scenario)


def test_request_is_not_retried_if_its_caller_is_about_to_give_up():
    """Guards against engines that process prompts for callers that have left.

    The first engine fails shortly before the caller gives up, and a saturated link
    delays the retry beyond that. Only the route's timeout was checked, not the time
    that the caller waits for an event.
    """

    async def scenario():
        first, second = (
            ScriptedEndpoint(reset_connection()),
            ScriptedEndpoint(events([1])),
        )
        async with RelayHarness(first, second, timeout=0.6) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            status, _, _, _ = await harness.ask("stream")
            assert status == 502
            assert second.requests == []

    run_scenario(scenario)


def test_stream_does_not_mix_two_weights_versions():
    """Guards against a response produced by two versions of the weights.

    An endpoint fails in mid-stream, and one with newer weights resumes the stream. The
    request to resume didn't name the weights version.
    """

    async def scenario():
        first = ScriptedEndpoint(events([1, 2], complete=False))
        second = ScriptedEndpoint(events([3], version="2"))
        async with RelayHarness(first, second, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            status, _, body, complete = await harness.ask("stream")
            assert (status, complete) == (200, False)
            assert event_ids(body) == [1, 2]

    run_scenario(scenario)


def test_stream_with_a_missing_event_is_incomplete():
    async def scenario():
        only = ScriptedEndpoint(events([1, 2, 4]))
        async with RelayHarness(only, timeout=2.0) as harness:
            status, _, body, complete = await harness.ask("stream")
            assert (status, complete) == (200, False)
            assert event_ids(body) == [1, 2]

    run_scenario(scenario)


def test_duplicate_response_is_not_read_by_the_next_request():
    """Guards against a caller that receives the response to another request.

    An endpoint responds twice on a kept-alive connection, and the next request reads
    the second response. Responses were matched by order, not by id.
    """

    async def respond_twice(endpoint, head, writer):
        writer.write(response(head, body=b"first"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(response(head, body=b"again"))

    async def scenario():
        endpoint = ScriptedEndpoint(respond_twice, answer(body=b"second"))
        async with RelayHarness(endpoint) as harness:
            assert (await harness.ask("once"))[2] == b"first"
            await asyncio.sleep(0.1)
            assert (await harness.ask("once", extra=["X-N: 2"]))[2] == b"second"

    run_scenario(scenario)


def test_late_response_with_another_id_is_skipped():
    async def respond_with_old_id(endpoint, head, writer):
        writer.write(response(head.replace("r1", "r0"), body=b"old"))
        writer.write(response(head, body=b"new"))

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(respond_with_old_id)) as harness:
            assert (await harness.ask("once"))[2] == b"new"

    run_scenario(scenario)


def test_success_without_a_seal_is_a_failure():
    async def respond_unsealed(endpoint, head, writer):
        complete = response(head, body=b"rubbish")
        writer.write(complete.replace(b"X-Seal: s\r\n", b""))

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(respond_unsealed)) as harness:
            assert (await harness.ask("once"))[0] == 502

    run_scenario(scenario)


def test_response_without_a_length_that_is_reset_is_incomplete():
    async def respond_without_length(endpoint, head, writer):
        text = f"HTTP/1.1 200 X\r\nX-Request-Id: {field(head, 'X-Request-Id')}\r\n"
        writer.write(text.encode() + b"X-Seal: s\r\n\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.get_extra_info("socket").setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")
        return False

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(respond_without_length)) as harness:
            assert (await harness.ask("once"))[0] == 502

    run_scenario(scenario)


def test_endpoint_connection_is_closed_when_the_caller_disconnects():
    """Guards against an endpoint that keeps running a request whose caller has left.

    The caller closes its connection while its request runs. The caller's socket was not
    read while waiting for the endpoint.
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
            assert harness.fleet.endpoint_by_id["e0"].own_in_flight == 0

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


def test_keys_are_not_trusted_without_a_confirmation():
    """Guards against requests with a revoked key.

    An entry host that is cut off from the platform doesn't see a revocation, and kept
    trusting the key for more than five seconds after operators were told that it is
    revoked.
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


def test_host_with_an_outdated_configuration_refuses_temporarily():
    """Guards against permanent refusals by a host with an outdated configuration.

    Hosts of one failure domain refused a key that the platform had accepted 3.96 s
    before with 401, after which callers don't retry. Their link was saturated: the log
    of the refusals showed an older revision and an old confirmation. The age of the
    confirmation was checked for known keys only, not for unknown keys or routes.
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
    """Guards against request smuggling: parsers differ on contradicting lengths."""

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


@pytest.mark.parametrize("name", ["X-Deadline-Ms", "X-Tokens", "Last-Event-Id"])
@pytest.mark.parametrize("value", ["\u00b2", "9" * 5000])
def test_odd_number_of_a_caller_is_ignored(name, value):
    """Guards against a header value that ends its request with an error of ours."""

    async def scenario():
        endpoint = ScriptedEndpoint(events([1, 2]))
        async with RelayHarness(endpoint) as harness:
            status, _, body, complete = await harness.ask(
                "stream", extra=[f"{name}: {value}"]
            )
            assert (status, event_ids(body), complete) == (200, [1, 2], True)

    run_scenario(scenario)


@pytest.mark.parametrize("value", ["\u00b2", "9" * 5000])
def test_odd_number_of_an_endpoint_is_ignored(value):
    """Guards against a response field that makes a response unreadable."""

    async def scenario():
        fields = (f"Keep-Alive: timeout={value}", f"X-Load: {value},0,8")
        endpoint = ScriptedEndpoint(answer(extra=fields))
        async with RelayHarness(endpoint) as harness:
            assert (await harness.ask("once"))[0] == 200

    run_scenario(scenario)


def test_ejection_for_refusals_is_logged_once_and_counted():
    async def scenario():
        step = refuse_as_full()
        async with RelayHarness(ScriptedEndpoint(step, step, step)) as harness:
            for _ in range(3):
                await harness.ask("once")
            ejected = [
                fields
                for event, fields in harness.log.entries
                if event == "endpoint_ejected"
            ]
            assert [fields["reason"] for fields in ejected] == ["refused_with_room"]
            count = harness.metrics.counter_value(
                "endpoint_ejections_total", reason="refused_with_room"
            )
            assert count == 1

    run_scenario(scenario)
