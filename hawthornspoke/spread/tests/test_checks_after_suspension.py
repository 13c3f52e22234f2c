"""An agent does not order, report or send on state that expired during a wait.

Guards against an engine that loads expired weights: an install is planned, then the
host is suspended or the engine responds slowly, and meanwhile a newer version is
declared and the planned one expires. If the conditions of an order are checked only
when the install is planned, the order is sent nevertheless.
"""

import asyncio
import contextlib
import time

import pytest

from hawthornspoke.base import boottime_clock
from hawthornspoke.catalog import EngineProfile, Incarnation
from hawthornspoke.peering import make_directive
from hawthornspoke.protocol import Chunk, Frame
from hawthornspoke.spread._upgrade import PiecesComplete
from hawthornspoke.spread._uploads import UploadQueue
from hawthornspoke.spread.tests.entry_host import connect_as_entry_host
from hawthornspoke.spread.tests.test_agents import (
    ENGINE,
    PORT,
    SIZE,
    FakeEngine,
    FakeOrigin,
    Hosts,
    piece,
)


async def wait_until(condition, *, seconds=3.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


class StallingEngine(FakeEngine):
    """Runs an action after an order is planned and before it is sent.

    The action delays the order. The agent also observes the engine on each tick, and
    an action in such a call would leave the order undelayed.
    """

    def __init__(self):
        super().__init__()
        self.agent = None
        self.before_order = None
        self.running = 0

    async def snapshot(self):
        if self.before_order and self._is_order_next():
            action, self.before_order = self.before_order, None
            await action()
        seen = await super().snapshot()
        return type(seen)(
            version=seen.version,
            layers=seen.layers,
            busy=seen.busy,
            sequence=seen.sequence,
            running=self.running,
            waiting=0,
            pace=1.0,
        )

    def _is_order_next(self):
        if self.agent is None or not self.agent._order_pending:
            return False
        return asyncio.current_task() is self.agent.delivery.install


@contextlib.asynccontextmanager
async def one_host(engine=None, origin=None):
    """Start an agent with an engine that can stall it."""
    hosts = Hosts(1)
    engine = hosts.engines[0] = engine or StallingEngine()
    hosts.origin = origin or hosts.origin
    async with hosts:
        engine.agent = hosts.agents[0]
        yield hosts, engine


class Suspension:
    """Simulates suspension of the host, which only ``boottime_clock`` includes."""

    def __init__(self, monkeypatch):
        self.seconds = 0.0
        real = time.clock_gettime
        monkeypatch.setattr(
            time, "clock_gettime", lambda clock: real(clock) + self.seconds
        )


@pytest.fixture
def suspension(monkeypatch):
    return Suspension(monkeypatch)


def test_observation_before_an_order_does_not_run_the_action():
    """Guards against tests whose action delays an observation, not the order."""

    async def scenario():
        async with one_host() as (hosts, engine):
            agent = engine.agent
            notify = agent.installer._on_order_pending
            is_install = []

            def notify_and_observe(order_pending):
                notify(order_pending)
                agent.exchange.spawn(agent._observe_engine())

            async def record_task():
                is_install.append(asyncio.current_task() is agent.delivery.install)

            agent.installer._on_order_pending = notify_and_observe
            engine.before_order = record_task
            await hosts.declare(1)
            await hosts.wait_until_loaded(1)
            assert is_install == [True]

    asyncio.run(scenario())


def test_version_that_expired_before_the_order_is_not_ordered():
    async def scenario():
        async with one_host() as (hosts, engine):

            async def stall():
                await hosts.declare(2, age=20.0)
                await wait_until(lambda: engine.agent.upgrade.next_version() == 2)

            engine.before_order = stall
            await hosts.declare(1)
            await hosts.wait_until_loaded(2)
            assert engine.orders == [2]

    asyncio.run(scenario())


def test_version_that_expired_during_a_suspension_is_not_ordered(suspension):
    """The newer version is declared before; the older one expires meanwhile."""

    async def scenario():
        async with one_host() as (hosts, engine):

            async def stall():
                await hosts.declare(2)
                await wait_until(lambda: engine.agent.upgrade.next_version() == 2)
                suspension.seconds += 20.0

            engine.before_order = stall
            await hosts.declare(1)
            await hosts.wait_until_loaded(2)
            assert engine.orders == [2]

    asyncio.run(scenario())


def test_version_superseded_by_an_unread_directive_is_not_ordered(suspension):
    """The newer version waits in the socket buffer when the suspension ends."""

    async def scenario():
        async with one_host() as (hosts, engine):
            known = []

            async def stall():
                directive = version_directive(hosts, 0.0, version=2)
                hosts.links[0].send(Frame(directive=directive))
                known.append(engine.agent.upgrade.next_version())
                suspension.seconds += 20.0

            engine.before_order = stall
            await hosts.declare(1)
            await hosts.wait_until_loaded(2)
            assert known == [1]
            assert engine.orders == [2]

    asyncio.run(scenario())


def test_piece_corrupted_during_a_suspension_is_not_loaded():
    """Guards against an engine that loads a corrupt piece.

    All pieces are verified, then the process is suspended for longer than the
    verification is valid, and a staged piece becomes corrupt.
    """

    async def scenario():
        async with one_host() as (hosts, engine):

            async def stall():
                engine.staged[3] = b"?" * SIZE
                time.sleep(1.6)

            engine.before_order = stall
            await hosts.declare(1)
            await hosts.wait_until_loaded(1, seconds=4.0)
            assert engine.orders == [1]

    asyncio.run(scenario())


async def connect_entry_host(hosts, *, age):
    """Connect as an entry host.

    Returns
    -------
    tuple of (PeerConnection, list of EngineState, Frame)
        The connection, a list that grows with each reported state, and the directive.
    """
    states = []

    def record_state(link, frame):
        if frame.engine_state is not None:
            states.append(frame.engine_state)

    link = await connect_as_entry_host(hosts.ips[0], PORT, on_frame=record_state)
    hosts.links.append(link)
    return link, states, Frame(directive=version_directive(hosts, age))


def version_directive(hosts, age, engine: EngineProfile = ENGINE, *, version=1):
    """Return an entry host's directive for a version."""
    return make_directive(
        engine=engine,
        version=version,
        age=age,
        peers=hosts.entries(),
        origin="origin:1",
        bound=8.0,
        failure_domain="a",
        made_at=boottime_clock(),
    )


def test_age_of_a_version_includes_a_suspension(suspension):
    """Guards against a restarted entry host that uses old weights for 5 s too long.

    An agent receives a declaration, its host is suspended for 5 s, and it reports the
    age of the version. The age must be measured on a clock that includes suspension.
    """

    async def scenario():
        async with one_host() as (hosts, _):
            link, states, frame = await connect_entry_host(hosts, age=1.0)
            link.send(frame)
            await hosts.wait_until_loaded(1)
            await wait_until(lambda: states and states[-1].weights_version == 1)
            before = len(states)
            suspension.seconds += 5.0
            await wait_until(lambda: len(states) > before)
            assert states[before].declared[0].age_ms >= 6000

    asyncio.run(scenario())


@pytest.mark.parametrize("is_known", [True, False])
def test_directive_read_late_does_not_make_a_declaration_younger(is_known):
    """Guards against restarted entry hosts that use old weights beyond their bound.

    A host with an agent is suspended for 4 s. Meanwhile a version is declared, or
    reported by another entry host. The age in the directive is correct when it is sent;
    if the agent counts it from when it reads the frame, the declaration appears too
    young. The agent reports that time to all entry hosts. Those that have just started
    don't know the time from the platform and use the latest one that any agent reports.
    """

    async def scenario():
        async with one_host() as (hosts, _):
            declared = hosts.agents[0].directives.declared
            if is_known:
                link, _, frame = await connect_entry_host(hosts, age=1.0)
                link.send(frame)
                await wait_until(lambda: declared.latest_version("m") == 1)
            other, states, frame = await connect_entry_host(hosts, age=1.0)
            sent_at = boottime_clock()
            other.send(frame)
            time.sleep(1.0)
            # The agent reports its state only to entry hosts whose directive it read.
            await wait_until(lambda: states)
            assert declared.latest_version("m") == 1
            # The directive was made just before it was sent, and stated its time.
            assert sent_at - 1.2 <= declared.bounds("m", 1).earliest <= sent_at - 1.0

    asyncio.run(scenario())


def test_outdated_state_is_not_reported_after_a_suspension():
    """Guards against entry hosts that send requests to a full engine reported as empty.

    The process is suspended for 1.5 s while the engine fills. The frame of an entry
    host, which is read first afterwards, was answered with the state observed before.
    """

    async def scenario():
        async with one_host() as (hosts, engine):
            link, states, frame = await connect_entry_host(hosts, age=1.0)
            link.send(frame)
            await hosts.wait_until_loaded(1)
            await wait_until(lambda: states and states[-1].weights_version == 1)
            before = len(states)
            link.send(frame)
            engine.running = 4
            time.sleep(1.5)
            await wait_until(lambda: len(states) > before)
            assert states[before].running == 4

    asyncio.run(scenario())


class FakeLink:
    """Counts the bytes that are uploaded."""

    def __init__(self):
        self.is_open = True
        self.written = 0

    @staticmethod
    def encode(frame):
        return frame.chunk.data

    def write_part(self, data, *, is_last):
        self.written += len(data)

    def unsent(self):
        return 0

    def close(self):
        self.is_open = False


def test_expired_upload_is_not_sent():
    """Guards against a link that is filled with pieces requested 9 s before.

    Pieces are queued when the process is suspended for longer than peers wait for a
    piece. Queued pieces need a deadline.
    """

    async def scenario():
        uploads = UploadQueue(rate=lambda: 1e9)
        link = FakeLink()
        uploads.put(link, Frame(call=-1, chunk=Chunk(data=b"p" * 1000)))
        uploads.put(link, Frame(call=-2, chunk=Chunk(data=b"p" * 1000)))
        time.sleep(2.1)
        uploads.put(link, Frame(call=-3, chunk=Chunk(data=b"p" * 10)))
        await asyncio.sleep(0.1)
        assert link.written == 10

    asyncio.run(scenario())


class SlowEngine(StallingEngine):
    """Delays the put of one piece of version 1 until an order is pending."""

    def __init__(self):
        super().__init__()
        self.put_started = asyncio.Event()

    async def put_piece(self, model, index, data):
        if data == piece(1, 3):
            self.put_started.set()
            while not self.agent._order_pending:
                await asyncio.sleep(0.005)
        return await super().put_piece(model, index, data)


class SlowOrigin(FakeOrigin):
    """Delays one piece of version 1, so that the version is never complete."""

    async def piece(self, address, model, version, index):
        if (version, index) == (1, 5):
            await asyncio.sleep(2.0)
        return await super().piece(address, model, version, index)


def test_pending_put_of_the_previous_version_is_cancelled():
    """Guards against an engine that loads pieces of two versions.

    The put of a piece of version 1 is pending on a slow engine. Version 2 is declared,
    fetched, staged and verified. Then the pending put completes before the order.
    """

    async def scenario():
        async with one_host(SlowEngine(), SlowOrigin()) as (hosts, engine):
            await hosts.declare(1)
            await asyncio.wait_for(engine.put_started.wait(), 3.0)
            await hosts.declare(2)
            await hosts.wait_until_loaded(2, seconds=4.0)
            assert engine.orders == [2]

    asyncio.run(scenario())


def test_install_cancelled_before_its_first_step_ends():
    """Guards against a restarted engine that never gets weights again.

    The process is suspended while the last piece arrives and the engine restarts. Both
    are then read in one iteration of the loop: the install is planned, and the restart
    cancels it before its first step. Such a task runs no code, so InstallEnded must not
    depend on its ``finally``.
    """

    async def scenario():
        async with one_host() as (hosts, engine):
            agent = hosts.agents[0]
            start, step = asyncio.Event(), agent.delivery.step

            def step_and_restart(message):
                step(message)
                if agent.delivery.install is not None and not start.is_set():
                    start.set()
                    agent._update_incarnation(Incarnation(started_ms=2_000))

            agent._update_incarnation(Incarnation(started_ms=1_000))
            agent.exchange._on_complete = lambda weights: step_and_restart(
                PiecesComplete(version=weights.version)
            )
            await hosts.declare(1)
            await asyncio.wait_for(start.wait(), 3.0)
            await hosts.wait_until_loaded(1, seconds=3.0)

    asyncio.run(scenario())


class SilentEngine(StallingEngine):
    """Doesn't answer while it is silent."""

    def __init__(self):
        super().__init__()
        self.answers = asyncio.Event()
        self.answers.set()

    async def snapshot(self):
        await self.answers.wait()
        return await super().snapshot()


def test_no_install_starts_as_the_process_stops():
    """Guards against a task that the end of a cancelled one starts after all others."""

    async def scenario():
        engine = StallingEngine()
        async with one_host(engine) as (hosts, _):
            stalled = asyncio.Event()

            async def stall():
                stalled.set()
                await asyncio.Event().wait()

            engine.before_order = stall
            await hosts.declare(1)
            await asyncio.wait_for(stalled.wait(), 3.0)
            delivery = engine.agent.delivery
            install = delivery.install
            delivery.close()
            delivery.exchange.close()
            await asyncio.wait([install], timeout=0.5)
            await asyncio.sleep(0)
            assert install.done()
            assert delivery.install is None
            delivery.exchange.spawn(asyncio.sleep(9.0))
            assert not delivery.exchange._tasks

    asyncio.run(scenario())


def test_install_that_is_cancelled_by_the_shutdown_ends():
    """Guards against a task that still waits for the engine as the loop ends."""

    async def scenario():
        engine = SilentEngine()
        async with one_host(engine) as (hosts, _):
            stalled = asyncio.Event()

            async def stall():
                engine.answers.clear()
                stalled.set()
                await engine.answers.wait()

            engine.before_order = stall
            await hosts.declare(1)
            await asyncio.wait_for(stalled.wait(), 3.0)
            install = engine.agent.delivery.install
            engine.agent.delivery.close()
            await asyncio.wait([install], timeout=0.5)
            has_ended = install.done()
            engine.answers.set()
            assert has_ended

    asyncio.run(scenario())
