"""A host and the reader that it asks, which both stand still for a moment."""

import asyncio
import socket
import time

import pytest

from hawthornspoke.base import StallDetector, Ticks, boottime_clock
from hawthornspoke.mirror import TableUpdate
from hawthornspoke.mirror._watch import NEIGHBOUR_WAIT
from hawthornspoke.mirror.tests.test_watch import (
    READER,
    FakeStore,
    WatchingHost,
    run_scenario,
    wait_until,
)


@pytest.mark.parametrize("stall", [0.7, 1.2, 3.0])
@pytest.mark.parametrize("phase", [0.0, 0.3, 0.6])
def test_change_after_a_stall_arrives_in_time(stall, phase):
    """Guards against a change that is 3 s late as the reader is kept out."""

    async def scenario(reader, asker):
        await asyncio.sleep(NEIGHBOUR_WAIT + phase)
        time.sleep(stall)
        await asyncio.sleep(0.1)
        seen_before = len(asker.seen)
        reader.store.put(b"2")
        put_at = boottime_clock()
        await wait_until(lambda: len(asker.seen) > seen_before)
        assert boottime_clock() < put_at + 0.5

    run_scenario(scenario)


class EarlyStore(FakeStore):
    """Ends each query at once, without changes, while the process stands still."""

    def __init__(self):
        super().__init__()
        self.answered_at = float("-inf")

    async def follow(self, table, *, after, wait):
        await asyncio.sleep(0.2)
        self.answered_at = boottime_clock()
        time.sleep(wait + 0.5)
        return TableUpdate(rows=[], revision=self.revision)


def test_confirmation_is_no_newer_than_an_answer_that_waited_in_a_stall():
    """Guards against keys that are trusted longer as the process stood still."""

    async def scenario():
        store, detector = EarlyStore(), StallDetector(on_resume=lambda seconds: None)
        with socket.socket() as probe:
            probe.bind((READER, 0))
            port = probe.getsockname()[1]
        host = WatchingHost(
            READER, port, store, earliest_arrival=detector.earliest_arrival
        )
        heartbeats = asyncio.create_task(detector.run(Ticks()))
        await host.start((READER,))
        try:
            await wait_until(lambda: store.answered_at > float("-inf"))
            confirmed = host.confirmed[-1]
            assert confirmed <= store.answered_at
        finally:
            heartbeats.cancel()
            host.stop()

    asyncio.run(scenario())
