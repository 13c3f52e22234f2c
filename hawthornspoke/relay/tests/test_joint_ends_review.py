"""Answers without framing whose ends are hard to verify."""

import asyncio
import contextlib
import socket

import pytest

from hawthornspoke.base import discard_unsent_bytes, monotonic
from hawthornspoke.placing import EndpointsListed
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    stream_head,
)
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario
from hawthornspoke.relay.tests.test_joint_ends import (
    close_all,
    close_one,
    cut,
    echo_probe,
)
from hawthornspoke.relay.tests.test_unframed_answers import (
    answer_probe,
    event,
    keep_connections,
    slow_answer,
)


@pytest.mark.parametrize("step", [echo_probe, answer_probe])
def test_answer_of_a_leaving_endpoint_that_stops_listening_is_whole(step):
    """Guards against a sound answer that is lost, as new connections are refused."""

    async def scenario():
        def leave(endpoint, writer):
            entries = harness.entries(leaving=[0])
            harness.fleet.step(EndpointsListed(entries=entries), now=monotonic())
            endpoint.close()
            close_one(endpoint, writer)

        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 3, cut(event(1), close=leave), probe_step=step()
        )
        async with RelayHarness(endpoint, timeout=3.0) as harness:
            await keep_connections(harness, 3)
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1], True)

    run_scenario(scenario)


class FullEndpoint(ScriptedEndpoint):
    """Endpoint that resets new connections beyond a limit.

    Parameters
    ----------
    limit : int
        Maximum number of connections.
    """

    def __init__(self, *steps, limit, **options):
        super().__init__(*steps, **options)
        self.limit = limit
        self.reset_connections = 0
        self._connections = 0

    async def _serve(self, reader, writer):
        if self._connections >= self.limit:
            self.reset_connections += 1
            discard_unsent_bytes(writer.get_extra_info("socket"))
            writer.transport.abort()
            return
        self._connections += 1
        try:
            await super()._serve(reader, writer)
        finally:
            self._connections -= 1


async def _ask_full_endpoint(seconds):
    """Return a stream from an endpoint whose other connections are in use.

    Returns
    -------
    (list of int, bool, int)
        Events, whether the stream looks whole, and the connections that were reset
        since it began.
    """

    def close(endpoint, writer):
        # Another host takes the place of the connection.
        endpoint.limit -= 1
        close_one(endpoint, writer)

    endpoint = FullEndpoint(
        *[slow_answer(0.05)] * 2,
        cut(event(1), close=close, seconds=seconds),
        slow_answer(seconds + 0.1),
        limit=2,
        probe_step=echo_probe(),
    )
    async with RelayHarness(endpoint, timeout=3.0) as harness:
        await keep_connections(harness, 2)
        resets = endpoint.reset_connections
        (_, _, body, complete), _ = await asyncio.gather(
            harness.ask("stream"), harness.ask("once", request_id="r2")
        )
        return event_ids(body), complete, endpoint.reset_connections - resets


def test_answer_of_an_endpoint_at_its_limit_of_connections_is_whole():
    """Guards against resets of new connections that count as a joint end."""

    async def scenario():
        ids, complete, _ = await _ask_full_endpoint(0.3)
        assert (ids, complete) == ([1], True)

    run_scenario(scenario)


def test_endpoint_at_its_limit_gets_few_new_connections():
    """Guards against a new connection at each check of one that was reset."""

    async def scenario():
        _, _, resets = await _ask_full_endpoint(1.0)
        assert 0 < resets <= 9

    run_scenario(scenario)


