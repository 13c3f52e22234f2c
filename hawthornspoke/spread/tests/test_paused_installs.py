"""Installs of weights by an agent that is suspended within any of their steps.

Guards against an engine that loads pieces which became corrupt during the suspension.
"""

import asyncio
import itertools
import random

import pytest

from hawthornspoke.base import boottime_clock, is_failure
from hawthornspoke.spread import _installer
from hawthornspoke.spread.tests.test_agents import PIECES, piece
from hawthornspoke.spread.tests.test_checks_after_suspension import Suspension
from hawthornspoke.spread.tests.test_incarnations import (
    RestartingEngine,
    complete_weights,
    installer_for,
)

#: Seconds for which a piece may have been corrupt when the engine loads it.
MAX_CORRUPT_TIME = 3.0

#: Seconds after the start of a suspension at which pieces become corrupt.
CORRUPTION_DELAY = 0.2

#: Number of pieces that become corrupt in a suspension.
CORRUPT_PIECES = 3

#: Calls of the engine up to the order, in an install without a suspension: a snapshot,
#: a put and a get of each piece, a snapshot and the order.
CALLS = 1 + 2 * PIECES + 1 + 1

BEFORE, AFTER = "before", "after"


class PausingEngine(RestartingEngine):
    """Suspends the agent before or after the engine handles one of its calls.

    Parameters
    ----------
    suspension : Suspension
    pauses : dict of tuple to float
        Seconds of a suspension by the number of the call and ``BEFORE`` or ``AFTER``.
    """

    def __init__(self, *, suspension, pauses):
        super().__init__()
        self.load_time = 0.0
        self.suspension = suspension
        self.pauses = pauses
        self.calls = itertools.count()
        self.order_number = None
        self.read_indices = []
        self.corrupt_since_by_index = {}
        self.corrupt_times = []

    async def put_piece(self, model, index, data):
        def put():
            self.staged[index] = data
            self.corrupt_since_by_index.pop(index, None)

        return self._call(put)

    async def get_piece(self, model, index):
        def get():
            self.read_indices.append(index)
            return self.staged.get(index)

        return self._call(get)

    async def snapshot(self):
        seen = await super().snapshot()
        return self._call(lambda: seen)

    async def start(self, model, version, *, sequence, deadline):
        # The client sends nothing after the deadline, and the order at once before it.
        number = self.order_number = next(self.calls)
        self._pause(number, BEFORE)
        if boottime_clock() >= deadline:
            return _installer.ORDER_FAILED
        now = boottime_clock()
        for index, data in self.staged.items():
            if data != piece(version, index):
                self.corrupt_times.append(now - self.corrupt_since_by_index[index])
        result = await super().start(model, version, sequence=sequence)
        self._pause(number, AFTER)
        return result

    def _call(self, handle):
        number = next(self.calls)
        self._pause(number, BEFORE)
        result = handle()
        self._pause(number, AFTER)
        return result

    def _pause(self, number, place):
        seconds = self.pauses.get((number, place))
        if seconds is None:
            return
        corrupt_since = boottime_clock() + CORRUPTION_DELAY
        self.suspension.seconds += seconds
        # A piece that is yet to be read would be found, and all pieces be read again.
        for index in self.read_indices[:CORRUPT_PIECES]:
            self.staged[index] = b"corrupt"
            self.corrupt_since_by_index.setdefault(index, corrupt_since)


@pytest.fixture
def suspension(monkeypatch):
    for name in "NOTICE_DELAY", "POLL_INTERVAL":
        monkeypatch.setattr(_installer, name, 0.0)
    monkeypatch.setattr(_installer, "ORDER_TIMEOUT", 0.02)
    return Suspension(monkeypatch)


def install(suspension, pauses):
    """Install a version, again until it is loaded; return the engine."""
    engine = PausingEngine(suspension=suspension, pauses=pauses)

    async def run():
        installer = installer_for(engine)
        for _ in range(1 + len(pauses)):
            failure = await installer.install(
                complete_weights(), is_order_valid=lambda: True
            )
            if not is_failure(failure):
                return
        raise AssertionError(failure)

    asyncio.run(run())
    return engine


def test_calls_are_those_of_an_undisturbed_install(suspension):
    """Guards against suspensions that are planned after the end of the install."""
    engine = install(suspension, {})
    assert engine.order_number == CALLS - 1


@pytest.mark.parametrize("place", [BEFORE, AFTER])
@pytest.mark.parametrize("number", range(CALLS))
def test_agent_suspended_in_one_step_loads_no_corrupt_piece(suspension, number, place):
    engine = install(suspension, {(number, place): 4.0})
    assert max(engine.corrupt_times, default=0.0) <= MAX_CORRUPT_TIME


@pytest.mark.parametrize("seed", range(200))
def test_agent_suspended_in_several_steps_loads_no_corrupt_piece(suspension, seed):
    rng = random.Random(seed)
    pauses = {
        (rng.randrange(2 * CALLS), rng.choice((BEFORE, AFTER))): rng.uniform(0.1, 5.0)
        for _ in range(rng.randint(2, 4))
    }
    engine = install(suspension, pauses)
    assert max(engine.corrupt_times, default=0.0) <= MAX_CORRUPT_TIME
