"""An engine that starts again while its agent stages, orders and looks."""

import asyncio

import pytest

from hawthornspoke.base import digest_of, is_failure, monotonic
from hawthornspoke.catalog import UNKNOWN_START, Incarnation
from hawthornspoke.events import EventLog
from hawthornspoke.peering import connect, directive
from hawthornspoke.protocol import Frame
from hawthornspoke.spread import ENGINE_CHANGED, EngineSnapshot, Upgrade
from hawthornspoke.spread._installer import Installer
from hawthornspoke.spread._stock import Weights
from hawthornspoke.spread._upgrade import (
    EngineObserved,
    EngineRestarted,
    Install,
    InstallEnded,
    PiecesComplete,
    VersionDeclared,
)
from hawthornspoke.spread.tests.test_agents import (
    ENGINE,
    LAYERS,
    PIECES,
    PORT,
    FakeEngine,
    piece,
    run_scenario,
)

FIRST = Incarnation(started_ms=1_000_000)
SECOND = Incarnation(started_ms=1_060_000)

#: A start after which the host's clock was put back.
CLOCK_BACK = Incarnation(started_ms=1_000)


class RestartingEngine(FakeEngine):
    """An engine that can start again, with or without what was staged."""

    def __init__(self, *, incarnation=FIRST):
        super().__init__()
        self.incarnation = incarnation
        self.before_start = None
        self.answer_puts = None
        self.load_time = 0.05
        self.puts = 0
        self.ordered_from = []

    def restart(self, incarnation, *, lose_staged=True):
        """Forget everything, as a start does."""
        self.incarnation = incarnation
        self.version = None
        self.loaded = {}
        self.sequence = 0
        self.busy = False
        if lose_staged:
            self.staged = {}

    async def snapshot(self):
        return EngineSnapshot(
            version=self.version,
            layers=(0, LAYERS) if self.version else None,
            busy=self.busy,
            sequence=self.sequence,
            running=0,
            waiting=0,
            pace=1.0,
            incarnation=self.incarnation,
        )

    async def put_piece(self, model, index, data):
        self.puts += 1
        result = await super().put_piece(model, index, data)
        if self.answer_puts is not None:
            await self.answer_puts.wait()
        return result

    async def start(self, model, version, *, sequence):
        if self.before_start is not None:
            hook, self.before_start = self.before_start, None
            hook()
        self.ordered_from.append((self.incarnation, sequence))
        if sequence != self.sequence or self.busy:
            return ENGINE_CHANGED
        self.sequence += 1
        self.busy = True
        self.loaded = dict(self.staged)
        loop = asyncio.get_running_loop()
        loop.call_later(self.load_time, self._end_at, self.incarnation, version)
        return "begun"

    def _end_at(self, incarnation, version):
        # What a start that is over was loading is in no other.
        if incarnation == self.incarnation:
            self._end(version)


def complete_weights(version=1):
    """Return all pieces of a version."""
    data = [piece(version, index) for index in range(PIECES)]
    weights = Weights(
        model="m", version=version, digests=tuple(digest_of(item) for item in data)
    )
    for index, item in enumerate(data):
        weights.put(index, item)
    return weights


def installer_for(engine, *, on_order_pending=lambda order_pending: None):
    """Return an installer of an engine."""
    return Installer(
        engine=engine, log=EventLog(node="n"), on_order_pending=on_order_pending
    )


def test_order_accepted_by_the_next_incarnation_fails():
    """An agent took an engine for loaded on the word of another start.

    Events: it looks at the engine, which has begun no order; the engine starts again,
    has begun none either, takes up the order and loads whatever lies staged. Cause:
    the number of orders is the same at each start.
    """

    async def run():
        engine = RestartingEngine()
        engine.before_start = lambda: engine.restart(SECOND)
        failure = await installer_for(engine).install(
            complete_weights(), is_order_valid=lambda: True
        )
        assert is_failure(failure)
        assert "engine has restarted" in failure.reason

    asyncio.run(run())


@pytest.mark.parametrize("next_incarnation", [SECOND, CLOCK_BACK])
def test_order_is_sent_only_to_the_verified_incarnation(next_incarnation):
    """An engine loaded what its power loss had left of the staged pieces.

    Events: all pieces are staged and read back; the entry hosts are told; the engine
    starts again without what was staged; the order goes out with the number of the
    new start. Cause: only the number was looked at anew, not the start.
    """

    async def run():
        engine = RestartingEngine()

        def on_order_pending(order_pending):
            if order_pending:
                engine.restart(next_incarnation)

        installer = installer_for(engine, on_order_pending=on_order_pending)
        failure = await installer.install(
            complete_weights(), is_order_valid=lambda: True
        )
        assert is_failure(failure)
        assert engine.ordered_from == []

    asyncio.run(run())


