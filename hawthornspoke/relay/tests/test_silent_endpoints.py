"""Endpoints that fall silent within an answer and go on."""

import asyncio
import concurrent.futures
import random
import threading
import time

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.memory_budget import UNREAD
from hawthornspoke.placing import EndpointSilent
from hawthornspoke.relay._sending import Sender
from hawthornspoke.relay.tests.relay_harness import (
    RefusingEndpoint,
    RelayHarness,
    ScriptedEndpoint,
    answer,
    events,
    refuse_as_full,
    reset_connection,
    response,
    silent,
    stream_event,
    stream_head,
)
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario


def paused_stream(ids, *, pause_after, pause, version="1"):
    """Return a step that sends a stream and pauses once.

    Parameters
    ----------
    ids : list of int
        Of the events.
    pause_after : int
        Number of events before the pause.
    pause : float
        Seconds.
    version : str, default="1"
        Of the weights.
    """

    async def step(endpoint, head, writer):
        writer.write(stream_head(head, version))
        for count, number in enumerate(ids):
            if count == pause_after:
                await writer.drain()
                await asyncio.sleep(pause)
            writer.write(stream_event(number))
        writer.write(b"0\r\n\r\n")

    return step


def test_pause_of_the_only_endpoint_does_not_cut_its_stream():
    """Guards against cutting an answer that goes on after a silence."""

    async def scenario():
        only = ScriptedEndpoint(paused_stream([1, 2, 3, 4], pause_after=2, pause=2.0))
        async with RelayHarness(only, timeout=4.0) as harness:
            status, _, body, complete = await harness.ask("stream", read_time=4.0)
            assert (status, complete) == (200, True)
            assert event_ids(body) == [1, 2, 3, 4]
            assert len(only.requests) == 1

    run_scenario(scenario)


def paused_answer(*, pause, body=b"whole"):
    """Return a step that pauses before a whole answer, and within its body."""

    async def step(endpoint, head, writer):
        await asyncio.sleep(pause)
        data = response(head, body=body)
        writer.write(data[:-2])
        await writer.drain()
        await asyncio.sleep(pause)
        writer.write(data[-2:])

    return step


def split_event_stream(*, pause):
    """Return a step that pauses within the second of three events."""

    async def step(endpoint, head, writer):
        writer.write(stream_head(head))
        writer.write(stream_event(1) + stream_event(2)[:9])
        await writer.drain()
        await asyncio.sleep(pause)
        writer.write(stream_event(2)[9:] + stream_event(3) + b"0\r\n\r\n")

    return step


def first_endpoint(harness):
    """Make the harness send the first attempt to the first endpoint."""
    harness.fleet.endpoint_by_id["e1"].own_in_flight = 1


@pytest.mark.parametrize("pause", [0.5, 1.0, 1.5, 2.5])
@pytest.mark.parametrize("pause_after", [0, 1, 3])
def test_stream_of_a_paused_endpoint_is_whole(pause_after, pause):
    """Guards against cutting a stream at a pause before, between or after events."""

    async def scenario():
        only = ScriptedEndpoint(
            paused_stream([1, 2, 3], pause_after=pause_after, pause=pause)
        )
        async with RelayHarness(only, timeout=4.0) as harness:
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3])

    run_scenario(scenario)


@pytest.mark.parametrize("pause", [0.5, 1.5])
def test_stream_that_pauses_within_an_event_is_whole(pause):
    async def scenario():
        only = ScriptedEndpoint(split_event_stream(pause=pause))
        async with RelayHarness(only, timeout=4.0) as harness:
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3])

    run_scenario(scenario)


