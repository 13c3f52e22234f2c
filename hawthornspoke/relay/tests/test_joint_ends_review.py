"""Answers without framing whose ends are hard to verify."""

import pytest

from hawthornspoke.base import monotonic
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
