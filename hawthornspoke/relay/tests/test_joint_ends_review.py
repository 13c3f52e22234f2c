"""Answers without framing whose ends are hard to verify."""

import asyncio

import pytest

from hawthornspoke.base import discard_unsent_bytes, monotonic
from hawthornspoke.placing import EndpointsListed
from hawthornspoke.relay.tests.relay_harness import RelayHarness, ScriptedEndpoint
from hawthornspoke.relay.tests.test_forward import event_ids, run_scenario
from hawthornspoke.relay.tests.test_joint_ends import close_one, cut, echo_probe
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
