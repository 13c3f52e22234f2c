"""One seed of the soak: start, faults in series and overlapping, checks."""

import asyncio
import collections
import contextlib
import random
import signal
import tempfile
from pathlib import Path

from tests.soak.clients import Callers
from tests.soak.programs import FIRST_INNER, Program
from tests.soak.world import (
    LLM,
    MODEL,
    PLAIN,
    Engine,
    Origin,
    Proxy,
    StandinStore,
    configuration,
)

ENTRIES, ENGINES, PLAINS, CALLERS = 3, 3, 2, 12
APP_PORT, REAL_PORT, STORE_PORT = 9100, 9200, 9500

#: Seconds after a key is taken away from which requests with it may not run, and
#: after a fault from which half of the requests must be served again.
REVOKE_BOUND = 5.0
CALM = 8.0

#: Share of the calm seconds' requests that must be served.
LEAST_SERVED = 0.5


class Soak:
    """Everything of one seed.

    Parameters
    ----------
    seed : int
    seconds : float
    folder : Path
        For settings and logs; kept if something is broken.
    """

    def __init__(self, *, seed, seconds, folder):
        self.random = random.Random(seed)
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.store = StandinStore()
        self.origin = Origin()
        self.keys = {"k1", "k2", "k3"}
        self.revoked = {}
        self.config_version = self.weights_version = 1
        self.engines, self.proxies, self.agents, self.entries = [], [], [], []
        self.faults = []

    async def play(self):
        """Play the seed; return what was broken."""
        await self._start()
        callers = Callers(entries=self.entries, keys=self.keys, seed=self.seed)
        beats = asyncio.create_task(self._beat())
        try:
            await asyncio.sleep(3.0)
            calls = asyncio.create_task(callers.run(CALLERS))
            await self._disturb()
            calm_from = asyncio.get_running_loop().time() + CALM
            await asyncio.sleep(CALM + 4.0)
            calls.cancel()
            await asyncio.gather(calls, return_exceptions=True)
            await asyncio.sleep(0.5)
        finally:
            beats.cancel()
            self._end()
            # Connections of the proxies end by themselves once both sides are gone.
            await asyncio.sleep(0.3)
        return self._judge(callers, calm_from)

    async def _start(self):
        await self.store.start()
        await self.origin.start("127.0.2.1", 9300)
        store_port = int(self.store.address.rpartition(":")[2])
        self.store_proxy = Proxy(
            ip="127.0.2.2",
            port=STORE_PORT,
            target_ip="127.0.0.1",
            target_port=store_port,
        )
        await self.store_proxy.start()
        self._configure()
        for number in range(ENGINES + PLAINS):
            await self._add_engine(number)
        for number in range(ENTRIES):
            self.entries.append(self._program("entry", number, f"127.0.3.{number + 1}"))
        for program in self.entries + self.agents:
            program.start()

    async def _add_engine(self, number):
        ip = f"127.0.1.{number + 1}"
        service = LLM if number < ENGINES else PLAIN
        engine = Engine(number=number, ip=ip, port=REAL_PORT, service=service)
        await engine.start()
        proxy = Proxy(ip=ip, port=APP_PORT, target_ip=ip, target_port=REAL_PORT)
        await proxy.start()
        self.engines.append(engine)
        self.proxies.append(proxy)
        if service == LLM:
            self.agents.append(self._program("agent", number, ip))

    def _program(self, role, number, ip):
        return Program(
            role=role,
            name=f"{role}-{number}",
            ip=ip,
            zone=f"z{number % 2}",
            app=f"{ip}:{APP_PORT}",
            store=f"127.0.2.2:{STORE_PORT}",
            folder=self.folder,
        )

    def _configure(self):
        self.store.put("op", "config", configuration(self.config_version, self.keys))

    async def _beat(self):
        """Write the engines' rows as they change, and restart what has ended."""
        known = {}
        while True:
            rows = {
                engine.id: engine.entry(f"{engine.ip}:{APP_PORT}")
                for engine in self.engines
            }
            for key in known.keys() - rows.keys():
                self.store.put("servers", key, None)
            for key, row in rows.items():
                if known.get(key) != row:
                    self.store.put("servers", key, row)
            known = rows
            for program in self.entries + self.agents:
                if not program.alive:
                    program.start()
            await asyncio.sleep(0.3)

    async def _disturb(self):
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        kinds = [name for name in dir(self) if name.startswith("_fault_")]
        running = []
        while loop.time() < end:
            name = self.random.choice(kinds)
            self.faults.append(name.removeprefix("_fault_"))
            running.append(asyncio.create_task(getattr(self, name)()))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        for outcome in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    async def _fault_kill(self):
        self.random.choice(self.entries + self.agents).send(signal.SIGKILL)

    async def _fault_terminate(self):
        program = self.random.choice(self.entries + self.agents)
        program.send(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(0.2)
            program.send(signal.SIGTERM)

    async def _fault_hang_up(self):
        self.random.choice(self.entries + self.agents).send(signal.SIGHUP)

    async def _fault_pause(self):
        program = self.random.choice(self.entries + self.agents)
        program.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        program.send(signal.SIGCONT)

    async def _fault_link(self):
        proxy = self.random.choice([*self.proxies, self.store_proxy])
        proxy.fault = self.random.choice(("silent", "one_way", "slow", "refuse"))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        proxy.fault = None
        if self.random.random() < 0.5:
            proxy.reset_all()

    async def _fault_reset(self):
        self.random.choice([*self.proxies, self.store_proxy]).reset_all()

    async def _fault_store(self):
        self.store.fault = self.random.choice(("busy", "many", "reset", "silent"))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.store.fault = None

    async def _fault_forget(self):
        self.store.forget_history()

    async def _fault_crash(self):
        engine = self.random.choice(self.engines)
        engine.crash()
        await asyncio.sleep(0.5)
        with contextlib.suppress(OSError):
            await engine.start()

    async def _fault_origin(self):
        self.origin.down = True
        await asyncio.sleep(1.5)
        self.origin.down = False

    async def _fault_wrong_pieces(self):
        self.origin.wrong = 0.2
        await asyncio.sleep(2.0)
        self.origin.wrong = 0.0

    async def _fault_version(self):
        self.weights_version += 1
        row = {"modelId": MODEL, "version": self.weights_version}
        self.store.put("op", f"version/{MODEL}", row)

    async def _fault_configure(self):
        self.config_version += self.random.randint(1, 3)
        self._configure()

    async def _fault_revoke(self):
        if len(self.keys) > 1:
            key = self.random.choice(sorted(self.keys))
            self.keys.discard(key)
            await self._fault_configure()
            self.revoked[key] = asyncio.get_running_loop().time()

    def _end(self):
        for program in self.entries + self.agents:
            program.end()
        for proxy in [*self.proxies, self.store_proxy]:
            proxy.fault = None
            proxy.close()
        for engine in self.engines:
            engine.server.close()
        self.origin.server.close()
        self.store.close()

    def _judge(self, callers, calm_from):
        broken = list(callers.broken)
        runs = collections.Counter()
        for engine in self.engines:
            broken += engine.broken
            for request_id, organisation, _ in engine.runs:
                runs[request_id] += 1
                if organisation != "org":
                    broken.append(f"{request_id}: run for {organisation}")
        for record in callers.records:
            broken += self._judge_one(record, runs[record.id])
        for program in self.entries + self.agents:
            broken += program.own_faults()
        late = [item for item in callers.records if item.sent_at >= calm_from]
        served = sum(item.status == 200 for item in late)
        if not late or served < LEAST_SERVED * len(late):
            broken.append(f"calm again, {served} of {len(late)} requests served")
        return broken

    def _judge_one(self, record, count):
        once = record.prefix == "/once/"
        if once and count > 1:
            yield f"{record.id}: ran {count} times"
        if once and record.status in (408, 421, 429, 503) and count:
            yield f"{record.id}: told {record.status}, and it ran"
        dead_at = self.revoked.get(record.key)
        if dead_at is not None and record.sent_at > dead_at + REVOKE_BOUND and count:
            yield f"{record.id}: ran with a key that was revoked"


def play(seed, seconds):
    """Play one seed; return (what was broken, the faults, the folder)."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed=seed, seconds=seconds, folder=folder)
    broken = asyncio.run(soak.play())
    return broken, soak.faults, folder


__all__ = ["FIRST_INNER", "play"]
