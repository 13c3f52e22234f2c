"""Restart of the platform reader of an entry host after it ends."""

import asyncio

from hawthornspoke.relay.tests.relay_harness import make_relay


class FailingSource:
    """Source whose first run raises, whose second returns, and whose third blocks."""

    def __init__(self):
        self.runs = 0

    async def run(self, relay, neighbours):
        self.runs += 1
        if self.runs == 1:
            raise AttributeError("'int' object has no attribute 'rpartition'")
        if self.runs > 2:
            await asyncio.Event().wait()


class RecordingLog:
    """Log that records its entries."""

    def __init__(self):
        self.lines = []

    def change(self, event, **fields):
        self.lines.append((event, fields))

    def flush(self, deadline):
        pass


def test_reader_that_ends_is_logged_and_restarted():
    """Guards against a host that keeps serving an outdated configuration.

    The task that reads the platform ended with an unexpected error. Its result was
    never awaited, so new routes stayed unknown, revoked keys were only refused once
    the last confirmation was too old, and nothing was logged.
    """

    async def scenario():
        source = FailingSource()
        relay = make_relay(source=source)
        log = relay.log = RecordingLog()
        running = asyncio.create_task(relay.run())
        try:
            async with asyncio.timeout(5.0):
                while source.runs < 3:
                    await asyncio.sleep(0.02)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        restarts = [fields for event, fields in log.lines if event == "task_ended"]
        assert len(restarts) == 2
        assert restarts[0]["task"] == "platform"
        assert "rpartition" in restarts[0]["error"]
        assert relay.metrics.counter_value("tasks_ended_total", task="platform") == 2

    asyncio.run(scenario())
