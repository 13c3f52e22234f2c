"""Answers with a length or chunks whose connection ends before they do."""

import asyncio
import contextlib
import socket
import struct

import pytest

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
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario
from hawthornspoke.relay.tests.test_memory import MB, slow_caller, wait_until
from hawthornspoke.relay.tests.test_unframed_answers import event

LAST_CHUNK = b"\r\n0\r\n\r\n"

#: What follows the first event of a stream in chunks before its connection ends.
CHUNK_CUTS = {
    "between_chunks": b"",
    "inside_the_size_of_a_chunk": b"1",
    "before_the_data_of_a_chunk": b"14\r\n",
    "inside_a_chunk": b"40\r\n" + event(2),
    "behind_the_data_of_a_chunk": b"%x\r\n" % len(event(2)) + event(2),
    "before_the_last_chunk": stream_event(2),
    "inside_the_last_chunk": stream_event(2) + b"0",
    "behind_the_last_chunk": stream_event(2) + b"0\r\n",
    "inside_a_trailer": stream_event(2) + b"0\r\nX-Count: 2\r\n",
}


def close(writer):
    """Close a connection as a process does that ends, or a link."""
    writer.transport.abort()


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


ENDS = {"close": close, "reset": reset}


def cut(make_data, end, *, seconds=0.03):
    """Return a step that sends a part of an answer before its connection ends.

    Parameters
    ----------
    make_data : callable
        Returns the head and the part, given the head of the request.
    end : callable
        Called with the writer.
    seconds : float, default=0.03
        Until the end.
    """

    async def step(endpoint, head, writer):
        writer.write(make_data(head))
        await writer.drain()
        await asyncio.sleep(seconds)
        end(writer)
        raise ConnectionError

    return step


def cut_stream(name, end, **options):
    """Return a step that sends a stream that is cut behind its first event."""
    rest = CHUNK_CUTS[name]
    return cut(lambda head: stream_head(head) + stream_event(1) + rest, end, **options)


def plain_part(head, *, body=b"whole", sent=3):
    """Return the begin of an answer with a length."""
    return response(head, body=body)[: sent - len(body)]


def chunked_part(head):
    """Return a plain answer in chunks without the last chunk."""
    return stream_head(head) + b"3\r\nwho\r\n2\r\nle\r\n"


PLAIN_PARTS = {"length": plain_part, "chunks": chunked_part}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", CHUNK_CUTS)
def test_stream_cut_in_its_framing_is_resumed(name, end):
    """Guards against a stream that ends as whole wherever its framing is cut."""

    async def scenario():
        broken = ScriptedEndpoint(cut_stream(name, ENDS[end]))
        last = 2 if b"id: 2" in CHUNK_CUTS[name] else 1
        other = ScriptedEndpoint(events([*range(last + 1, 5)]))
        async with RelayHarness(broken, other, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1, 2, 3, 4], True)

    run_scenario(scenario)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", CHUNK_CUTS)
