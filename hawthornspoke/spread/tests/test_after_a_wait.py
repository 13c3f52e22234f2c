"""An agent orders, tells and sends nothing on what a wait has made old.

Symptom: an engine took up weights that were too old to answer by then.
Events: an install is decided; the host stands still, or the engine is slow to answer;
meanwhile a newer version is declared and the bound of this one passes. On waking the
order goes out. Cause: what an order needs was looked at when it was decided.
"""

import asyncio
import contextlib
import time

import pytest

from hawthornspoke.base import contact_clock
from hawthornspoke.catalog import EngineProfile, Incarnation
from hawthornspoke.peering import connect, directive
from hawthornspoke.protocol import Chunk, Frame
from hawthornspoke.spread._upgrade import PiecesComplete
from hawthornspoke.spread._uploads import UploadQueue
from hawthornspoke.spread.tests.test_agents import (
    ENGINE,
    PORT,
    SIZE,
    FakeEngine,
    FakeOrigin,
    Hosts,
    piece,
)


class StallingEngine(FakeEngine):
    """Runs something between the decision to order and the order."""

    def __init__(self):
        super().__init__()
        self.agent = None
        self.before_order = None
        self.running = 0

    async def snapshot(self):
        if self.agent is not None and self.agent._order_pending and self.before_order:
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


@contextlib.asynccontextmanager
async def one_host(engine=None, origin=None):
    """Start an agent before an engine that can stall it."""
    hosts = Hosts(1)
    engine = hosts.engines[0] = engine or StallingEngine()
    hosts.origin = origin or hosts.origin
    async with hosts:
        engine.agent = hosts.agents[0]
        yield hosts, engine


class Suspension:
    """Lets the host be suspended: only the clock that goes on counts it."""

    def __init__(self, monkeypatch):
        self.seconds = 0.0
        real = time.clock_gettime
        monkeypatch.setattr(
            time, "clock_gettime", lambda clock: real(clock) + self.seconds
        )


@pytest.fixture
def suspension(monkeypatch):
    return Suspension(monkeypatch)


def test_version_that_expired_before_the_order_is_not_ordered():
    async def scenario():
        async with one_host() as (hosts, engine):

            async def stall():
                await hosts.name(2, age=20.0)
                await asyncio.sleep(0.05)

            engine.before_order = stall
            await hosts.name(1)
            await hosts.wait_until_loaded(2)
            assert engine.orders == [2]

    asyncio.run(scenario())


def test_version_that_expired_during_a_suspension_is_not_ordered(suspension):
    """The newer version was named before, and only its bound passes meanwhile."""

    async def scenario():
        async with one_host() as (hosts, engine):

            async def stall():
                await hosts.name(2)
                await asyncio.sleep(0.05)
                suspension.seconds += 20.0

            engine.before_order = stall
            await hosts.name(1)
            await hosts.wait_until_loaded(2)
            assert engine.orders == [2]

    asyncio.run(scenario())


def test_piece_corrupted_during_a_suspension_is_not_loaded():
    """Symptom: an engine loaded bytes that have no digest of the list.

    Events: all pieces are read back and right; the process stands still for longer
    than the order may take; a piece turns bad where it lies. Cause: a check that was
    made before the wait.
    """

    async def scenario():
        async with one_host() as (hosts, engine):

            async def stall():
                engine.staged[3] = b"?" * SIZE
                time.sleep(1.6)

            engine.before_order = stall
            await hosts.name(1)
            await hosts.wait_until_loaded(1, seconds=4.0)
            assert engine.orders == [1]

    asyncio.run(scenario())


async def connect_entry_host(hosts, *, age):
    """Connect as an entry host; return the link and the states it is told."""
    states = []

    def record_state(link, frame):
        if frame.engine_state is not None:
            states.append(frame.engine_state)

    link = await connect(
        hosts.ips[0], PORT, on_frame=record_state, on_closed=lambda _: None, timeout=1.0
    )
    hosts.links.append(link)
    return link, states, Frame(directive=version_directive(hosts, age))


def version_directive(hosts, age, engine: EngineProfile = ENGINE):
    """Return what an entry host tells of version 1."""
    return directive(
        engine=engine,
        version=1,
        age=age,
        peers=hosts.entries(),
        origin="origin:1",
        bound=8.0,
        failure_domain="a",
    )


def test_age_of_a_version_includes_a_suspension(suspension):
    """Symptom: an entry host that restarted sent to old weights for 5 s too long.

    Events: an agent hears of a version, its host is suspended for 5 s, and it tells
    the age. Cause: the age was counted on the clock that stands still.
    """

    async def scenario():
        async with one_host() as (hosts, _):
            link, states, frame = await connect_entry_host(hosts, age=1.0)
            link.send(frame)
            await asyncio.sleep(0.1)
            suspension.seconds += 5.0
            await asyncio.sleep(0.5)
            assert states[-1].declared[0].age_ms >= 6000

    asyncio.run(scenario())


