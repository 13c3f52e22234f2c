"""Agents on loopback sockets, with fake engines and a fake origin that can fail."""

import asyncio
import random

from hawthornspoke.base import boottime_clock, digest_of, is_failure
from hawthornspoke.base.tests.addresses import random_port
from hawthornspoke.catalog import UNKNOWN_TIME, EndpointEntry
from hawthornspoke.catalog.tests.profiles import engine_profile
from hawthornspoke.peering import connect, make_directive, peer_endpoints
from hawthornspoke.protocol import (
    ChunkAsk,
    DeclaredAge,
    DirectiveAsk,
    Frame,
    ManifestAsk,
)
from hawthornspoke.spread import (
    ENGINE_CHANGED,
    ORIGIN_FAILED,
    PIECE_MISSING,
    Agent,
    EngineSnapshot,
    SpreadSettings,
)
from hawthornspoke.spread._piece_store import Weights
from hawthornspoke.spread.tests.entry_host import connect_as_entry_host

PIECES = 24
SIZE = 2000
LAYERS = 8
ENGINE = engine_profile(
    step_per_request=0.0, layers=LAYERS, pieces=PIECES, piece_bytes=SIZE
)
PORT = random_port(21000, 25000)


def piece(version, index):
    """Return the correct bytes of a piece."""
    return random.Random(f"{version}/{index}").randbytes(SIZE)


class FakeOrigin:
    """Serves pieces; some of them are corrupt, and none are served while it is down."""

    def __init__(self):
        self.reads = []
        self.manifest_reads = 0
        self.corrupt = set()
        self.corrupt_digests = {}
        self.down = False

    async def manifest(self, address, model, version):
        if self.down:
            return ORIGIN_FAILED
        self.manifest_reads += 1
        digests = [digest_of(piece(version, index)) for index in range(PIECES)]
        for index, digest in self.corrupt_digests.items():
            digests[index] = digest
        self.corrupt_digests = {}
        return tuple(digests)

    async def piece(self, address, model, version, index):
        await asyncio.sleep(0.002)
        if self.down:
            return ORIGIN_FAILED
        self.reads.append((version, index))
        if (version, index) in self.corrupt:
            self.corrupt.discard((version, index))
            return b"?" * SIZE
        return piece(version, index)


class FakeEngine:
    """Holds staged pieces and loads them without verifying them."""

    def __init__(self):
        self.staged = {}
        self.version = None
        self.loaded = {}
        self.sequence = 0
        self.busy = False
        self.orders = []
        self.corrupt_after_put = set()

    async def snapshot(self):
        layers = (0, LAYERS) if self.version else None
        return EngineSnapshot(
            version=self.version,
            layers=layers,
            busy=self.busy,
            sequence=self.sequence,
            running=0,
            waiting=0,
            pace=1.0,
        )

    async def put_piece(self, model, index, data):
        if index in self.corrupt_after_put:
            self.corrupt_after_put.discard(index)
            data = b"!" + data[1:]
        self.staged[index] = data
        return None

    async def get_piece(self, model, index):
        return self.staged.get(index, PIECE_MISSING)

    async def held_pieces(self, model):
        return tuple(sorted(self.staged))

    async def start(self, model, version, *, sequence, deadline=None):
        if sequence != self.sequence or self.busy:
            return ENGINE_CHANGED
        self.orders.append(version)
        self.sequence += 1
        self.busy = True
        self.loaded = dict(self.staged)
        asyncio.get_running_loop().call_later(0.05, self._end, version)
        return "begun"

    def _end(self, version):
        self.version = version
        self.busy = False

    def has_loaded(self, version):
        """Return whether exactly the correct bytes of a version are loaded."""
        right = {index: piece(version, index) for index in range(PIECES)}
        return self.version == version and self.loaded == right


class FakePlatform:
    """The platform as an agent reads it: it returns the endpoints only."""

    def __init__(self, hosts):
        self._hosts = hosts

    async def __call__(self, known):
        return ORIGIN_FAILED

    async def peers(self):
        return peer_endpoints(self._hosts.entries())