def test_resumed_stream_that_is_cut_again_is_broken_off(name, end):
    """Guards against a last chunk for the rest of a stream that was cut as well."""

    async def cut_rest(endpoint, head, writer):
        rest = CHUNK_CUTS[name].replace(b"id: 2", b"id: 3").replace(b"e2", b"e3")
        step = cut(lambda head: stream_head(head) + stream_event(2) + rest, ENDS[end])
        await step(endpoint, head, writer)

    async def scenario():
        broken = ScriptedEndpoint(cut_stream("between_chunks", ENDS[end]))
        other = ScriptedEndpoint(cut_rest)
        async with RelayHarness(broken, other, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            _, _, body, complete = await harness.ask("stream")
            assert event_ids(body)[:2] == [1, 2]
            assert not complete

    run_scenario(scenario)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("part", PLAIN_PARTS)
@pytest.mark.parametrize("prefix, status", [("again", 200), ("once", 502)])
def test_plain_answer_cut_in_its_framing_is_no_answer(prefix, status, part, end):
    """Guards against a part of a body that gets a length of this host."""

    async def scenario():
        broken = ScriptedEndpoint(cut(PLAIN_PARTS[part], ENDS[end]))
        other = ScriptedEndpoint(answer(body=b"another"))
        async with RelayHarness(broken, other, timeout=2.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            result, _, body, _ = await harness.ask(prefix)
            assert (result, body) == (status, b"another" if status == 200 else b"")

    run_scenario(scenario)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("part", PLAIN_PARTS)
def test_answer_cut_beside_a_second_attempt_is_no_answer(part, end):
    """Guards against half an answer that ends a race of two attempts."""

    async def answer_late(endpoint, head, writer):
        await asyncio.sleep(0.4)
        await answer(body=b"another")(endpoint, head, writer)

    async def scenario():
        # A second attempt is made after 2.0 s, as a part has arrived before.
        broken = ScriptedEndpoint(cut(PLAIN_PARTS[part], ENDS[end], seconds=2.2))
        other = ScriptedEndpoint(answer_late)
        async with RelayHarness(broken, other, timeout=2.9) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            status, _, body, _ = await harness.ask("again")
            assert (status, body) == (200, b"another")
            assert harness.logged("hedged")

    run_scenario(scenario)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", CHUNK_CUTS)
def test_stream_cut_beside_a_second_attempt_is_resumed(name, end):
    """Guards against the end of a silent stream that counts for the resumed one."""

    async def resume_late(endpoint, head, writer):
        await asyncio.sleep(0.4)
        last = int(field(head, "Last-Event-Id") or 0)
        await events([*range(last + 1, 5)])(endpoint, head, writer)

    async def scenario():
        broken = ScriptedEndpoint(cut_stream(name, ENDS[end], seconds=1.8))
        other = ScriptedEndpoint(resume_late)
        async with RelayHarness(broken, other, timeout=4.0) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            _, _, body, complete = await harness.ask("stream")
            assert (sorted({*event_ids(body)}), complete) == ([1, 2, 3, 4], True)
            assert event_ids(body) == [1, 2, 3, 4]

    run_scenario(scenario)


def long_part(head):
    """Return the first megabytes of a stream in chunks."""
    parts = []
    for number in range(1, 401):
        data = b"id: %d\ndata: %b\n\n" % (number, b"x" * 10_000)
        parts.append(b"%x\r\n%b\r\n" % (len(data), data))
    return stream_head(head) + b"".join(parts)


async def read_to_end(caller):
    """Return what a caller receives from now on, to its last chunk or the end."""
    reader, writer = await asyncio.open_connection(sock=caller)
    raw = b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(6.0):
            while not raw.endswith(LAST_CHUNK) and (part := await reader.read(65536)):
                raw += part
    writer.transport.abort()
    return raw


@pytest.mark.parametrize("end", ENDS)
def test_stream_cut_while_its_caller_reads_nothing_is_broken_off(end):
    """Guards against an end that is found once reading goes on, and looks whole."""

    async def send(endpoint, head, writer):
        writer.write(long_part(head))
        await cut_now.wait()
        ENDS[end](writer)
        raise ConnectionError

    cut_now = asyncio.Event()

    async def scenario():
        endpoint = ScriptedEndpoint(send)
        async with RelayHarness(
            endpoint, timeout=8.0, memory_limit=400 * MB
        ) as harness:
            caller = slow_caller(harness, "stream")
            await wait_until(lambda: harness.memory.budget.paused)
            cut_now.set()
            await asyncio.sleep(0.1)
            raw = await read_to_end(caller)
            assert raw.count(b"data: ") > 50
            assert not raw.endswith(LAST_CHUNK)

    run_scenario(scenario)


@pytest.mark.parametrize("end", ENDS)
def test_answer_cut_while_it_waits_for_memory_is_no_answer(end):
    """Guards against a paused answer whose unread rest gets lost with its end."""

    async def send(endpoint, head, writer):
        writer.write(plain_part(head, body=b"x" * MB, sent=MB // 2))
        await cut_now.wait()
        ENDS[end](writer)
        raise ConnectionError

    cut_now = asyncio.Event()

    async def scenario():
        slow = ScriptedEndpoint(answer(body=b"y" * (3 * MB // 2)))
        broken = ScriptedEndpoint(send)
        async with RelayHarness(
            slow, broken, timeout=6.0, memory_limit=2 * MB
        ) as harness:
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 3
            caller = slow_caller(harness, "once")
            await wait_until(lambda: harness.memory.budget.blocked())
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 0
            harness.fleet.endpoint_by_id["e0"].own_in_flight = 3
            asked = asyncio.create_task(harness.ask("once"))
            await wait_until(lambda: harness.memory.budget.paused)
            cut_now.set()
            await asyncio.sleep(0.1)
            caller.close()
            status, _, body, _ = await asked
            assert (status, body) == (502, b"")

    run_scenario(scenario)