@pytest.mark.parametrize("is_known", [True, False])
def test_directive_read_late_does_not_make_a_declaration_younger(is_known):
    """Entry hosts that had restarted sent to old weights beyond their bound.

    Events: a host with an agent stands still for 4 s; a version is declared meanwhile,
    or told by one more entry host; on waking the agent reads that this was just now,
    and counts from here. It tells the later moment to all entry hosts. Those that have
    just started have no word of the platform's own on it and take the latest that any
    agent tells; and the engine beside that agent is the one that is late with the
    version.
    Cause: the age in a message counts from when it is read. It was true when it was
    sent, and of two moments before which nothing was declared the later one wins.
    """

    async def scenario():
        async with one_host() as (hosts, _):
            agent = hosts.agents[0]
            if is_known:
                link, _, frame = await connect_entry_host(hosts, age=1.0)
                link.send(frame)
                await asyncio.sleep(0.1)
            other, _, frame = await connect_entry_host(hosts, age=1.0)
            sent_at = contact_clock()
            other.send(frame)
            time.sleep(1.0)
            await asyncio.sleep(0.1)
            assert agent.directives.declared.latest("m") == 1
            assert agent.directives.declared.since("m") <= sent_at - 1.0

    asyncio.run(scenario())


def test_outdated_state_is_not_reported_after_a_suspension():
    """Symptom: entry hosts sent to a full engine that had told them it was empty.

    Events: the process stands still for 1.5 s while the engine fills; what an entry
    host said meanwhile is read first on waking, and is answered with the state that
    was seen before. Cause: the state had no age.
    """

    async def scenario():
        async with one_host() as (hosts, engine):
            link, states, frame = await connect_entry_host(hosts, age=1.0)
            link.send(frame)
            await asyncio.sleep(0.3)
            before = len(states)
            assert before > 0
            link.send(frame)
            engine.running = 4
            time.sleep(1.5)
            await asyncio.sleep(0.5)
            assert [state.running for state in states[before:]][:1] == [4]

    asyncio.run(scenario())


class FakeLink:
    """Takes what is uploaded."""

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
    """Symptom: pieces that were asked for 9 s before filled a link on waking.

    Events: pieces wait to be sent one after the other; the process stands still for
    longer than peers wait for a piece. Cause: what waits had no deadline.
    """

    async def scenario():
        uploads = UploadQueue(link_rate=1e9, is_serving=lambda: False)
        link = FakeLink()
        uploads.put(link, Frame(call=-1, chunk=Chunk(data=b"p" * 1000)))
        uploads.put(link, Frame(call=-2, chunk=Chunk(data=b"p" * 1000)))
        time.sleep(2.1)
        uploads.put(link, Frame(call=-3, chunk=Chunk(data=b"p" * 10)))
        await asyncio.sleep(0.1)
        assert link.written == 10

    asyncio.run(scenario())


class SlowEngine(StallingEngine):
    """Takes one piece of version 1 in only when an order is about to come."""

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
    """Takes long for one piece of version 1, so that this is never whole."""

    async def piece(self, address, model, version, index):
        if (version, index) == (1, 5):
            await asyncio.sleep(2.0)
        return await super().piece(address, model, version, index)


def test_pending_put_of_the_previous_version_is_cancelled():
    """Symptom: an engine loaded pieces of two versions.

    Events: a piece of version 1 is on its way to a slow engine; version 2 is named, got
    and staged; all its pieces are read back and right; the old piece arrives; the
    order follows. Cause: what was begun for the version before went on.
    """

    async def scenario():
        async with one_host(SlowEngine(), SlowOrigin()) as (hosts, engine):
            await hosts.name(1)
            await asyncio.wait_for(engine.put_started.wait(), 3.0)
            await hosts.name(2)
            await hosts.wait_until_loaded(2, seconds=4.0)
            assert engine.orders == [2]

    asyncio.run(scenario())


def test_install_cancelled_before_its_first_step_ends():
    """An engine that had started again got no weights any more.

    Events: the process stands still while the last piece comes and the engine starts
    again; on waking both are read in one turn of the loop: the install is planned, and
    the new start cancels it before its first step.
    Cause: a task that is cancelled before its first step runs none of it, not the end
    either that tells the plan that the engine can be ordered again.
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
            await hosts.name(1)
            await asyncio.wait_for(start.wait(), 3.0)
            await hosts.wait_until_loaded(1, seconds=3.0)

    asyncio.run(scenario())
