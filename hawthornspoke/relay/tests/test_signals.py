"""Requests beside endpoints that say in their responses that they want none."""

import asyncio

from hawthornspoke.base import monotonic
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    events,
    field,
    response,
    stream_event,
    stream_head,
)
from hawthornspoke.signals import SIGNALS, SignalsObserved

LEAVING = "X-Leaving: 1"


def run_scenario(scenario):
    """Run a scenario on a new event loop."""
    asyncio.run(scenario())


def say(harness, endpoint_id, **values):
    """Let an endpoint say something in a response to another request."""
    message = SignalsObserved(endpoint_id=endpoint_id, value_by_signal=values)
    harness.fleet.step(message, now=monotonic())


def test_any_response_can_say_that_the_endpoint_leaves():
    """Guards against a signal that is read in successes only."""

    async def scenario():
        for status, extra in ((200, ()), (500, ()), (503, ("X-Not-Run: 1",))):
            step = answer(status, b"", (LEAVING, *extra))
            first, second = ScriptedEndpoint(step), ScriptedEndpoint()
            async with RelayHarness(first, second) as harness:
                harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
                for _ in range(6):
                    assert (await harness.ask("again"))[0] == 200
                assert len(first.requests) == 1
                (entry,) = harness.logged("endpoint_signal")
                assert (entry["endpoint"], entry["value"]) == ("e0", True)

    run_scenario(scenario)


def test_request_that_waits_for_a_connection_goes_elsewhere():
    """Guards against a request that is sent right after its endpoint said it leaves."""

    async def scenario():
        first, second = ScriptedEndpoint(), ScriptedEndpoint()
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            harness.pool.actions = [lambda: say(harness, "e0", leaving=True)]
            assert (await harness.ask("again"))[0] == 200
            assert (len(first.requests), len(second.requests)) == (0, 1)
            (entry,) = harness.logged("not_sent")
            assert entry["reason"].endswith("leaving")

    run_scenario(scenario)


class WaitingRateLimits:
    """EndpointRateLimits with another ``wait_for_permit`` method."""

    def __init__(self, rate_limits, wait_for_permit):
        self.wait_for_permit = wait_for_permit
        self.send_claims = rate_limits.send_claims


def test_request_that_waits_for_a_permit_is_refused_if_its_endpoint_leaves():
    """Guards against a permit that overrules what the endpoint says meanwhile."""

    async def scenario():
        endpoint = ScriptedEndpoint(answer(extra=("X-Rate-Limit: 0.5",)))
        async with RelayHarness(endpoint) as harness:
            assert (await harness.ask("again"))[0] == 200

            async def wait_for_permit(endpoint_ids, *, time_left):
                say(harness, "e0", leaving=True)
                return True

            harness.handler._forwarder._planner._rate_limits = WaitingRateLimits(
                harness.rate_limits, wait_for_permit
            )
            assert (await harness.ask("again"))[0] == 503
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_stream_is_not_resumed_at_a_leaving_endpoint():
    """Guards against resumptions that bypass the check of new requests."""

    async def scenario():
        first = ScriptedEndpoint(events([1, 2], complete=False))
        others = [ScriptedEndpoint(events([3, 4])) for _ in range(2)]
        async with RelayHarness(first, *others) as harness:
            for number in (1, 2):
                harness.fleet.endpoint_by_id[f"e{number}"].own_in_flight = 1
            say(harness, "e1", leaving=True)
            status, _, _, complete = await harness.ask("stream")
            assert (status, complete) == (200, True)
            assert [len(item.requests) for item in others] == [0, 1]

    run_scenario(scenario)


def test_response_of_a_leaving_endpoint_is_delivered_whole():
    """Guards against an answer that is dropped since its endpoint leaves."""

    async def slow_stream(endpoint, head, writer):
        writer.write(stream_head(head, extra=(LEAVING,)))
        for number in (1, 2, 3):
            await asyncio.sleep(0.05)
            writer.write(stream_event(number))
        writer.write(b"0\r\n\r\n")

    async def scenario():
        endpoint = ScriptedEndpoint(slow_stream)
        async with RelayHarness(endpoint) as harness:
            status, _, body, complete = await harness.ask("stream")
            assert (status, complete) == (200, True)
            assert body.count(b"id:") == 3

    run_scenario(scenario)


