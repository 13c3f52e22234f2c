"""An engine starts no request on weights that have expired, whoever sent it."""

import asyncio

import pytest

from hawthornspoke.spread import ENGINE_CHANGED, EngineSnapshot
from hawthornspoke.spread._installer import Installer
from hawthornspoke.spread._upgrade import Retire
from hawthornspoke.spread.tests.test_agents import LAYERS, FakeEngine, Hosts

BOUND = 8.0


class QueueingEngine(FakeEngine):
    """Keeps requests waiting, and never drops one because its connection closed."""

    def __init__(self):
        super().__init__()
        self.first_layer = 0
        self.started_versions = []
        self._waiting = set()

    async def snapshot(self):
        observed = await super().snapshot()
        return EngineSnapshot(
            version=observed.version,
            layers=observed.layers and (self.first_layer, LAYERS),
            busy=observed.busy,
            sequence=observed.sequence,
            running=0,
            waiting=len(self._waiting),
            pace=1.0,
        )

    def receive(self, *, starts_after):
        """Receive a request that starts some seconds later, unless it is refused."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(starts_after, lambda: self._start_request(timer))
        self._waiting.add(timer)

    async def retire(self, model, version, *, layers, sequence):
        if sequence != self.sequence or self.busy or version != self.version:
            return ENGINE_CHANGED
        self.sequence += 1
        self.first_layer = layers[0] + 1
        for timer in self._waiting:
            timer.cancel()
        self._waiting.clear()
        return "done"

    def _start_request(self, timer):
        self._waiting.discard(timer)
        self.started_versions.append(self.version)

    def _end(self, version):
        super()._end(version)
        self.first_layer = 0


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario with one host whose engine has queues."""

    def run(scenario):
        async def run_with_hosts():
            hosts = Hosts(1)
            hosts.engines = [QueueingEngine()]
            async with hosts:
                await hosts.declare(1)
                await hosts.wait_until_loaded(1)
                hosts.origin.down = True
                await scenario(hosts, hosts.engines[0])

        asyncio.run(run_with_hosts())

    return run


def test_request_that_waits_at_an_engine_does_not_start_on_expired_weights(
    run_scenario,
):
    """Guards against an expiry that an engine only keeps if a close arrives in time."""

    async def scenario(hosts, engine):
        await hosts.declare(2, age=BOUND - 1.0, bound=BOUND)
        engine.receive(starts_after=0.2)
        engine.receive(starts_after=1.2)
        await asyncio.sleep(1.5)
        assert engine.started_versions == [1]

    run_scenario(scenario)


def test_engine_whose_weights_have_expired_loads_the_next_version(run_scenario):
    async def scenario(hosts, engine):
        await hosts.declare(2, age=BOUND - 1.0, bound=BOUND)
        await asyncio.sleep(1.2)
        reads_before = len(hosts.origin.reads)
        hosts.origin.down = False
        await hosts.wait_until_loaded(2)
        versions = {version for version, _ in hosts.origin.reads[reads_before:]}
        assert versions == {2}
        engine.receive(starts_after=0.0)
        await asyncio.sleep(0.1)
        assert engine.started_versions == [2]

    run_scenario(scenario)


def test_stream_is_not_cut_for_a_request_that_waits_no_longer():
    """Between the observation and the order, the waiting request was withdrawn."""
    orders = []

    class Engine:
        async def snapshot(self):
            return EngineSnapshot(
                version=1,
                layers=(0, LAYERS),
                busy=False,
                sequence=1,
                running=3,
                waiting=0,
                pace=1.0,
            )

        async def retire(self, model, version, **options):
            orders.append(version)
            return "done"

    class Log:
        def change(self, event, **fields):
            return None

    installer = Installer(engine=Engine(), log=Log(), on_order_pending=lambda _: None)
    asyncio.run(installer.retire("m", Retire(version=1)))
    assert orders == []
