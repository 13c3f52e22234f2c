"""Entry hosts and agents as simulated processes on the same code as real ones."""

import asyncio
import random

from hawthornspoke.base import Failure
from hawthornspoke.catalog import Catalog, DeclaredWeights, EndpointEntry, Service
from hawthornspoke.catalog.tests.profiles import engine_profile
from hawthornspoke.mirror import (
    CONFIGURATION,
    WEIGHTS,
    ContentOrder,
    PlatformFollower,
    poll,
)
from hawthornspoke.relay import Relay, RelaySettings, _process as relay_process
from hawthornspoke.spread import (
    Agent,
    DirectReader,
    EngineSnapshot,
    SpreadSettings,
    _process as spread_process,
)
from tests.histories.store import Store, StoreClient
from tests.histories.virtual import Network, Process, VirtualLoop, installed_clock

MODEL, SERVICE = "m", "s"
OPERATORS, ENDPOINTS = "operators", "endpoints"
CONFIGURATION_KEY, WEIGHTS_PREFIX = "configuration", "weights/"
DOMAINS = ("a", "b", "c")
AGENTS_PER_DOMAIN = 2

#: Range of the random differences between clocks, in seconds.
CLOCK_OFFSETS = (0.0, 1e5)

#: Events that a trace of a host lists.
TRACED_EVENTS = {
    "declaration_dated",
    "platform_lost",
    "platform_regained",
    "platform_unread",
    "reader",
    "record_failed",
    "started",
    "stood_still",
    "weights",
    "weights_dated",
}

UNAVAILABLE = Failure(code="unavailable")


class TraceLog:
    """Stands in for EventLog; keeps the events that tell where dates come from."""

    def __init__(self, *, node):
        self.node = node
        self.events = []

    def change(self, event, **fields):
        """Keep an event."""
        if event in TRACED_EVENTS:
            now = asyncio.get_running_loop().time()
            self.events.append((now, event, fields))

    def decision(self, event, **fields):
        """Ignore routine decisions."""

    def flush(self, deadline):
        """Nothing is buffered."""


class UnreachableOrigin:
    """No newer weights arrive, so that no engine switches to them."""

    async def manifest(self, address, model, version):
        await asyncio.sleep(0.5)
        return UNAVAILABLE

    async def piece(self, address, model, version, index):
        await asyncio.sleep(0.5)
        return UNAVAILABLE


class IdleEngine:
    """Has loaded the first version and accepts no orders."""

    async def snapshot(self):
        await asyncio.sleep(0.001)
        return EngineSnapshot(
            version=1,
            layers=(0, 16),
            busy=False,
            sequence=0,
            running=0,
            waiting=0,
            pace=1.0,
        )

    async def held_pieces(self, model):
        return ()

    async def get_piece(self, model, index):
        return UNAVAILABLE

    async def put_piece(self, model, index, data):
        return UNAVAILABLE

    async def retire(self, *args, **options):
        return UNAVAILABLE

    async def start(self, *args, **options):
        return UNAVAILABLE

    async def slowdown(self, path):
        return UNAVAILABLE


class Host:
    """An entry host or the host of an agent; its process may be started again.

    Parameters
    ----------
    platform : Platform
    name, failure_domain, ip : str
    is_entry : bool
    clock_offset : float
    """

    def __init__(self, *, platform, name, failure_domain, ip, is_entry, clock_offset):
        self.name = name
        self.failure_domain = failure_domain
        self.ip = ip
        self.is_entry = is_entry
        self.clock_offset = clock_offset
        self.program = None
        self.process = None
        self.events = []
        self._platform = platform

    @property
    def is_up(self):
        """Whether its process runs and doesn't stand still."""
        process = self.process
        return process is not None and process.is_running and not process.is_frozen

    def start(self):
        """Start the process."""
        self.process = Process(
            name=self.name, ip=self.ip, clock_offset=self.clock_offset
        )
        loop = self._platform.loop
        loop.call_soon(self._run, context=self.process.context)

    def kill(self):
        """End the process."""
        self.process.kill(self._platform.loop)

    def set_frozen(self, is_frozen):
        """Let the process stand still, or continue."""
        self.process.is_frozen = is_frozen
        if not is_frozen:
            self._platform.loop.resume(self.process)

    def expires_at(self, version, bound):
        """Return when a version expires to this entry host, on virtual time."""
        declared = self.program.fleet.declared
        at = declared.expires_at(MODEL, version, bound=bound)
        return None if at is None else at - self.clock_offset

    def _run(self):
        make = self._make_relay if self.is_entry else self._make_agent
        self.program = make()
        self.program.log.events = self.events
        self.program.log.change("started")
        asyncio.get_running_loop().create_task(self.program.run())

    def _client(self):
        platform = self._platform
        return StoreClient(store=platform.store, network=platform.network, ip=self.ip)

    def _make_relay(self):
        source = PlatformFollower(
            store=self._client(),
            operators_table=OPERATORS,
            endpoints_table=ENDPOINTS,
            operators_order=ContentOrder(position=lambda key, data: None),
            endpoints_order=ContentOrder(position=lambda key, data: None),
            decode_entry=decode_entry,
            decoder_for_operators_key=decoder_for_operators_key,
            discovery_timeout=poll.discovery_timeout(first_start=False),
        )
        settings = RelaySettings(
            node=self.name,
            failure_domain=self.failure_domain,
            front=f"{self.ip}:8000",
            ready=f"{self.ip}:8001",
            version_bound=self._platform.bound,
        )
        return Relay(settings=settings, source=source)

    def _make_agent(self):
        settings = SpreadSettings(
            node=self.name,
            failure_domain=self.failure_domain,
            region_by_failure_domain=dict.fromkeys(DOMAINS, "r"),
            ip=self.ip,
            engine_address=f"{self.ip}:1",
            link_rate=10_000_000,
        )
        reader = DirectReader(
            store=self._client(),
            service=SERVICE,
            version_bound=self._platform.bound,
            operators_table=OPERATORS,
            endpoints_table=ENDPOINTS,
            configuration_key=CONFIGURATION_KEY,
            version_prefix=WEIGHTS_PREFIX,
            decode_configuration=decode_configuration,
            decode_declared=decode_declared,
            decode_entry=decode_entry,
        )
        return Agent(
            settings=settings,
            engine=IdleEngine(),
            origin=UnreachableOrigin(),
            platform_reader=reader,
        )