@pytest.mark.parametrize("pause", [0.5, 1.0, 1.4])
def test_whole_answer_of_a_paused_endpoint_arrives(pause):
    """Guards against a 502 for an answer that arrives before the deadline."""

    async def scenario():
        only = ScriptedEndpoint(paused_answer(pause=pause))
        async with RelayHarness(only, timeout=4.0) as harness:
            status, _, body, _ = await harness.ask("again", read_time=5.0)
            assert (status, body) == (200, b"whole")
            assert len(only.requests) == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "second",
    [refuse_as_full(), silent(), reset_connection(), events([3, 4], version="2")],
    ids=["full", "silent", "broken", "newer-weights"],
)
def test_stream_goes_on_if_the_second_attempt_fails(second):
    """Guards against an attempt that is ended for one that then fails."""

    async def scenario():
        paused = ScriptedEndpoint(paused_stream([1, 2, 3, 4], pause_after=2, pause=2.0))
        other = ScriptedEndpoint(second)
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3, 4])
            assert len(other.requests) == 1

    run_scenario(scenario)


def test_stream_goes_on_without_a_retry_budget():
    async def scenario():
        paused = ScriptedEndpoint(paused_stream([1, 2, 3], pause_after=1, pause=2.0))
        other = ScriptedEndpoint()
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            harness.budget.allowance = 0.0
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3])
            assert other.requests == []

    run_scenario(scenario)


@pytest.mark.parametrize("pause_after", [0, 2])
def test_faster_second_attempt_goes_on_in_place_of_a_silent_one(pause_after):
    """Guards against callers that wait for a silence to end beside a free endpoint."""

    async def scenario():
        paused = ScriptedEndpoint(
            paused_stream([1, 2, 3, 4], pause_after=pause_after, pause=2.6)
        )
        rest = range(pause_after + 1, 5)
        other = ScriptedEndpoint(events(list(rest)))
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            began = monotonic()
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3, 4])
            assert monotonic() - began < 2.4
            assert len(other.requests) == 1
            assert harness.budget.allowed == 1

    run_scenario(scenario)


def test_second_attempt_is_ended_as_the_first_one_goes_on():
    """Guards against endpoints that work on for nobody."""
    closed = []

    async def wait_for_close(endpoint, head, writer):
        await endpoint.reader.read(1)
        closed.append(monotonic())
        return False

    async def scenario():
        paused = ScriptedEndpoint(paused_stream([1, 2, 3], pause_after=1, pause=2.0))
        other = ScriptedEndpoint(wait_for_close)
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3])
            await asyncio.sleep(0.1)
            assert len(closed) == 1
            assert harness.suspects._features_by_attempt == {}

    run_scenario(scenario)


def test_request_that_may_not_be_repeated_waits_for_its_answer():
    """Guards against a second run of a request that may run once only."""

    async def scenario():
        paused = ScriptedEndpoint(paused_answer(pause=1.4))
        other = ScriptedEndpoint()
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            status, _, body, _ = await harness.ask("once", read_time=5.0)
            assert (status, body) == (200, b"whole")
            assert other.requests == []

    run_scenario(scenario)


def test_answer_of_the_second_attempt_counts_against_the_memory_of_its_caller():
    """Guards against responses that the memory budget doesn't count."""

    async def scenario():
        paused = ScriptedEndpoint(silent())
        other = ScriptedEndpoint(
            paused_stream([1, 2, 3], pause_after=1, pause=0.3), answer()
        )
        async with RelayHarness(
            paused, other, timeout=4.0, memory_limit=1_000_000
        ) as harness:
            first_endpoint(harness)
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3])
            await asyncio.sleep(0.05)
            assert harness.memory.budget.held == 0
            assert harness.memory.budget.holders == set()

    run_scenario(scenario)


def test_endpoint_is_used_as_soon_as_one_of_its_answers_goes_on():
    """Guards against an ejection for silence that outlasts the silence."""

    async def scenario():
        goes_on = asyncio.Event()

        async def late_answer(endpoint, head, writer):
            await goes_on.wait()
            writer.write(response(head))

        paused = ScriptedEndpoint(late_answer, silent())
        other = ScriptedEndpoint(events([1, 2]))
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            waiting = asyncio.create_task(harness.ask("once", read_time=5.0))
            await asyncio.sleep(0.05)
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 3
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2])
            assert harness.fleet.suspected_ids == {"e0"}
            goes_on.set()
            assert (await waiting)[0] == 200
            assert not harness.fleet.suspected_ids
            assert (await harness.ask("once"))[0] == 200
            assert (len(paused.requests), len(other.requests)) == (3, 1)

    run_scenario(scenario)