def test_answer_is_whole_if_a_caller_leaves_during_the_proof_of_another_one():
    """Guards against a shared probe that ends with the caller who began it."""

    async def respond_late(endpoint, head, writer):
        await asyncio.sleep(0.1)
        return await echo_probe()(endpoint, head, writer)

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[cut(event(1), close=close_one, seconds=0.6)] * 2, probe_step=respond_late
        )
        async with RelayHarness(endpoint, timeout=3.0) as harness:
            leaving = harness.call("stream")
            await asyncio.sleep(0.01)
            staying = asyncio.create_task(harness.ask("stream", request_id="r2"))
            # Both answers have ended, and the first one's probe is under way.
            await asyncio.sleep(0.66)
            endpoint.close()
            leaving.close()
            _, _, body, complete = await staying
            assert (event_ids(body), complete) == ([1], True)

    run_scenario(scenario)


def _long_stream(count, *, close):
    """Return a step that sends a stream of events of 1 kB, and closes connections."""

    async def step(endpoint, head, writer):
        raw = stream_head(head)
        # All is handed to the operating system before the close.
        writer.transport.set_write_buffer_limits(0)
        writer.write(raw.replace(b"Transfer-Encoding: chunked\r\n", b""))
        for number in range(1, count + 1):
            writer.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * 980))
            if number % 50 == 0:
                await asyncio.sleep(0.002)
        await writer.drain()
        await asyncio.sleep(0.1)
        close(endpoint, writer)
        raise ConnectionError

    return step


async def _ask_slowly(harness, *, while_unread=lambda: None):
    """Return whether a stream looks whole to a caller who reads nothing for 1.6 s.

    Parameters
    ----------
    harness : RelayHarness
    while_unread : callable
        Called after the half of that time.
    """
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(("127.0.0.1", harness.server.bound_port))
    caller.sendall(
        b"POST /stream/x HTTP/1.1\r\nHost: svc.example\r\nX-Deadline-Ms: 8000\r\n"
        b"X-Request-Id: r1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    )
    caller.setblocking(False)
    await asyncio.sleep(0.8)
    while_unread()
    await asyncio.sleep(0.8)
    data, loop = b"", asyncio.get_running_loop()
    with contextlib.closing(caller), contextlib.suppress(ConnectionError):
        while part := await loop.sock_recv(caller, 65536):
            data += part
    return data.endswith(b"0\r\n\r\n")


def test_answer_to_a_slow_caller_is_whole_if_other_connections_end_later():
    """Guards against a sound answer that is verified only when its caller reads it."""

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 3,
            _long_stream(300, close=close_one),
            probe_step=echo_probe(),
        )
        async with RelayHarness(endpoint, timeout=8.0) as harness:
            await keep_connections(harness, 3)
            assert await _ask_slowly(
                harness, while_unread=lambda: close_all(endpoint, None)
            )

    run_scenario(scenario)


@pytest.mark.parametrize("count", [300, 1200, 2000])
def test_answer_closed_with_others_is_not_whole_to_a_slow_caller(count):
    """Guards against an end that is read long after those of other connections.

    The end of 1200 events and more arrives while their connection isn't read, or still
    waits in the endpoint's send buffer.
    """

    async def scenario():
        endpoint = ScriptedEndpoint(
            *[slow_answer(0.05)] * 3,
            _long_stream(count, close=close_all),
            probe_step=echo_probe(),
        )
        async with RelayHarness(endpoint, timeout=8.0) as harness:
            await keep_connections(harness, 3)
            assert not await _ask_slowly(harness)

    run_scenario(scenario)


def test_answer_closed_with_a_request_that_waits_is_not_whole():
    """Guards against half an answer as a whole one beside a new connection."""

    async def wait(endpoint, head, writer):
        await writer.wait_closed()
        raise ConnectionError

    async def scenario():
        # The answer is too short for a connection beside it.
        endpoint = ScriptedEndpoint(wait, cut(event(1), close=close_all, seconds=0.0))
        async with RelayHarness(endpoint, timeout=3.0) as harness:
            waiting = asyncio.create_task(harness.ask("once", request_id="r2"))
            await asyncio.sleep(0.1)
            _, _, body, complete = await harness.ask("stream")
            assert (event_ids(body), complete) == ([1], False)
            await waiting

    run_scenario(scenario)
