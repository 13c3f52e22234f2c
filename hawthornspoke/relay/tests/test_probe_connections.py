"""Connections beside answers without framing, at moments that are hard to keep them."""

import asyncio
import math
import socket
from types import SimpleNamespace

from hawthornspoke.base import monotonic
from hawthornspoke.httpio import ConnectionPool
from hawthornspoke.relay._end_probes import EndpointProber
from hawthornspoke.relay._end_verification import JOINT_END, EndVerifier
from hawthornspoke.relay._probe_connections import ProbeConnections
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer_probe,
    field,
)
from hawthornspoke.relay.tests.test_forward import run_scenario

KEEP_ALIVE_TIME = 1.0


class HookedPool(ConnectionPool):
    """Connection pool whose operations can be delayed or preceded by an action.

    Attributes
    ----------
    open_delay : float
        Seconds by which each new connection is delayed.
    before_kept : callable
        Called before a kept connection is looked for.
    """

    __slots__ = ("open_delay", "before_kept")

    def __init__(self, *, id_header):
        super().__init__(id_header=id_header)
        self.open_delay = 0.0
        self.before_kept = lambda: None

    async def open(self, address, **options):
        await asyncio.sleep(self.open_delay)
        return await super().open(address, **options)

    def acquire_kept(self, key, **options):
        self.before_kept()
        return super().acquire_kept(key, **options)


class Setting:
    """An endpoint, and the probe connections to it."""

    def __init__(self, harness):
        self.harness = harness
        self.address = harness.addresses[0]
        self.pool = HookedPool(id_header=harness.header_names.request_id)
        self.connections = ProbeConnections(
            pool=self.pool,
            prober=EndpointProber(
                fleet=harness.fleet,
                header_names=harness.header_names,
                metrics=harness.metrics,
            ),
            metrics=harness.metrics,
        )
        self.placement = SimpleNamespace(
            endpoint_id="e0",
            address=self.address,
            incarnation=harness.fleet.endpoint_by_id["e0"].incarnation,
        )

    def hold(self):
        """Return a ProbeLease."""
        return self.connections.hold(self.placement, service="s")

    async def prove(self, lease):
        """Return the proof for an answer that has just ended."""
        now = monotonic()
        return await lease.probe.prove(
            sent_at=now, ended_at=now, opened_before=now, probe_after=now
        )

    async def wait_until_open(self):
        """Wait until a connection is open."""
        while not self.is_open():
            await asyncio.sleep(0.005)

    def is_open(self):
        """Return whether any connection to the endpoint is open."""
        return self.pool.has_open(self.address, opened_before=math.inf)


async def hold_without_echo(setting):
    """Return a ProbeLease after a refusal that shows that the endpoint echoes no id."""
    lease = setting.hold()
    await setting.wait_until_open()
    assert await setting.prove(lease)
    # The connection that the refusal has used up is closed meanwhile.
    await asyncio.sleep(0.2)
    assert setting.is_open()
    return lease


def test_close_that_a_probe_finds_first_is_a_joint_end():
    """Guards against half an answer as a whole one, as its host found a close itself.

    Such an answer ended with its head, so that no connection was held beside it.
    """

    async def scenario():
        endpoint = ScriptedEndpoint(probe_step=answer_probe())
        async with RelayHarness(endpoint) as harness:
            setting = Setting(harness)
            pool, placement = setting.pool, setting.placement
            opened = [await pool.open(setting.address) for _ in range(2)]
            for connection in opened:
                pool.return_connection(
                    "e0", connection, incarnation=placement.incarnation
                )
                connection.idle_deadline = math.inf
            while len(endpoint.writers) < 2:
                await asyncio.sleep(0.005)
            kept = list(endpoint.writers)

            def close_kept():
                # The event loop doesn't run before the probe.
                while kept:
                    sock = kept.pop().get_extra_info("socket")
                    sock.shutdown(socket.SHUT_WR)

            pool.before_kept = close_kept
            verifier = EndVerifier(
                pool=pool,
                fleet=harness.fleet,
                header_names=harness.header_names,
                metrics=harness.metrics,
            )
            now = monotonic()
            result = await verifier.verify(
                placement, service="s", sent_at=now, ended_at=now
            )
            assert result == (False, JOINT_END)

    run_scenario(scenario)


def test_connection_opened_after_the_last_answer_is_closed():
    """Guards against a connection that stays open until its endpoint closes it.

    That close would count as a loss beside other answers of the endpoint.
    """

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(probe_step=answer_probe())) as harness:
            setting = Setting(harness)
            lease = await hold_without_echo(setting)
            setting.pool.open_delay = 0.3
            proof = asyncio.create_task(setting.prove(lease))
            await asyncio.sleep(0.01)
            lease.release()
            await proof
            await asyncio.sleep(0.5)
            assert not setting.is_open()

    run_scenario(scenario)


def test_connection_to_an_endpoint_without_an_echo_is_replaced_before_its_timeout():
    """Guards against the end of an idle time that counts as a loss."""

    async def refuse(endpoint, head, writer):
        head = (
            f"HTTP/1.1 421 X\r\nX-Endpoint-Id: {endpoint.endpoint_id}\r\n"
            f"Keep-Alive: timeout={KEEP_ALIVE_TIME:.0f}\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())

    class ClosingEndpoint(ScriptedEndpoint):
        async def _serve(self, reader, writer):
            closing = asyncio.get_running_loop().call_later(
                KEEP_ALIVE_TIME, writer.transport.close
            )
            try:
                await super()._serve(reader, writer)
            finally:
                closing.cancel()

    async def scenario():
        endpoint = ClosingEndpoint(probe_step=refuse)
        async with RelayHarness(endpoint) as harness:
            setting = Setting(harness)
            lease = setting.hold()
            await asyncio.sleep(2.5 * KEEP_ALIVE_TIME)
            assert setting.pool.losses.count_by_address(since=0.0) == {}
            count = harness.metrics.counter_value
            assert count("end_probe_connections_total") <= 6
            lease.release()

    run_scenario(scenario)


def test_caller_who_leaves_ends_the_probe_and_not_the_next_connection():
    """Guards against a probe that hangs while the next answer needs a proof."""
    is_silent = False

    async def step(endpoint, head, writer):
        if is_silent:
            await asyncio.sleep(0.3)
        await answer_probe()(endpoint, head, writer)

    async def scenario():
        nonlocal is_silent
        async with RelayHarness(ScriptedEndpoint(probe_step=step)) as harness:
            setting = Setting(harness)
            lease = await hold_without_echo(setting)
            opened = setting.pool.opened
            is_silent = True
            proof = asyncio.create_task(setting.prove(lease))
            while setting.pool.opened == opened:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.02)
            lease.release()
            is_silent = False
            lease = setting.hold()
            began_at = monotonic()
            assert await setting.prove(lease)
            assert monotonic() - began_at < 0.2
            await proof
            lease.release()

    run_scenario(scenario)


def test_connection_whose_close_is_announced_is_replaced_at_once():
    """Guards against a time without a connection after an announced close."""

    async def announce_close(endpoint, head, writer):
        request_id = field(head, "X-Request-Id")
        writer.write(
            f"HTTP/1.1 421 X\r\nX-Endpoint-Id: {endpoint.endpoint_id}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Not-Run: 1\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
        )

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(probe_step=announce_close)) as harness:
            setting = Setting(harness)
            lease = setting.hold()
            await setting.wait_until_open()
            assert await setting.prove(lease)
            await asyncio.sleep(0.1)
            assert setting.is_open()
            lease.release()

    run_scenario(scenario)