class Hosts:
    """Agents with their engines, and the entry host that sends them directives."""

    def __init__(self, count):
        self.origin = FakeOrigin()
        self.engines = [FakeEngine() for _ in range(count)]
        self.ips = [f"127.0.0.{number + 2}" for number in range(count)]
        self.agents = []
        self.tasks = []
        self.links = []

    async def __aenter__(self):
        for ip, engine in zip(self.ips, self.engines, strict=True):
            await self._start(ip, engine)
        return self

    async def __aexit__(self, *exc):
        for link in self.links:
            link.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _start(self, ip, engine):
        agent = Agent(
            settings=SpreadSettings(
                node=ip,
                failure_domain="a",
                region_by_failure_domain={"a": "r"},
                ip=ip,
                engine_address=f"{ip}:1",
                link_rate=1_000_000,
                port=PORT,
                operator_port=PORT + 1,
            ),
            engine=engine,
            origin=self.origin,
            platform_reader=FakePlatform(self),
        )
        self.agents.append(agent)
        self.tasks.append(asyncio.create_task(agent.run()))
        await asyncio.sleep(0.05)

    def entries(self):
        """Return the platform's list of endpoints."""
        return [
            EndpointEntry(
                endpoint_id=ip,
                service="s",
                address=f"{ip}:1",
                failure_domain="a",
                slots=4,
            )
            for ip in self.ips
        ]

    async def declare(
        self, version, *, age=0.0, bound=8.0, with_peers=True, earlier_versions=()
    ):
        """Send a declaration of a version from an entry host to all agents."""
        links = [await connect_as_entry_host(ip, PORT) for ip in self.ips]
        self.links += links
        entries = self.entries()
        declaration = make_directive(
            engine=ENGINE,
            version=version,
            age=age,
            peers=entries if with_peers else None,
            origin="origin:1",
            bound=bound,
            failure_domain="a",
            earlier_versions=earlier_versions,
            known_for=age or 0.0,
            made_at=boottime_clock(),
        )
        for link in links:
            link.send(Frame(directive=declaration))

    async def wait_until_loaded(self, version, *, seconds=10.0):
        """Wait until each engine has loaded the correct bytes of a version."""
        async with asyncio.timeout(seconds):
            while not all(engine.has_loaded(version) for engine in self.engines):
                await asyncio.sleep(0.02)


def _ignore(*_):
    return None


def run_scenario(scenario, count=3):
    """Run a scenario on some hosts."""

    async def run():
        async with Hosts(count) as hosts:
            await scenario(hosts)

    asyncio.run(run())


def test_version_reaches_all_hosts_with_one_copy_from_the_origin():
    async def scenario(hosts):
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        assert len(hosts.origin.reads) <= PIECES * 1.2
        assert all(engine.orders == [1] for engine in hosts.engines)

    run_scenario(scenario)


def test_corrupt_pieces_are_never_loaded():
    """Guards against an engine that serves corrupt weights.

    The origin sends corrupt bytes, and a staged piece becomes corrupt before the order.
    The engine loads staged bytes without checking digests.
    """

    async def scenario(hosts):
        hosts.origin.corrupt = {(1, 3), (1, 11)}
        hosts.engines[0].corrupt_after_put = {0, 5}
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        assert all(engine.orders == [1] for engine in hosts.engines)

    run_scenario(scenario)


def test_next_version_replaces_the_first():
    async def scenario(hosts):
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        await hosts.declare(2)
        await hosts.wait_until_loaded(2)
        assert all(engine.orders == [1, 2] for engine in hosts.engines)

    run_scenario(scenario)


def test_restarted_engine_loads_staged_pieces_without_the_origin():
    """Guards against a transfer for a crashed engine whose pieces are still staged."""

    async def scenario(hosts):
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        reads = len(hosts.origin.reads)
        hosts.engines[0].version = None
        hosts.engines[0].loaded = {}
        hosts.engines[0].sequence = 0
        await hosts.wait_until_loaded(1)
        assert len(hosts.origin.reads) == reads

    run_scenario(scenario)