def test_decreased_sequence_means_a_restart_without_start_times():
    """The same events, on an engine that doesn't tell its start."""

    async def run():
        engine = RestartingEngine(incarnation=UNKNOWN_START)
        engine.sequence = 3
        engine.before_start = lambda: engine.restart(UNKNOWN_START)
        failure = await installer_for(engine).install(
            complete_weights(), is_order_valid=lambda: True
        )
        assert is_failure(failure)
        assert "engine has restarted" in failure.reason

    asyncio.run(run())


def test_piece_staged_for_the_previous_incarnation_is_staged_again():
    """A piece was believed staged where nothing lay.

    Events: pieces are staged; the engine starts again while one more is put there;
    the answer of the earlier start comes after the agent has seen the new one. Cause:
    what was staged was remembered for the engine, not for its start.
    """

    async def run():
        engine = RestartingEngine()
        installer = installer_for(engine)
        weights = complete_weights()
        for index in range(4):
            await installer.stage(weights, index)

        engine.answer_puts = asyncio.Event()
        late = asyncio.create_task(installer.stage(weights, 4))
        await asyncio.sleep(0.01)
        answer_late, engine.answer_puts = engine.answer_puts, None
        engine.restart(SECOND)
        installer.forget()
        await installer.stage(weights, 0)
        answer_late.set()
        await late
        for index in range(5):
            await installer.stage(weights, index)
        assert sorted(engine.staged) == [0, 1, 2, 3, 4]

    asyncio.run(run())


def test_busy_new_incarnation_holds_no_weights():
    """An engine got no weights after a restart.

    Events: it holds version 1; it starts again and is busy when it is seen first, so
    that what it held before still counts. Cause: that rule is for one start.
    """
    machine = Upgrade()
    machine.step(VersionDeclared(version=1, at=0.0), now=0.0)
    machine.step(EngineObserved(version=1, is_complete=True, busy=False), now=1.0)
    machine.step(PiecesComplete(version=1), now=1.0)
    machine.step(EngineRestarted(), now=2.0)
    machine.step(EngineObserved(version=None, is_complete=False, busy=True), now=2.0)
    assert machine.ready_at(2.0) is not None
    outcomes = machine.step(
        EngineObserved(version=None, is_complete=False, busy=False), now=2.1
    )
    assert Install(version=1) in outcomes
    assert machine.step(InstallEnded(version=1), now=2.2) == outcomes


@pytest.mark.parametrize("next_incarnation", [SECOND, CLOCK_BACK])
@pytest.mark.parametrize("lose_staged", [True, False])
def test_agent_loads_the_weights_into_each_incarnation(next_incarnation, lose_staged):
    """An engine that was back held nothing for the time of an install.

    Events: an engine is restarted just when its agent installs; the agent waits for
    the end of an order of which the new start knows nothing. The start is seen by the
    agent only, later or, after its clock was put back, earlier than the one before.
    Cause: a running install outlived the start it was for.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        hosts.engines[0] = engine
        hosts.agents[0].engine = hosts.agents[0].installer._engine = engine
        await asyncio.sleep(0.2)
        await hosts.name(1)
        await hosts.wait_until_loaded(1)
        reads = len(hosts.origin.reads)
        engine.restart(next_incarnation, lose_staged=lose_staged)
        await hosts.wait_until_loaded(1, seconds=4.0)
        assert len(hosts.origin.reads) == reads
        assert engine.ordered_from[-1] == (next_incarnation, 0)

    run_scenario(scenario, count=1)


def test_agent_plans_for_an_incarnation_busy_from_the_first_snapshot():
    """An entry host refused callers without a time to come back.

    Events: an engine with weights restarts, and is busy when it is seen first. Cause:
    the agent planned as if it still held them, and told no time for the next ones.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        agent = hosts.agents[0]
        hosts.engines[0] = engine
        agent.engine = agent.installer._engine = engine
        await asyncio.sleep(0.2)
        await hosts.name(1)
        await hosts.wait_until_loaded(1)
        await asyncio.sleep(0.3)
        assert agent.upgrade.ready_at(monotonic()) is None
        engine.restart(SECOND)
        engine.busy = True
        await asyncio.sleep(0.3)
        assert agent.upgrade.ready_at(monotonic()) is not None
        engine.busy = False
        await hosts.wait_until_loaded(1, seconds=4.0)

    run_scenario(scenario, count=1)


