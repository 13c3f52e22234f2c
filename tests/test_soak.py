"""Short soak test with one fixed seed and all seeds that have failed before."""

import asyncio
import contextlib
import socket

import pytest

from tests.soak.parts import run_parts
from tests.soak.programs import NET
from tests.soak.restarts import run_restarts
from tests.soak.simulation import PLAIN, Engine, Proxy
from tests.soak.soak import assert_no_violations, run_soak

#: Causes of earlier failures by seed; the seeds are kept as regression tests.
FAILED_BEFORE = {
    2: "silent endpoints were given up before another one had answered",
    103: "requests that came while their host stood still were closed unread",
    113: "connections that came while a stopping host stood still were reset",
    6: "requests with a revoked key ran once no key was valid",
    10: "a second attempt that won was answered with 502",
}

#: Duration of fault injection, longer for seeds whose failure came late.
SECONDS = 6.0
RESTART_SECONDS = 12.0
PART_SECONDS = 12.0
SECONDS_BY_SEED = {6: 15.0, 10: 15.0}


def test_engine_whose_crashes_overlap_leaves_its_address():
    """Guards against a soak that can't start a seed, as an address is in use."""

    async def run():
        first = Engine(number=0, ip=f"{NET}.1.1", port=9201, service=PLAIN)
        await first.start()
        first.crash()
        first.crash()
        await first.start()
        with contextlib.suppress(OSError):
            await first.start()
        first.server.close()
        await asyncio.sleep(0)
        second = Engine(number=0, ip=f"{NET}.1.1", port=9201, service=PLAIN)
        await second.start()
        second.server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("method", "ending"), [("close_all", b""), ("reset_all", ConnectionResetError)]
)
def test_link_ends_both_sides_of_its_connections_as_named(method, ending):
    """Guards against a soak whose resets are FIN, which answers may end with."""

    async def read_end(reader):
        try:
            return await reader.read()
        except OSError as error:
            return type(error)

    async def run():
        upstream_ends = asyncio.Queue()

        async def accept(reader, writer):
            await upstream_ends.put(await read_end(reader))
            writer.transport.abort()

        ip = f"{NET}.1.1"
        upstream = await asyncio.start_server(accept, ip, 9202)
        proxy = Proxy(ip=ip, port=9203, target_ip=ip, target_port=9202)
        await proxy.start()
        reader, writer = await asyncio.open_connection(ip, 9203)
        while not any(item.upstream_port for item in proxy.connections):
            await asyncio.sleep(0.01)
        getattr(proxy, method)()
        assert (await read_end(reader), await upstream_ends.get()) == (ending, ending)
        writer.transport.abort()
        proxy.close()
        upstream.close()

    asyncio.run(run())


@pytest.mark.parametrize("method", ["close_all", "reset_all"])
@pytest.mark.parametrize("turns", range(6))
def test_link_ends_connections_that_are_being_opened(method, turns):
    """Guards against a connection that outlasts the end of all others of its link."""

    async def read_end(reader, writer):
        with contextlib.suppress(OSError):
            await reader.read()
        writer.transport.abort()

    async def run():
        ip = f"{NET}.1.1"
        upstream = await asyncio.start_server(read_end, ip, 0)
        _, port = upstream.sockets[0].getsockname()
        proxy = Proxy(ip=ip, port=9205, target_ip=ip, target_port=port)
        await proxy.start()
        with socket.create_connection((ip, 9205)) as client:
            client.settimeout(1.0)
            for _ in range(turns):
                await asyncio.sleep(0)
            getattr(proxy, method)()
            await asyncio.sleep(0.1)
            with contextlib.suppress(ConnectionResetError):
                assert client.recv(1) == b""
        assert not proxy.connections
        proxy.close()
        upstream.close()

    asyncio.run(run())


@pytest.mark.parametrize("seed", [1, 2])
def test_restarts_in_series_leave_retries_within_their_limit(seed):
    """Guards against hosts that may send a full share of retries at each start."""
    assert_no_violations(run_restarts(seed, RESTART_SECONDS))


@pytest.mark.parametrize("seed", [1, 2])
def test_crashing_part_reaches_few_engines_beside_other_faults(seed):
    """Guards against tries with a part that each host and each process counts alone."""
    assert_no_violations(run_parts(seed, PART_SECONDS))


@pytest.mark.parametrize("seed", [1, *FAILED_BEFORE])
def test_guarantees_hold_under_faults(seed):
    assert_no_violations(run_soak(seed, SECONDS_BY_SEED.get(seed, SECONDS)))