def test_restarted_agent_reuses_staged_pieces():
    async def scenario(hosts):
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        reads = len(hosts.origin.reads)
        hosts.tasks[0].cancel()
        await asyncio.sleep(0.1)
        await hosts._start(hosts.ips[0], hosts.engines[0])
        await hosts.declare(1)
        await asyncio.sleep(0.5)
        assert hosts.engines[0].orders == [1]
        assert len(hosts.origin.reads) == reads

    run_scenario(scenario)


def test_restarted_entry_host_receives_the_age_of_a_version():
    """Guards against an entry host that counts a version's bound from its own start.

    A version is declared, and an entry host restarts and reads it without its time,
    which only the agents know.
    """

    async def scenario(hosts):
        await hosts.declare(1, age=2.0)
        states = []

        def record_state(link, frame):
            if frame.engine_state is not None:
                states.append(frame.engine_state)

        link = await connect(
            hosts.ips[0], PORT, on_frame=record_state, on_closed=_ignore, timeout=1.0
        )
        hosts.links.append(link)
        declaration = make_directive(
            engine=ENGINE, version=1, age=None, peers=None, origin=None, bound=8.0
        )
        link.send(Frame(directive=declaration))
        async with asyncio.timeout(2.0):
            while not states:
                await asyncio.sleep(0.02)
        (declared,) = states[0].declared
        assert declared.version == 1
        assert 2000 <= declared.age_ms < 4000

    run_scenario(scenario, count=1)


def test_age_of_a_version_that_only_one_host_can_date_is_reported():
    """Guards against entry hosts that take the weights before it for expired.

    They restarted during an outage of the platform in which two versions were declared,
    and read only the second one.
    """

    async def scenario(hosts):
        await hosts.declare(3, age=0.5)
        await asyncio.sleep(0.2)
        agent = hosts.agents[0]
        assert [item.version for item in agent.directives.declared_ages()] == [3]
        earlier = DeclaredAge(version=2, age_ms=1000)
        await hosts.declare(3, age=0.7, earlier_versions=[earlier])
        await asyncio.sleep(0.2)
        second, third = agent.directives.declared_ages()
        assert (second.version, third.version) == (2, 3)
        assert 1000 <= second.age_ms < 2000

    run_scenario(scenario, count=1)


def test_unknown_age_is_not_reported():
    async def scenario(hosts):
        await hosts.declare(1, age=None)
        await asyncio.sleep(0.2)
        agent = hosts.agents[0]
        assert agent.upgrade.next_version() == 1
        assert agent.directives.declared_ages() == []
        await hosts.declare(1, age=3.0)
        await asyncio.sleep(0.2)
        (declared,) = agent.directives.declared_ages()
        assert declared.age_ms >= 3000

    run_scenario(scenario, count=1)


def test_directive_that_does_not_state_its_time_dates_nothing():
    """Guards against dates that are late because older programs count from arrivals."""

    async def scenario(hosts):
        directive = make_directive(
            engine=ENGINE,
            version=2,
            age=3.0,
            peers=hosts.entries(),
            origin="origin:1",
            bound=8.0,
            failure_domain="a",
            earlier_versions=[DeclaredAge(version=1, age_ms=4000)],
        )
        link = await connect(
            hosts.ips[0], PORT, on_frame=_ignore, on_closed=_ignore, timeout=1.0
        )
        hosts.links.append(link)
        link.send(Frame(directive=directive))
        await asyncio.sleep(0.2)
        agent = hosts.agents[0]
        assert agent.upgrade.next_version() == 2
        assert agent.directives.declared_ages() == []
        await hosts.declare(2, age=3.3)
        await asyncio.sleep(0.2)
        (declared,) = agent.directives.declared_ages()
        assert declared.version == 2

    run_scenario(scenario, count=1)


