"""Reads of whole tables that are sent while the platform is away."""

import asyncio
import random

import pytest

from hawthornspoke.base import Failure
from hawthornspoke.mirror import (
    FollowedTable,
    Neighbours,
    Row,
    TableUpdate,
    TableWatcher,
    _neighbours,
    _watch,
    poll,
)
from hawthornspoke.mirror._watch import LARGE_ANSWER_OVERDUE_AFTER
from hawthornspoke.mirror.tests.memory_network import MemoryNetwork
from hawthornspoke.mirror.tests.virtual_time import VirtualClock

FAILED = Failure(code="store_failed")
OPERATORS, ENDPOINTS = "operators", "endpoints"

#: Seconds that a read may take, and that the store takes once it is back.
READ_TIMEOUT = 2.5
ANSWER_TIME = 0.003

LOST = float("inf")


class AwayStore:
    """A store that is away until the endpoints were read for the second time.

    It drops queries for the endpoints and refuses those for the other table.

    Parameters
    ----------
    clock : VirtualClock
    seconds : tuple of float
        How long the store takes for the first reads of the endpoints; one that takes
        longer than ``READ_TIMEOUT`` fails.
    returns : bool, default=True
        Whether the store answers other queries once the second read was sent.

    Attributes
    ----------
    read_at : list of float
        When the endpoints were read.
    """

    def __init__(self, clock, *, seconds, returns=True):
        self.read_at = []
        self._clock = clock
        self._seconds = seconds
        self._returns = returns

    async def read(self, table):
        seconds = ANSWER_TIME
        if table == ENDPOINTS:
            if len(self.read_at) < len(self._seconds):
                seconds = self._seconds[len(self.read_at)]
            self.read_at.append(self._clock())
        elif len(self.read_at) < 2 or not self._returns:
            return FAILED
        if seconds > READ_TIMEOUT:
            await asyncio.sleep(READ_TIMEOUT)
            return FAILED
        await asyncio.sleep(seconds)
        row = Row(key="k", data=b"x", revision=1)
        return TableUpdate(rows=[row], revision=1, whole=True)

    async def follow(self, table, *, after, wait):
        await asyncio.sleep(wait + ANSWER_TIME)
        return TableUpdate(rows=[], revision=1)


class QuietLog:
    def change(self, event, **fields):
        pass


@pytest.fixture
def clock(monkeypatch):
    clock = VirtualClock()
    for module in (_watch, _neighbours):
        monkeypatch.setattr(module, "boottime_clock", clock)
    monkeypatch.setattr(_neighbours, "monotonic", clock)
    network = MemoryNetwork(clock, seed=1)
    monkeypatch.setattr(_neighbours, "listen", network.listen)
    return clock


def endpoints_known_after(clock, store, *, seconds=10.0):
    """Return when a host without neighbours knows the endpoints.

    Returns
    -------
    list of float
        Times of the answers in seconds since the second read of the endpoints.
    """
    known_at = []

    async def run():
        log = QuietLog()
        neighbours = Neighbours(address="127.0.0.1", port=0, log=log)
        watch = TableWatcher(
            store=store,
            neighbours=neighbours,
            on_confirmed=lambda at: None,
            on_lost=lambda reason: None,
            log=log,
        )
        await neighbours.serve(watch)
        operators = FollowedTable(
            name=OPERATORS,
            wait=poll.OPERATORS_POLL_WAIT,
            pause=poll.OPERATORS_CHANGE_PAUSE,
            on_update=lambda update: None,
            confirms_configuration=True,
        )
        endpoints = FollowedTable(
            name=ENDPOINTS,
            wait=poll.ENDPOINTS_POLL_WAIT,
            pause=poll.ENDPOINTS_CHANGE_PAUSE,
            on_update=lambda update: known_at.append(clock()),
        )
        task = asyncio.create_task(watch.run([operators, endpoints]))
        await asyncio.wait([task], timeout=seconds)
        task.cancel()
        neighbours.close()

    random.seed(1)
    clock.run(run())
    return [at - store.read_at[1] for at in known_at]


def test_read_lost_in_an_outage_is_sent_again_once_the_store_answers(clock):
    """Guards against a host without endpoints for the rest of a long timeout."""
    store = AwayStore(clock, seconds=(LOST, LOST))
    known_after = endpoints_known_after(clock, store)
    assert known_after[0] < LARGE_ANSWER_OVERDUE_AFTER + 2 * ANSWER_TIME
    assert len(store.read_at) == 3


def test_overdue_answer_after_an_outage_counts(clock):
    """Guards against an answer over a slow link that is given up as it arrives."""
    seconds = LARGE_ANSWER_OVERDUE_AFTER + 0.3
    store = AwayStore(clock, seconds=(LOST, seconds, LOST))
    assert endpoints_known_after(clock, store)[0] < seconds + ANSWER_TIME


def test_quick_answer_after_an_outage_is_awaited(clock):
    """Guards against reads that are sent twice over a slow link."""
    seconds = LARGE_ANSWER_OVERDUE_AFTER - 0.1
    store = AwayStore(clock, seconds=(LOST, seconds))
    assert endpoints_known_after(clock, store)[0] < seconds + ANSWER_TIME
    assert len(store.read_at) == 2


def test_read_is_not_sent_twice_while_the_store_is_away(clock):
    """Guards against more calls during an outage."""
    store = AwayStore(clock, seconds=(LOST,) * 100, returns=False)
    assert endpoints_known_after(clock, store, seconds=30.0) == []
    pairs = zip(store.read_at, store.read_at[1:], strict=False)
    assert all(after - before >= READ_TIMEOUT for before, after in pairs)
