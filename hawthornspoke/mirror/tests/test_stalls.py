"""A host and the reader that it asks, which both stand still for a moment."""

import asyncio
import contextlib
import socket
import time

import pytest

from hawthornspoke.base import StallDetector, Ticks, boottime_clock
from hawthornspoke.base._stall import CATCH_UP_TIME
from hawthornspoke.mirror import TableUpdate
from hawthornspoke.mirror._neighbours import ANSWER_TIMEOUT, MIN_HOLD_AFTER_STALL
from hawthornspoke.mirror._watch import BURST_GAP, NEIGHBOUR_WAIT
from hawthornspoke.mirror.tests.test_watch import (
    READER,
    FakeStore,
    WatchingHost,
    run_scenario,
    wait_until,
)
from hawthornspoke.peering import connect
from hawthornspoke.protocol import Frame, TableAsk


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


@contextlib.asynccontextmanager
async def running_reader():
    """Run a host that reads the platform and detects its stalls; yield it."""
    detector = StallDetector(on_resume=lambda seconds: None)
    with socket.socket() as probe:
        probe.bind((READER, 0))
        port = probe.getsockname()[1]
    reader = WatchingHost(
        READER, port, FakeStore(), earliest_arrival=detector.earliest_arrival
    )
    heartbeats = asyncio.create_task(detector.run(Ticks()))
    await reader.start((READER,))
    try:
        await wait_until(lambda: reader.seen)
        yield reader
    finally:
        heartbeats.cancel()
        reader.stop()


async def connect_to(reader):
    """Return a connection of a neighbour."""
    return await connect(
        READER,
        reader.port,
        on_frame=lambda link, frame: None,
        on_closed=lambda link: None,
        timeout=1.0,
    )


def query():
    """Return a query that waits for changes as those of neighbours do."""
    ask = TableAsk(table="t", after=1, wait_ms=int(NEIGHBOUR_WAIT * 1000), era=0)
    return Frame(table_ask=ask)


@pytest.mark.parametrize("stall", [1.2, 3.0])
def test_query_that_waited_in_a_stall_is_answered_in_time(stall):
    """Guards against neighbours that give up a reader which has stalled.

    A reader that stalls as a query arrives reads it afterwards. When it held the query
    for the whole wait from then on, the neighbour had given up before.
    """

    async def run():
        async with running_reader() as reader:
            link = await connect_to(reader)
            asking = asyncio.create_task(link.ask(query(), timeout=9.0))
            await asyncio.sleep(0)
            time.sleep(stall)
            resumed_at = boottime_clock()
            answer = await asking
            assert answer.table_news.current
            assert boottime_clock() < resumed_at + ANSWER_TIMEOUT - 0.1

    asyncio.run(run())


def test_reader_that_stalled_between_two_queries_is_soon_current():
    """Guards against neighbours that leave a reader which stalled after a change.

    Its next query waited for changes, and until the answer it counted as a host that
    does not read the platform.
    """

    async def run():
        async with running_reader() as reader:
            follow, waits = reader.store.follow, []

            async def stall_after_change(table, *, after, wait):
                waits.append(wait)
                answer = await follow(table, after=after, wait=wait)
                if answer.rows:
                    waits.clear()
                    asyncio.get_running_loop().call_soon(time.sleep, 3.0)
                return answer

            reader.store.follow = stall_after_change
            await asyncio.sleep(BURST_GAP)
            reader.store.put(b"2")
            await wait_until(lambda: reader.seen[-1] == b"2" and waits, seconds=6.0)
            assert waits[0] == 0.0
            await wait_until(reader.watch.is_current)

    asyncio.run(run())


def test_queries_soon_after_a_stall_are_not_repeated_without_a_pause():
    """Guards against thousands of queries while a stall is just over."""

    async def run():
        async with running_reader() as reader:
            link = await connect_to(reader)
            await asyncio.sleep(0.2)
            time.sleep(1.2)
            ends_at = boottime_clock() + CATCH_UP_TIME
            answers = 0
            while boottime_clock() < ends_at:
                await link.ask(query(), timeout=9.0)
                answers += 1
            assert answers <= CATCH_UP_TIME / MIN_HOLD_AFTER_STALL + 1

    asyncio.run(run())


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