def test_second_attempt_is_not_made_at_a_silent_endpoint():
    """Guards against a second attempt that has to wait as well."""

    async def scenario():
        paused = ScriptedEndpoint(paused_stream([1, 2, 3], pause_after=1, pause=2.0))
        other = ScriptedEndpoint()
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            harness.fleet.step(EndpointSilent(endpoint_id="e1"), now=monotonic())
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3])
            assert other.requests == []

    run_scenario(scenario)


def test_second_attempts_of_many_requests_are_spread():
    """Guards against endpoints that get all requests of a silent one at once."""
    sent_at = []

    async def record_time(endpoint, head, writer):
        sent_at.append(monotonic())
        return await events([1, 2])(endpoint, head, writer)

    async def scenario():
        random.seed(1)
        paused = ScriptedEndpoint(*[silent()] * 4)
        other = ScriptedEndpoint(*[record_time] * 4)
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 4
            asked = [
                asyncio.create_task(harness.ask("stream", read_time=5.0))
                for _ in range(4)
            ]
            await asyncio.sleep(0.1)
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 0
            answers = await asyncio.gather(*asked)
            assert all(complete for *_, complete in answers)
            assert len(sent_at) == 4
            assert max(sent_at) - min(sent_at) > 0.15

    run_scenario(scenario)


class OtherCaller:
    """Holds memory like the connection of another caller."""

    def __init__(self, guard):
        self.account = guard.open_account(self)

    def write_buffer_size(self):
        return 0

    def unreceived_size(self):
        return 0


def long_stream(count):
    """Return a step that sends a stream of large events at once."""

    async def step(endpoint, head, writer):
        writer.write(stream_head(head))
        for number in range(1, count + 1):
            data = b"id: %d\ndata: %b\n\n" % (number, b"x" * 1000)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")

    return step


def test_second_attempt_that_was_paused_for_memory_is_read_on():
    """Guards against a stream that nobody reads after its attempt was kept."""

    async def scenario():
        paused, other = ScriptedEndpoint(silent()), ScriptedEndpoint(long_stream(400))
        async with RelayHarness(
            paused, other, timeout=4.0, memory_limit=1_000_000
        ) as harness:
            first_endpoint(harness)
            caller = OtherCaller(harness.memory)
            caller.account.hold(UNREAD, 960_000)
            answer_task = asyncio.create_task(harness.ask("stream", read_time=5.0))
            while not harness.logged("hedged"):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            caller.account.release()
            _, _, body, complete = await answer_task
            assert harness.metrics.counter_value("memory_pauses_total") > 0
            assert complete
            assert len(event_ids(body)) == 400

    run_scenario(scenario)


def test_fault_in_a_second_attempt_does_not_end_the_first_one(monkeypatch):
    """Guards against an answer that is lost to a fault of this host."""

    async def scenario():
        paused = ScriptedEndpoint(paused_stream([1, 2, 3], pause_after=1, pause=2.0))
        async with RelayHarness(paused, ScriptedEndpoint(), timeout=4.0) as harness:
            first_endpoint(harness)
            send = Sender.send

            async def fail_second(self, context, attempt, **options):
                if attempt.placement.endpoint_id == "e1":
                    raise RuntimeError("a fault")
                return await send(self, context, attempt, **options)

            monkeypatch.setattr(Sender, "send", fail_second)
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2, 3])
            (failed,) = harness.logged("try_failed")
            assert failed["reason"] == "attempt_failed: RuntimeError('a fault')"

    run_scenario(scenario)


@pytest.mark.parametrize("status", [404, 429, 500])
@pytest.mark.parametrize("kind", ["stream", "again"])
def test_error_of_a_second_attempt_does_not_end_the_first_one(kind, status):
    """Guards against an error in place of the success that another attempt brings."""

    async def scenario():
        first = {
            "stream": paused_stream([1, 2], pause_after=0, pause=2.0),
            "again": paused_answer(pause=1.2),
        }
        paused = ScriptedEndpoint(first[kind])
        other = ScriptedEndpoint(answer(status=status))
        async with RelayHarness(paused, other, timeout=4.0) as harness:
            first_endpoint(harness)
            code, _, _, complete = await harness.ask(kind, read_time=5.0)
            assert (code, complete) == (200, True)
            assert len(other.requests) == 1

    run_scenario(scenario)


