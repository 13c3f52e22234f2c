"""One run of the soak test: start, random overlapping faults, checks."""

import asyncio
import collections
import contextlib
import random
import signal
import tempfile
from pathlib import Path

from tests.soak.clients import VerifyingClients
from tests.soak.programs import FIRST_INTERNAL_PORT, Program
from tests.soak.simulation import (
    LLM,
    MODEL,
    PLAIN,
    Engine,
    FakeStore,
    Origin,
    Proxy,
    configuration,
)

ENTRY_COUNT, ENGINE_COUNT, PLAIN_COUNT, CLIENT_COUNT = 3, 3, 2, 12
PROXY_PORT, ENGINE_PORT, STORE_PORT = 9100, 9200, 9500

#: Seconds after its revocation from which requests with a key must not run, and seconds
#: after the last fault from which ``MIN_SERVED_SHARE`` of the requests must be served.
REVOCATION_SECONDS = 5.0
RECOVERY_SECONDS = 8.0

#: Minimum fraction of requests served during the recovery period.
MIN_SERVED_SHARE = 0.5


class Soak:
    """Simulated environment, programs and faults of one seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration of fault injection.
    folder : Path
        Folder for settings and logs; kept if a guarantee was violated.
    """

    def __init__(self, *, seed, seconds, folder):
        self.random = random.Random(seed)
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.store = FakeStore()
        self.origin = Origin()
        self.keys = {"k1", "k2", "k3"}
        self.revoked = {}
        self.config_version = self.weights_version = 1
        self.engines, self.proxies, self.agents, self.entries = [], [], [], []
        self.faults = []

    async def execute(self):
        """Run the seed; return the violations."""
        await self._start()
        verifying_clients = VerifyingClients(
            entries=self.entries, keys=self.keys, seed=self.seed
        )
        maintenance_task = asyncio.create_task(self._maintain_environment())
        try:
            await asyncio.sleep(3.0)
            client_task = asyncio.create_task(verifying_clients.run(CLIENT_COUNT))
            await self._inject_faults()
            recovery_start = asyncio.get_running_loop().time() + RECOVERY_SECONDS
            await asyncio.sleep(RECOVERY_SECONDS + 4.0)
            client_task.cancel()
            await asyncio.gather(client_task, return_exceptions=True)
            await asyncio.sleep(0.5)
        finally:
            maintenance_task.cancel()
            self._stop_all()
            # The proxies' connections close only after both of their peers.
            await asyncio.sleep(0.3)
        return self._find_violations(verifying_clients, recovery_start)

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
        for number in range(ENGINE_COUNT + PLAIN_COUNT):
            await self._add_engine(number)
        for number in range(ENTRY_COUNT):
            self.entries.append(self._program("entry", number, f"127.0.3.{number + 1}"))
        for program in self.entries + self.agents:
            program.start()

    async def _add_engine(self, number):
        ip = f"127.0.1.{number + 1}"
        service = LLM if number < ENGINE_COUNT else PLAIN
        engine = Engine(number=number, ip=ip, port=ENGINE_PORT, service=service)
        await engine.start()
        proxy = Proxy(ip=ip, port=PROXY_PORT, target_ip=ip, target_port=ENGINE_PORT)
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
            app=f"{ip}:{PROXY_PORT}",
            store=f"127.0.2.2:{STORE_PORT}",
            folder=self.folder,
        )

    def _configure(self):
        self.store.put("op", "config", configuration(self.config_version, self.keys))

    async def _maintain_environment(self):
        """Update the engines' rows in the store and restart programs that exited."""
        previous_rows = {}
        while True:
            rows = {
                engine.id: engine.store_row(f"{engine.ip}:{PROXY_PORT}")
                for engine in self.engines
            }
            for key in previous_rows.keys() - rows.keys():
                self.store.put("servers", key, None)
            for key, row in rows.items():
                if previous_rows.get(key) != row:
                    self.store.put("servers", key, row)
            previous_rows = rows
            for program in self.entries + self.agents:
                if not program.is_running:
                    program.start()
            await asyncio.sleep(0.3)

    async def _inject_faults(self):
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        fault_methods = [name for name in dir(self) if name.startswith("_fault_")]
        running = []
        while loop.time() < end:
            name = self.random.choice(fault_methods)
            self.faults.append(name.removeprefix("_fault_"))
            running.append(asyncio.create_task(getattr(self, name)()))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        for outcome in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    async def _fault_kill(self):
        self.random.choice(self.entries + self.agents).send_signal(signal.SIGKILL)

    async def _fault_terminate(self):
        program = self.random.choice(self.entries + self.agents)
        program.send_signal(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(0.2)
            program.send_signal(signal.SIGTERM)

    async def _fault_hang_up(self):
        self.random.choice(self.entries + self.agents).send_signal(signal.SIGHUP)

    async def _fault_pause(self):
        program = self.random.choice(self.entries + self.agents)
        program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        program.send_signal(signal.SIGCONT)

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
        self.origin.corrupt_share = 0.2
        await asyncio.sleep(2.0)
        self.origin.corrupt_share = 0.0

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

    def _stop_all(self):
        for program in self.entries + self.agents:
            program.stop()
        for proxy in [*self.proxies, self.store_proxy]:
            proxy.fault = None
            proxy.close()
        for engine in self.engines:
            engine.server.close()
        self.origin.server.close()
        self.store.close()

    def _find_violations(self, verifying_clients, recovery_start):
        violations = list(verifying_clients.violations)
        runs = collections.Counter()
        for engine in self.engines:
            violations += engine.violations
            for request_id, organisation, _ in engine.runs:
                runs[request_id] += 1
                if organisation != "org":
                    violations.append(f"{request_id}: run for {organisation}")
        for record in verifying_clients.records:
            violations += self._check_record(record, runs[record.id])
        for program in self.entries + self.agents:
            violations += program.internal_errors()
        recovery_records = [
            item for item in verifying_clients.records if item.sent_at >= recovery_start
        ]
        served = sum(item.status == 200 for item in recovery_records)
        if not recovery_records or served < MIN_SERVED_SHARE * len(recovery_records):
            violations.append(
                f"only {served} of {len(recovery_records)} requests served after faults"
            )
        return violations

    def _check_record(self, record, count):
        once = record.prefix == "/once/"
        if once and count > 1:
            yield f"{record.id}: ran {count} times"
        if once and record.status in (408, 421, 429, 503) and count:
            yield f"{record.id}: rejected with {record.status}, but it ran"
        revoked_at = self.revoked.get(record.key)
        if (
            revoked_at is not None
            and record.sent_at > revoked_at + REVOCATION_SECONDS
            and count
        ):
            yield f"{record.id}: ran with a revoked key"


def run_soak(seed, seconds):
    """Run one seed; return the violations, the injected faults and the log folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed=seed, seconds=seconds, folder=folder)
    violations = asyncio.run(soak.execute())
    return violations, soak.faults, folder


__all__ = ["FIRST_INTERNAL_PORT", "run_soak"]