def test_running_install_ends_with_its_incarnation():
    async def scenario(hosts):
        engine = RestartingEngine()
        hosts.engines[0] = engine
        hosts.agents[0].engine = hosts.agents[0].installer._engine = engine
        await asyncio.sleep(0.2)
        engine.load_time = 60.0
        await hosts.name(1)
        async with asyncio.timeout(4.0):
            while not engine.busy:
                await asyncio.sleep(0.01)
        engine.load_time = 0.05
        engine.restart(SECOND)
        # An order that never ends is waited for much longer.
        await hosts.wait_until_loaded(1, seconds=3.0)

    run_scenario(scenario, count=1)


def test_staging_for_the_previous_incarnation_is_cancelled():
    """An engine that was back waited for calls to its earlier start.

    Events: the engine's host stands still while pieces are put there; the engine is
    started again, and the answers to these calls never come.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        hosts.engines[0] = engine
        hosts.agents[0].engine = hosts.agents[0].installer._engine = engine
        await asyncio.sleep(0.2)
        engine.answer_puts = asyncio.Event()
        await hosts.name(1)
        async with asyncio.timeout(4.0):
            while hosts.agents[0].delivery.install is None or not engine.puts:
                await asyncio.sleep(0.01)
        engine.answer_puts = None
        engine.restart(SECOND)
        await hosts.wait_until_loaded(1, seconds=4.0)

    run_scenario(scenario, count=1)


def test_restart_while_an_install_ends_does_not_block_the_next_one():
    """An engine was never ordered again.

    Events: an install has failed, and the agent looks at the engine before it plans
    the next; just then another look sees that the engine has started again. Cause:
    the end of the install was called off with it, so that it seemed to run for ever.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        agent = hosts.agents[0]
        hosts.engines[0] = engine
        agent.engine = agent.installer._engine = engine
        await asyncio.sleep(0.2)
        observing = asyncio.Event()
        observe_engine = agent._observe_engine

        async def slow_observe():
            if asyncio.current_task() is agent.delivery.install:
                observing.set()
                await asyncio.sleep(0.5)
            await observe_engine()

        class SlowObserver(type(agent)):
            __slots__ = ()
            _observe_engine = staticmethod(slow_observe)

        agent.__class__ = SlowObserver
        engine.before_start = lambda: engine.restart(SECOND)
        await hosts.name(1)
        await asyncio.wait_for(observing.wait(), 4.0)
        engine.restart(CLOCK_BACK)
        await hosts.wait_until_loaded(1, seconds=4.0)

    run_scenario(scenario, count=1)


def test_agent_reports_the_incarnation_of_the_state():
    async def scenario(hosts):
        engine = RestartingEngine()
        hosts.engines[0] = engine
        hosts.agents[0].engine = hosts.agents[0].installer._engine = engine
        states = []

        def record_state(link, frame):
            if frame.engine_state is not None:
                states.append(frame.engine_state)

        link = await connect(
            hosts.ips[0],
            PORT,
            on_frame=record_state,
            on_closed=lambda _: None,
            timeout=1.0,
        )
        hosts.links.append(link)
        await asyncio.sleep(0.2)
        await hosts.name(1)
        declaration = directive(
            engine=ENGINE, version=1, age=None, peers=None, origin=None, bound=8.0
        )
        link.send(Frame(directive=declaration))
        await hosts.wait_until_loaded(1)
        await asyncio.sleep(0.3)
        assert {state.started_ms for state in states} == {FIRST.started_ms}
        states.clear()
        engine.restart(SECOND)
        await hosts.wait_until_loaded(1)
        await asyncio.sleep(0.3)
        assert states[-1].started_ms == SECOND.started_ms
        starts = [state.started_ms for state in states]
        assert starts == sorted(starts)

    run_scenario(scenario, count=1)


def test_late_snapshot_of_the_previous_incarnation_is_ignored():
    """An agent took a start for new twice and cancelled the install of the right one.

    Events: two looks at the engine are on their way at once; the engine restarts; the
    answer to the first look comes after that to the second. Cause: answers on two
    connections overtake each other.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        agent = hosts.agents[0]
        await asyncio.sleep(0.2)
        hosts.tasks[0].cancel()
        await asyncio.sleep(0.05)
        agent.engine = engine
        await agent._observe_engine()
        answered = asyncio.Event()
        early = await engine.snapshot()

        async def slow_snapshot():
            await answered.wait()
            return early

        engine.snapshot = slow_snapshot
        late = asyncio.create_task(agent._observe_engine())
        await asyncio.sleep(0.01)
        del engine.snapshot
        engine.restart(SECOND)
        await agent._observe_engine()
        answered.set()
        await late
        assert agent._snapshot.incarnation == SECOND

    run_scenario(scenario, count=1)