class ThreadedEndpoint(ScriptedEndpoint):
    """Scripted endpoint that goes on while the event loop of the test stands still."""

    async def start(self):
        """Start the endpoint in a thread of its own."""
        started = concurrent.futures.Future()
        threading.Thread(target=asyncio.run, args=[self._run(started)]).start()
        return await asyncio.wrap_future(started)

    def close(self):
        """Stop the endpoint."""
        self._loop.call_soon_threadsafe(self._is_closing.set)

    async def _run(self, started):
        self._loop = asyncio.get_running_loop()
        self._is_closing = asyncio.Event()
        started.set_result(await super().start())
        await self._is_closing.wait()
        super().close()


def test_stall_of_this_host_is_no_silence_of_its_endpoints():
    """Guards against second attempts for data that was there to be read."""

    async def scenario():
        steps = [paused_stream([1, 2, 3, 4], pause_after=2, pause=0.5)] * 4
        endpoints = ThreadedEndpoint(*steps), ThreadedEndpoint(*steps)
        async with RelayHarness(*endpoints, timeout=4.0) as harness:
            streams = [
                asyncio.create_task(harness.ask("stream", read_time=5.0))
                for _ in range(4)
            ]
            await asyncio.sleep(0.2)
            time.sleep(2.0)
            assert all(complete for *_, complete in await asyncio.gather(*streams))
            assert harness.logged("endpoint_ejected") == []
            assert harness.budget.allowed == 0

    run_scenario(scenario)


def test_wait_for_own_memory_is_no_silence_of_the_endpoint():
    """Guards against a second run because this host lacks memory."""

    async def scenario():
        large = ScriptedEndpoint(answer(body=b"x" * 600_000))
        other = ScriptedEndpoint()
        async with RelayHarness(
            large, other, timeout=4.0, memory_limit=1_000_000
        ) as harness:
            first_endpoint(harness)
            caller = OtherCaller(harness.memory)
            assert caller.account.reserve_response(900_000)
            answer_task = asyncio.create_task(harness.ask("again", read_time=5.0))
            await asyncio.sleep(2.4)
            caller.account.release()
            status, _, body, _ = await answer_task
            assert (status, len(body)) == (200, 600_000)
            assert other.requests == []
            assert harness.logged("endpoint_ejected") == []

    run_scenario(scenario)


def test_second_attempts_that_were_not_sent_are_not_charged():
    """Guards against a retry budget that dead endpoints use up."""

    async def scenario():
        paused = ScriptedEndpoint(paused_stream([1, 2], pause_after=1, pause=2.8))
        dead = [RefusingEndpoint() for _ in range(5)]
        async with RelayHarness(paused, *dead, timeout=4.0) as harness:
            for number in range(1, 6):
                harness.fleet.endpoint_by_id[f"e{number}"].own_in_flight = 1
            _, _, body, complete = await harness.ask("stream", read_time=5.0)
            assert (complete, event_ids(body)) == (True, [1, 2])
            assert harness.logged("hedged")
            assert harness.budget.allowed == 0

    run_scenario(scenario)


@pytest.mark.parametrize("memory_limit", [None, 50_000_000])
def test_answer_of_a_faster_second_attempt_is_delivered(memory_limit):
    """Guards against a 502 in place of a whole answer that came second-first."""

    async def scenario():
        slow = ScriptedEndpoint(paused_answer(pause=2.0))
        fast = ScriptedEndpoint(answer(body=b"fast"))
        async with RelayHarness(
            slow, fast, timeout=4.0, memory_limit=memory_limit
        ) as harness:
            first_endpoint(harness)
            status, _, body, _ = await harness.ask("again", read_time=4.0)
            assert (status, body) == (200, b"fast")
            assert harness.handler_errors == []
            assert harness.logged("hedged")

    run_scenario(scenario)
