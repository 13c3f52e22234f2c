"""Header fields of endpoints' responses that nothing here handles."""

import asyncio

from hawthornspoke.relay._response_fields import MAX_NAMES, MAX_VALUE_LENGTH
from hawthornspoke.relay.tests.relay_harness import (
    RelayHarness,
    ScriptedEndpoint,
    answer,
)

COUNTER = "response_fields_unhandled_total"


def run_scenario(scenario):
    """Run a scenario on a new event loop."""
    asyncio.run(scenario())


def test_unhandled_field_is_logged_once_and_counted():
    """Guards against a signal of endpoints that goes unnoticed."""

    async def scenario():
        step = answer(extra=("X-News: 1", "Content-Type: text/plain", "X-Load: 1,0,8"))
        async with RelayHarness(ScriptedEndpoint(step, step)) as harness:
            for _ in range(2):
                await harness.ask("again")
            (entry,) = harness.logged("response_field_unhandled")
            assert (entry["field"], entry["value"]) == ("x-news", "1")
            assert (entry["endpoint"], entry["status"]) == ("e0", 200)
            assert harness.metrics.counter_value(COUNTER, field="x-news") == 2

    run_scenario(scenario)


def test_names_and_values_are_bounded():
    """Guards against an endpoint that fills the memory or the log with names."""

    async def scenario():
        fields = tuple(f"X-News-{n}: {'v' * 500}" for n in range(MAX_NAMES + 30))
        async with RelayHarness(ScriptedEndpoint(answer(extra=fields))) as harness:
            assert (await harness.ask("again"))[0] == 200
            entries = harness.logged("response_field_unhandled")
            assert len(entries) == MAX_NAMES
            assert {len(entry["value"]) for entry in entries} == {MAX_VALUE_LENGTH}

    run_scenario(scenario)