def test_date_is_final_only_once_the_clock_of_its_sender_is_known_closely():
    """Guards against an engine that refuses requests only after its weights expired.

    The only entry host that dates the version reaches the agent over a link with a
    queue, and another one tells the same version without a date.
    """

    async def scenario(hosts):
        agent = hosts.agents[0]
        arrival_delay = 1.3
        slow = await connect_as_entry_host(
            hosts.ips[0], PORT, arrival_delay=lambda: arrival_delay
        )
        hosts.links.append(slow)
        made_at = boottime_clock()
        directive = make_directive(
            engine=ENGINE,
            version=2,
            age=2.0,
            known_for=1.2,
            made_at=made_at,
            peers=hosts.entries(),
            origin="origin:1",
            bound=8.0,
            failure_domain="a",
        )
        slow.send(Frame(directive=directive))
        declared = agent.directives.declared
        async with asyncio.timeout(4.0):
            while declared.bounds("m", 2).earliest == UNKNOWN_TIME:
                await asyncio.sleep(0.02)
        arrival_delay = 0.0
        await hosts.declare(2, age=None)
        async with asyncio.timeout(6.0):
            while not agent.upgrade._declared[-1].is_dated:
                await asyncio.sleep(0.02)
        assert made_at - 2.2 <= agent.upgrade._declared[-1].at <= made_at - 2.0

    run_scenario(scenario, count=1)


def test_new_agent_dates_a_version_by_the_answer_of_a_neighbour():
    """Guards against an agent without a date while no entry host knows of it.

    The answer was made after the question.
    """

    async def scenario(hosts):
        await hosts.declare(3, age=2.0)
        await hosts.wait_until_loaded(3)
        await hosts._start("127.0.0.9", FakeEngine())
        added = hosts.agents[-1].directives.declared
        async with asyncio.timeout(3.0):
            while added.latest_version("m") != 3:
                await asyncio.sleep(0.02)
        bounds = added.bounds("m", 3)
        # Any neighbour may have answered, and each has bounds of its own.
        assert any(
            known.earliest - 0.2 <= bounds.earliest <= known.earliest
            and known.latest <= bounds.latest <= known.latest + 0.2
            for known in (
                agent.directives.declared.bounds("m", 3) for agent in hosts.agents[:-1]
            )
        )

    run_scenario(scenario)


def test_neighbour_answers_with_ages_of_the_moment():
    """Guards against an age that counts from the receipt of an older directive."""

    async def scenario(hosts):
        earlier = DeclaredAge(version=2, age_ms=1000)
        await hosts.declare(3, age=0.5, earlier_versions=[earlier])
        await asyncio.sleep(1.0)
        link = await connect(
            hosts.ips[0], PORT, on_frame=_ignore, on_closed=_ignore, timeout=1.0
        )
        hosts.links.append(link)
        ask = Frame(directive_ask=DirectiveAsk(failure_domain="a"))
        answer = await link.ask(ask, timeout=1.0)
        (second,) = answer.directive.earlier_versions
        assert answer.directive.age_ms >= 1500
        assert second.age_ms >= 2000

    run_scenario(scenario, count=1)


def test_transfer_continues_after_an_origin_outage():
    async def scenario(hosts):
        hosts.origin.down = True
        await hosts.declare(1)
        await asyncio.sleep(0.6)
        hosts.origin.down = False
        await hosts.wait_until_loaded(1)

    run_scenario(scenario)


def test_failed_host_does_not_block_the_others():
    """Guards against a transfer that waits for a failed host.

    A host that has to read some of the pieces from the origin fails before it does. The
    next host in the order of each piece has to read it.
    """

    async def scenario(hosts):
        hosts.tasks[0].cancel()
        hosts.engines[0].version = 1
        hosts.engines[0].loaded = {index: piece(1, index) for index in range(PIECES)}
        await asyncio.sleep(0.05)
        hosts.ips_alive = hosts.ips[1:]
        all_ips, hosts.ips = hosts.ips, hosts.ips[1:]
        await hosts.declare(1)
        hosts.ips = all_ips
        await hosts.wait_until_loaded(1)

    run_scenario(scenario)


