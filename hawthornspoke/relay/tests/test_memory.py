"""The memory budget of an entry host, with callers and endpoints on loopback."""

import asyncio
import contextlib
import socket

import pytest

from hawthornspoke.memory_budget import UNREAD, Holder
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
    field,
    make_relay,
    reset_connection,
    silent,
    stream_head,
)

MB = 1_000_000


def run_scenario(scenario):
    """Run a scenario on a new event loop."""
    asyncio.run(scenario())


def long_stream(count, *, cut=False):
    """Return a step that sends events of 10 kB, and then ends or breaks off."""

    async def step(endpoint, head, writer):
        with contextlib.suppress(ConnectionError):
            writer.write(stream_head(head))
            for number in range(1, count + 1):
                data = b"id: %d\ndata: %b\n\n" % (number, b"x" * 10_000)
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                endpoint.sent = number
                await writer.drain()
            if cut:
                await asyncio.sleep(0.1)
                return False
            writer.write(b"0\r\n\r\n")
        return None

    return step


def chunked_answer(size):
    """Return a step that sends a response without announcing its size."""

    async def step(endpoint, head, writer):
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {field(head, 'X-Request-Id')}",
            "X-Seal: s",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for _ in range(size // 10_000):
                writer.write(b"%x\r\n%b\r\n" % (10_000, b"x" * 10_000))
                await writer.drain()
            writer.write(b"0\r\n\r\n")

    return step


def slow_caller(harness, prefix, *, deadline_ms=8000):
    """Send a request from a caller that reads nothing and has a small buffer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(("127.0.0.1", harness.server.bound_port))
    caller.sendall(
        f"POST /{prefix}/x HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: r1\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return caller


async def send_body(harness, size):
    """Send a request with a large body; return the head and body of the response."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", harness.server.bound_port
    )
    head = (
        "POST /once/x HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: r1\r\n"
        f"Connection: close\r\nX-Deadline-Ms: 3000\r\nContent-Length: {size}\r\n\r\n"
    )
    writer.write(head.encode() + b"b" * size)
    raw = await reader.read()
    writer.close()
    head, _, body = raw.partition(b"\r\n\r\n")
    return head.decode(), body


