"""An engine that restarts while its agent stages, orders and observes."""

import asyncio

import pytest

from hawthornspoke.base import digest_of, is_failure, monotonic
from hawthornspoke.catalog import UNKNOWN_START, Incarnation
from hawthornspoke.events import EventLog
from hawthornspoke.peering import connect, make_directive
from hawthornspoke.protocol import Frame
from hawthornspoke.spread import ENGINE_CHANGED, EngineSnapshot, Upgrade
from hawthornspoke.spread._installer import Installer
from hawthornspoke.spread._piece_store import Weights
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

#: An incarnation that started after the host's clock was set back.
CLOCK_BACK = Incarnation(started_ms=1_000)


class RestartingEngine(FakeEngine):
    """An engine that can restart, with or without its staged pieces."""

    def __init__(self, *, incarnation=FIRST):
        super().__init__()
        self.incarnation = incarnation
        self.before_start = None
        self.answer_puts = None
        self.load_time = 0.05
        self.puts = 0
        self.ordered_from = []

    def restart(self, incarnation, *, lose_staged=True):
        """Reset the state as a restart does."""
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

    async def start(self, model, version, *, sequence, deadline=None):
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
        # An incarnation does not finish the load of an earlier one.
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
    """Return an installer for an engine."""
    return Installer(
        engine=engine, log=EventLog(node="n"), on_order_pending=on_order_pending
    )


def test_order_accepted_by_the_next_incarnation_fails():
    """Guards against an install that succeeds on the state of another incarnation.

    The engine has begun no order when the agent reads its state. It restarts, has again
    begun none, accepts the order and loads whatever is staged: the sequence is the same
    in both incarnations.
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
    """Guards against an engine that loads an incomplete set of staged pieces.

    All pieces are staged and verified, and the entry hosts are notified. The engine
    restarts without its staged pieces, as after a power loss. If only the sequence is
    read again, the order is sent with that of the new incarnation.
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
    """The same events, on an engine that doesn't report its start time."""

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
    """Guards against a piece that is recorded as staged but missing.

    Pieces are staged, and the engine restarts while another put is pending. The
    response of the previous incarnation arrives after the agent has observed the new
    one.
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
        installer.forget_staged()
        await installer.stage(weights, 0)
        answer_late.set()
        await late
        for index in range(5):
            await installer.stage(weights, index)
        assert sorted(engine.staged) == [0, 1, 2, 3, 4]

    asyncio.run(run())


def test_busy_new_incarnation_holds_no_weights():
    """Guards against an engine that gets no weights after a restart.

    It holds version 1, restarts and is busy when it is first observed. The rule that a
    busy engine counts as holding its previous weights is valid within one incarnation
    only.
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
    """Guards against a restarted engine without weights for the time of an install.

    An engine restarts while its agent installs, and the agent waits for the end of an
    order that the new incarnation does not know. Nothing else tells the agent of the
    restart. The new start time is later than the previous one, or earlier if the clock
    was set back.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        hosts.engines[0] = engine
        hosts.agents[0].engine = hosts.agents[0].installer._engine = engine
        await asyncio.sleep(0.2)
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        reads = len(hosts.origin.reads)
        engine.restart(next_incarnation, lose_staged=lose_staged)
        await hosts.wait_until_loaded(1, seconds=4.0)
        assert len(hosts.origin.reads) == reads
        assert engine.ordered_from[-1] == (next_incarnation, 0)

    run_scenario(scenario, count=1)


def test_agent_plans_for_an_incarnation_busy_from_the_first_snapshot():
    """Guards against an entry host whose rejections contain no retry time.

    An engine with weights restarts and is busy when it is first observed. If the agent
    plans as if the engine still held them, it reports no time for the next ones.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        agent = hosts.agents[0]
        hosts.engines[0] = engine
        agent.engine = agent.installer._engine = engine
        await asyncio.sleep(0.2)
        await hosts.declare(1)
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
        await hosts.declare(1)
        async with asyncio.timeout(4.0):
            while not engine.busy:
                await asyncio.sleep(0.01)
        engine.load_time = 0.05
        engine.restart(SECOND)
        # The install would wait much longer for an order that never ends.
        await hosts.wait_until_loaded(1, seconds=3.0)

    run_scenario(scenario, count=1)


def test_staging_for_the_previous_incarnation_is_cancelled():
    """Guards against an install that waits for calls to the previous incarnation.

    The engine's host is suspended while pieces are staged; the engine restarts, and the
    responses to these calls never arrive.
    """

    async def scenario(hosts):
        engine = RestartingEngine()
        hosts.engines[0] = engine
        hosts.agents[0].engine = hosts.agents[0].installer._engine = engine
        await asyncio.sleep(0.2)
        engine.answer_puts = asyncio.Event()
        await hosts.declare(1)
        async with asyncio.timeout(4.0):
            while hosts.agents[0].delivery.install is None or not engine.puts:
                await asyncio.sleep(0.01)
        engine.answer_puts = None
        engine.restart(SECOND)
        await hosts.wait_until_loaded(1, seconds=4.0)

    run_scenario(scenario, count=1)


def test_restart_while_an_install_ends_does_not_block_the_next_one():
    """Guards against an engine that is never ordered again.

    An install has failed, and the agent observes the engine before it plans the next
    one. Just then another observation shows that the engine has restarted. If that also
    cancels the end of the install, the install appears to run forever.
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
        await hosts.declare(1)
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
        await hosts.declare(1)
        declaration = make_directive(
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
    """Guards against a restart that is detected twice and cancels the current install.

    Two snapshots are requested at the same time and the engine restarts. The response
    to the first one arrives last, as responses on two connections can be reordered.
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