def test_invalid_values_are_ignored_counted_and_logged_once():
    """Guards against odd values that stop requests, or fill the log."""

    async def repeated(endpoint, head, writer):
        fields = ("X-Leaving: 1", "X-Leaving: 0")
        writer.write(response(head, extra=fields))

    async def scenario():
        odd = [answer(extra=(f"X-Leaving: {text}",)) for text in ("0", "", "yes")]
        endpoint = ScriptedEndpoint(*odd, repeated)
        async with RelayHarness(endpoint) as harness:
            for _ in range(5):
                assert (await harness.ask("again"))[0] == 200
            assert len(harness.logged("endpoint_signal_invalid")) == 1
            counted = harness.metrics.counter_value(
                "endpoint_signals_total", signal="leaving", outcome="invalid"
            )
            assert counted == 4

    run_scenario(scenario)


def test_signals_of_another_endpoint_at_the_address_are_ignored():
    """Guards against an endpoint that is left alone for what its successor said."""

    async def scenario():
        fields = ("X-Not-Run: 1", "X-Endpoint-Id: other", "X-Load: 9,9,9", LEAVING)
        endpoint = ScriptedEndpoint(answer(421, b"", fields))
        async with RelayHarness(endpoint) as harness:
            await harness.ask("again")
            state = harness.fleet.endpoint_by_id["e0"]
            assert state.moved
            assert not state.is_leaving
            assert state.load == 0

    run_scenario(scenario)


def test_missing_field_is_neither_valid_nor_invalid():
    """Guards against an absent field that is decoded as a value."""

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(answer())) as harness:
            assert (await harness.ask("again"))[0] == 200
            for name in SIGNALS.names():
                for outcome in ("valid", "invalid"):
                    counted = harness.metrics.counter_value(
                        "endpoint_signals_total", signal=name, outcome=outcome
                    )
                    assert counted == 0

    run_scenario(scenario)


def test_the_same_value_sent_twice_counts_once():
    async def scenario():
        step = answer(extra=(LEAVING, LEAVING))
        async with RelayHarness(ScriptedEndpoint(step)) as harness:
            assert (await harness.ask("again"))[0] == 200
            assert (await harness.ask("again"))[0] == 503

    run_scenario(scenario)


def backing_off(seconds):
    """Return a step that refuses the request and asks for a pause."""
    return answer(503, b"", ("X-Not-Run: 1", f"Retry-After: {seconds}"))


def test_refused_request_and_later_ones_go_elsewhere():
    """Guards against an endpoint that is preferred since it refuses requests."""

    async def scenario():
        first, second = ScriptedEndpoint(backing_off(5)), ScriptedEndpoint()
        async with RelayHarness(first, second) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            for _ in range(5):
                assert (await harness.ask("again"))[0] == 200
            assert (len(first.requests), len(second.requests)) == (1, 5)
            (entry,) = harness.logged("endpoint_signal")
            assert (entry["signal"], entry["value"]) == ("backoff", 5.0)

    run_scenario(scenario)


def test_requests_are_refused_at_once_during_the_pause_of_the_only_endpoint():
    """Guards against requests that are held until the pause ends."""

    async def scenario():
        endpoint = ScriptedEndpoint(backing_off(60))
        async with RelayHarness(endpoint) as harness:
            began_at = monotonic()
            for _ in range(4):
                status, head, _, _ = await harness.ask("again")
                assert status == 503
                assert float(field(head, "Retry-After")) > 0
            assert monotonic() - began_at < 0.3
            assert len(endpoint.requests) == 1
            reasons = {item["reason"] for item in harness.logged("declined")}
            assert reasons == {"backoff"}

    run_scenario(scenario)


def test_pause_holds_for_all_organisations():
    """Guards against a pause that only binds the caller whose request was refused."""

    async def scenario():
        keys = {"k1": "first", "k2": "second"}
        endpoint = ScriptedEndpoint(backing_off(60))
        async with RelayHarness(endpoint, keys=keys) as harness:
            for key in keys:
                status, *_ = await harness.ask("again", extra=[f"X-Api-Key: {key}"])
                assert status == 503
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_pause_holds_for_routes_and_streams_alike():
    """Guards against a pause that only binds the kind of request that was refused."""

    async def scenario():
        endpoint = ScriptedEndpoint(backing_off(60))
        async with RelayHarness(endpoint) as harness:
            for prefix in ("again", "once", "stream"):
                assert (await harness.ask(prefix))[0] == 503
            assert len(endpoint.requests) == 1

    run_scenario(scenario)