async def wait_until(condition, seconds=3.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def assert_released(harness):
    """Check that nothing counts as held once all requests have ended."""
    await wait_until(lambda: harness.memory.budget.held == 0)
    assert harness.memory.budget.holders == set()
    assert harness.memory.budget.paused == {}


@pytest.mark.parametrize("memory_bytes", [0, 160 * MB])
def test_relay_has_a_budget_only_with_limited_memory(memory_bytes):
    relay = make_relay(memory_bytes=memory_bytes)
    dumped = relay._dump()["memory"]
    assert (dumped is not None) == bool(memory_bytes)
    assert relay.front.memory is relay.memory
    assert relay.operator.memory is None
    assert (relay.pool.receive_buffer is not None) == bool(memory_bytes)


def test_stream_of_a_slow_caller_is_held_within_the_limit():
    """Guards against a host that is killed since one caller doesn't read.

    The endpoint sends 30 MB. Others are served meanwhile, and the slow caller gets
    the whole stream once it reads.
    """

    async def scenario():
        endpoint = ScriptedEndpoint(long_stream(3000), answer(body=b"other"))
        async with RelayHarness(endpoint, timeout=8.0, memory_limit=4 * MB) as harness:
            caller = slow_caller(harness, "stream")
            await wait_until(lambda: harness.memory.budget.paused)
            status, _, body, _ = await harness.ask("once")
            assert (status, body) == (200, b"other")
            await asyncio.sleep(0.2)
            assert endpoint.sent < 3000
            assert MB < harness.memory.budget.held < 3 * MB
            reader, writer = await asyncio.open_connection(sock=caller, limit=64 * MB)
            async with asyncio.timeout(6.0):
                raw = await reader.readuntil(b"\r\n0\r\n\r\n")
            assert raw.count(b"data: ") == 3000
            writer.close()
            await assert_released(harness)

    run_scenario(scenario)


def test_stream_of_a_slow_caller_is_not_cut_for_its_length():
    """Guards against streams that break off as much of them waits for their caller."""

    async def scenario():
        endpoint = ScriptedEndpoint(long_stream(3000))
        async with RelayHarness(
            endpoint, timeout=8.0, memory_limit=400 * MB
        ) as harness:
            caller = slow_caller(harness, "stream")
            await wait_until(lambda: harness.memory.budget.paused)
            assert harness.memory.budget.held < 3 * MB
            reader, writer = await asyncio.open_connection(sock=caller, limit=64 * MB)
            async with asyncio.timeout(6.0):
                raw = await reader.readuntil(b"\r\n0\r\n\r\n")
            assert raw.count(b"data: ") == 3000
            writer.close()
            await assert_released(harness)

    run_scenario(scenario)


def test_large_bodies_beyond_the_budget_are_refused_as_not_run():
    async def scenario():
        endpoint = ScriptedEndpoint(*[answer()] * 10)
        async with RelayHarness(endpoint, timeout=3.0, memory_limit=8 * MB) as harness:
            answers = await asyncio.gather(*[send_body(harness, MB) for _ in range(10)])
            heads = [head for head, _ in answers]
            refused = [head for head in heads if " 503 " in head.split("\r\n")[0]]
            assert refused
            assert len(refused) + len(endpoint.requests) == 10
            assert all(float(field(head, "Retry-After")) > 0 for head in refused)
            assert all(len(body) == MB for _, body in endpoint.requests)
            assert harness.logged("memory_pressure")[0]["level"] == "refusing"
            assert (await harness.ask("once"))[0] == 200
            await assert_released(harness)

    run_scenario(scenario)


def test_slow_callers_are_cut_largest_first():
    async def scenario():
        endpoint = ScriptedEndpoint(answer(body=b"x" * 16 * MB))
        other = ScriptedEndpoint(answer(body=b"y" * 10 * MB))
        async with RelayHarness(
            endpoint, other, timeout=8.0, memory_limit=40 * MB
        ) as harness:
            harness.pool.max_unread_bytes = 16 * MB
            harness.fleet.endpoint_by_id["e1"].own_in_flight = 1
            large = slow_caller(harness, "once")
            await wait_until(lambda: len(harness.memory.budget.blocked()) == 1)
            harness.fleet.endpoint_by_id["e0"].own_in_flight = 3
            small = slow_caller(harness, "once")
            await wait_until(lambda: len(harness.memory.budget.blocked()) == 2)
            blocked = harness.memory.budget.blocked()
            smallest = min(blocked, key=lambda holder: holder.held)
            held = sum(holder.held for holder in blocked)
            normal = Holder()
            harness.memory.budget.hold(normal, UNREAD, 32 * MB - held + MB)
            for now in (0.0, 2.0):
                harness.memory.check(now=now)
            await wait_until(lambda: len(harness.memory.budget.blocked()) == 1)
            harness.memory.budget.release(normal)
            assert harness.memory.budget.blocked() == [smallest]
            assert harness.memory.budget.held == smallest.held > 9 * MB
            assert harness.metrics.counter_value("memory_cuts_total") == 1
            large.close()
            small.close()
            await assert_released(harness)

    run_scenario(scenario)


def test_caller_that_reads_400_kilobytes_a_second_is_not_slow():
    """Guards against cutting a caller while the operating system holds its response."""

    async def scenario():
        endpoint = ScriptedEndpoint(answer(body=b"x" * 16 * MB))
        async with RelayHarness(endpoint, timeout=8.0, memory_limit=40 * MB) as harness:
            harness.pool.max_unread_bytes = 16 * MB
            caller = slow_caller(harness, "once")
            caller.setblocking(False)
            await wait_until(harness.memory.budget.blocked)
            (holder,) = harness.memory.budget.blocked()
            loop = asyncio.get_running_loop()
            started_at = check_at = loop.time()
            received = 0
            while received < 1_500_000:
                received += len(await loop.sock_recv(caller, 16384))
                behind = received / 400_000 - (loop.time() - started_at)
                await asyncio.sleep(max(0.0, behind))
                if loop.time() >= check_at:
                    check_at = loop.time() + 0.25
                    harness.memory.check(now=loop.time())
                    assert not holder.is_slow
            caller.close()
            await assert_released(harness)

    run_scenario(scenario)


def test_stream_that_is_cut_is_never_shown_as_complete():
    async def scenario():
        endpoint = ScriptedEndpoint(long_stream(3000))
        async with RelayHarness(endpoint, timeout=8.0, memory_limit=4 * MB) as harness:
            caller = slow_caller(harness, "stream")
            await wait_until(lambda: harness.memory.budget.paused)
            normal = Holder()
            harness.memory.budget.hold(normal, UNREAD, 4 * MB)
            for now in (0.0, 2.0):
                harness.memory.check(now=now)
            harness.memory.budget.release(normal)
            await assert_released(harness)
            assert harness.metrics.counter_value("requests_total", outcome="cut") == 1
            caller.setblocking(False)
            raw = b""
            with contextlib.suppress(ConnectionError, BlockingIOError):
                while part := caller.recv(65536):
                    raw += part
            assert not raw.endswith(b"\r\n0\r\n\r\n")
            caller.close()

    run_scenario(scenario)


def test_whole_responses_that_do_not_fit_together_are_all_answered():
    """Guards against responses that are each received in part and wait for another."""

    async def scenario():
        size = 3 * MB // 2
        endpoint = ScriptedEndpoint(*[answer(body=b"x" * size)] * 4)
        async with RelayHarness(endpoint, timeout=4.0, memory_limit=2 * MB) as harness:
            answers = await asyncio.gather(*[harness.ask("once") for _ in range(4)])
            assert [(status, len(body)) for status, _, body, _ in answers] == [
                (200, size)
            ] * 4
            assert harness.metrics.counter_value("memory_pauses_total") > 0
            await assert_released(harness)

    run_scenario(scenario)


def test_responses_of_unknown_size_that_do_not_fit_together_are_all_answered():
    """Guards against responses that wait for each other until their deadlines."""

    async def scenario():
        size = 3 * MB // 2
        endpoint = ScriptedEndpoint(*[chunked_answer(size)] * 4)
        async with RelayHarness(endpoint, timeout=4.0, memory_limit=2 * MB) as harness:
            checks = asyncio.create_task(harness.memory.run())
            answers = await asyncio.gather(*[harness.ask("once") for _ in range(4)])
            assert [(status, len(body)) for status, _, body, _ in answers] == [
                (200, size)
            ] * 4
            assert harness.metrics.counter_value("memory_pauses_total") > 0
            checks.cancel()
            await assert_released(harness)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("prefix", "step", "status"),
    [
        ("once", answer(body=b"x" * 5 * MB), 502),
        ("once", chunked_answer(8 * MB), 502),
        ("once", reset_connection(), 502),
        ("once", silent(), 504),
        ("stream", long_stream(20, cut=True), 200),
    ],
)
def test_all_is_released_after_a_failure(prefix, step, status):
    """Guards against a host that refuses everything after many failed requests."""

    async def scenario():
        endpoint = ScriptedEndpoint(step, step)
        async with RelayHarness(endpoint, memory_limit=4 * MB) as harness:
            assert (await harness.ask(prefix))[0] == status
            await assert_released(harness)

    run_scenario(scenario)


def test_all_is_released_after_slow_callers_leave():
    async def scenario():
        endpoint = ScriptedEndpoint(long_stream(3000), answer(body=b"x" * 12 * MB))
        async with RelayHarness(endpoint, timeout=8.0, memory_limit=16 * MB) as harness:
            harness.pool.max_unread_bytes = 16 * MB
            callers = [slow_caller(harness, prefix) for prefix in ("stream", "once")]
            await wait_until(lambda: len(harness.memory.budget.blocked()) == 2)
            for caller in callers:
                caller.close()
            await assert_released(harness)

    run_scenario(scenario)