class Platform:
    """A store, entry hosts and agents of three failure domains.

    Parameters
    ----------
    rng : random.Random
    bound : float
        Seconds after a declaration during which requests may start on older weights.
    """

    def __init__(self, *, rng, bound):
        self.bound = bound
        self.network = Network(rng=random.Random(rng.random()))
        self.loop = VirtualLoop(self.network)
        self.store = Store(
            loop=self.loop, clock_offset=rng.uniform(*CLOCK_OFFSETS) - self.loop.time()
        )
        self.hosts = []
        for number, failure_domain in enumerate(DOMAINS):
            entry_hosts = rng.choice((2, 3))
            for index in range(entry_hosts + AGENTS_PER_DOMAIN):
                is_entry = index < entry_hosts
                kind = "entry" if is_entry else "agent"
                host = Host(
                    platform=self,
                    name=f"{kind}-{failure_domain}-{index}",
                    failure_domain=failure_domain,
                    ip=f"10.{number}.{1 - is_entry}.{index}",
                    is_entry=is_entry,
                    clock_offset=rng.uniform(*CLOCK_OFFSETS),
                )
                self.hosts.append(host)
        self._revision = 0

    @property
    def entry_hosts(self):
        """All entry hosts."""
        return [host for host in self.hosts if host.is_entry]

    @property
    def agents(self):
        """All hosts of agents."""
        return [host for host in self.hosts if not host.is_entry]

    def configure(self):
        """Write a new configuration."""
        self._revision += 1
        self.store.put(OPERATORS, CONFIGURATION_KEY, b"%d" % self._revision)

    def declare(self, version):
        """Declare a version of the weights."""
        self.store.put(OPERATORS, WEIGHTS_PREFIX + MODEL, b"%d" % version)

    def write_endpoint(self, host):
        """Write the row of an agent's engine."""
        data = f"{host.ip} {host.failure_domain}".encode()
        self.store.put(ENDPOINTS, host.name, data)

    def play(self, coroutine):
        """Run a coroutine on virtual time, and end all processes."""
        loop, state = self.loop, random.getstate()
        logs = relay_process.EventLog, spread_process.EventLog
        relay_process.EventLog = spread_process.EventLog = TraceLog
        try:
            with installed_clock(loop):
                loop.run_until_complete(coroutine)
                for host in self.hosts:
                    if host.process is not None:
                        host.kill()
                loop.run_until_complete(asyncio.sleep(0.5))
                for task in asyncio.all_tasks(loop):
                    task.cancel()
                loop.run_until_complete(asyncio.sleep(0.0))
                loop.run_until_complete(asyncio.sleep(0.0))
        finally:
            relay_process.EventLog, spread_process.EventLog = logs
            random.setstate(state)
            loop.close()


def decode_entry(endpoint_id, data):
    """Return the EndpointEntry of a row."""
    ip, failure_domain = data.decode().split()
    return EndpointEntry(
        endpoint_id=endpoint_id,
        service=SERVICE,
        address=f"{ip}:1",
        failure_domain=failure_domain,
        slots=4,
        weights_version=1,
        layers=(0, 16),
    )


def decode_configuration(data):
    """Return the Catalog of a row."""
    engine = engine_profile(model=MODEL, pieces=16, piece_bytes=1000)
    service = Service(name=SERVICE, engine=engine)
    return Catalog(
        revision=int(data),
        routes=[],
        service_by_name={SERVICE: service},
        requires_key=False,
    )


def decode_declared(data):
    """Return the DeclaredWeights of a row."""
    return DeclaredWeights(model=MODEL, version=int(data))


def decoder_for_operators_key(key):
    """Return the kind of an operators' row and its decoder."""
    if key == CONFIGURATION_KEY:
        return CONFIGURATION, decode_configuration
    return WEIGHTS, decode_declared