def test_order_with_an_outdated_sequence_is_refused():
    """Guards against a suspended agent that orders an engine back to an old version.

    An agent reads the engine's state and is suspended; another agent sends an order;
    the first one resumes and sends its own. The sequence it expects is outdated.
    """

    async def run():
        engine = FakeEngine()
        seen = await engine.snapshot()
        assert await engine.start("m", 2, sequence=seen.sequence) == "begun"
        await asyncio.sleep(0.1)
        assert await engine.start("m", 1, sequence=seen.sequence) == ENGINE_CHANGED

    asyncio.run(run())


def test_manifest_is_read_from_the_origin_once():
    """Guards against agents that have no manifest for 15 s.

    A version is declared, 53 agents request its manifest, and the origin resets the
    connections above its limit.
    """

    async def scenario(hosts):
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        assert hosts.origin.manifest_reads == 1

    run_scenario(scenario, count=6)


def test_one_corrupt_digest_does_not_block_a_version():
    """Guards against a version that no host completes.

    One digest in the manifest is corrupted on the way from the origin. The manifest
    must be read again even if other pieces match.
    """

    async def scenario(hosts):
        hosts.origin.corrupt_digests = {4: "0" * 64}
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)

    run_scenario(scenario)


def test_malformed_manifest_is_read_again():
    async def scenario(hosts):
        hosts.origin.corrupt_digests = {4: "\u00e9 no digest"}
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)

    run_scenario(scenario)


def test_version_is_accepted_from_a_directive_without_peers():
    """Guards against links of engine hosts that are filled by endpoint lists.

    21 endpoints were added within five seconds, and each of 34 entry hosts sent the
    full list to each agent after each addition. Most entry hosts now send only the
    version, and an agent keeps the peers it has.
    """

    async def scenario(hosts):
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        await hosts.declare(2, with_peers=False)
        await hosts.wait_until_loaded(2)
        assert len(hosts.origin.reads) <= 2 * PIECES * 1.2

    run_scenario(scenario)


def test_new_agent_gets_the_directive_from_neighbours():
    """Guards against added engines that serve only 7.4 s after their hosts started.

    Agents of added hosts run after 0.2 s but received a directive after 1.4 s: entry
    hosts know of an agent only once its engine has registered with the platform.
    """

    async def scenario(hosts):
        await hosts.declare(1)
        await hosts.wait_until_loaded(1)
        known, added = list(hosts.ips), "127.0.0.9"
        engine = FakeEngine()
        await hosts._start(added, engine)
        hosts.engines.append(engine)
        await hosts.wait_until_loaded(1)
        assert hosts.ips == known

    run_scenario(scenario)


def test_manifest_requested_while_a_piece_is_being_sent():
    """Guards against a connection that breaks when the next version is declared.

    A host is sending a piece in slices. The receiver requests a manifest on the same
    connection, and it is available at once. If the response is written between two
    slices, it is read as bytes of the piece, and later bytes are read as the length of
    a frame: the connection is closed or stalls, and requests on it get no response.
    """

    async def scenario():
        async with Hosts(1) as hosts:
            (agent,) = hosts.agents
            data = random.Random(1).randbytes(32768)
            weights = Weights(model="m", version=1, digests=(digest_of(data),))
            assert weights.put(0, data)
            agent.exchange.weights_by_name[weights.name] = weights
            agent.delivery.manifests._digests_by_name["m@2"] = (digest_of(b"2"),)
            link = await connect(
                hosts.ips[0],
                PORT,
                on_frame=lambda *_: None,
                on_closed=lambda _: None,
                timeout=1.0,
            )
            hosts.links.append(link)
            ask = ChunkAsk(digest=weights.name, index=0, node="n")
            piece = asyncio.create_task(link.ask(Frame(chunk_ask=ask), timeout=2.0))
            await asyncio.sleep(0.01)
            ask = ManifestAsk(weights="m@2")
            listed = await link.ask(Frame(manifest_ask=ask), timeout=2.0)
            assert not is_failure(listed)
            answer = await piece
            assert not is_failure(answer)
            assert answer.chunk.data == data

    asyncio.run(scenario())
