"""Requests that wait for an agent's decision on their turn."""

import asyncio

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.quarantine import Isolated, Quarantine
from hawthornspoke.relay._sharing import EvidenceSharing
from hawthornspoke.relay.tests.relay_harness import RelayHarness, ScriptedEndpoint
from hawthornspoke.relay.tests.test_forward import run_scenario


@pytest.fixture
def slow_claims(monkeypatch):
    """Let each request wait for a turn; return how long, in a list."""

    def isolate(self, features, *, now):
        return Isolated(features=frozenset(["x"]), free_at=now + 5.0, is_due=True)

    async def claim_slowly(self, feature):
        await asyncio.sleep(seconds[0])

    seconds = [2.5]
    monkeypatch.setattr(Quarantine, "verdict", isolate)
    monkeypatch.setattr(EvidenceSharing, "claim_retrial", claim_slowly)
    return seconds


def test_claim_of_a_turn_ends_with_the_deadline_of_its_request(slow_claims):
    """Guards against requests that are answered after their deadline."""

    async def scenario():
        endpoint = ScriptedEndpoint()
        async with RelayHarness(endpoint, timeout=0.2) as harness:
            began = monotonic()
            status, *_ = await harness.ask("once")
            assert monotonic() < began + 1.5
            assert (status, endpoint.requests) == (503, [])

    run_scenario(scenario)


def test_claim_of_a_turn_ends_with_the_shutdown(slow_claims):
    """Guards against a shutdown that waits for an agent."""

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(), timeout=2.5) as harness:
            began = monotonic()
            asking = asyncio.create_task(harness.ask("once"))
            await asyncio.sleep(0.1)
            harness.handler.begin_shutdown(harness.boottime_clock() + 0.2)
            assert (await asking)[0] == 503
            assert monotonic() < began + 1.5

    run_scenario(scenario)


def test_claim_of_a_turn_ends_as_its_caller_leaves(slow_claims):
    """Guards against requests that go on without a caller."""

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(), timeout=2.5) as harness:
            caller = harness.call("once")
            await asyncio.sleep(0.1)
            caller.close()
            await asyncio.sleep(0.2)
            assert len(harness.logged("request")) == 1

    run_scenario(scenario)


def test_malformed_parts_of_a_request_that_waits_are_counted_once(slow_claims):
    """Guards against a counter that shows twice the malformed parts."""
    slow_claims[0] = 0.0

    async def scenario():
        async with RelayHarness(ScriptedEndpoint(), timeout=2.0) as harness:
            await harness.ask("once", extra=["X-Prompt-Parts: zz:5,a1:5"])
            assert harness.metrics.counter_value("malformed_prompt_parts_total") == 1

    run_scenario(scenario)
