"""One run of the soak test: start, random overlapping faults, checks."""

import asyncio
import collections
import contextlib
import itertools
import random
import shutil
import signal
import tempfile
from pathlib import Path

from hawthornspoke.base import monotonic
from tests.soak.clients import PREFIXES, UNKNOWN_KEY, VerifyingClients
from tests.soak.programs import FIRST_INTERNAL_PORT, MEMORY_MB, NET, Program
from tests.soak.retries import RetryCount
from tests.soak.simulation import (
    LLM,
    MAX_ATTEMPTS,
    MAX_CORRUPT_SECONDS,
    MODEL,
    PLAIN,
    Configuration,
    Engine,
    FakeStore,
    Origin,
    Proxy,
)
from tests.soak.sizes import SMALL

PROXY_PORT, ENGINE_PORT, STORE_PORT = 9100, 9200, 9500

#: Seconds after its revocation from which requests with a key must not run, and seconds
#: after the last fault from which ``MIN_SERVED_SHARE`` of the requests must be served.
REVOCATION_SECONDS = 5.0
RECOVERY_SECONDS = 8.0

#: Minimum fraction of requests served during the recovery period.
MIN_SERVED_SHARE = 0.5

#: Seconds after which a request that an entry host hasn't sent on counts as read. One
#: that crosses the close of its connection ends sooner.
READ_SECONDS = 0.2

#: Seconds between two checks whether this process stands still.
STALL_CHECK_INTERVAL = 0.05

#: Seconds between the end of a run and that of its request if one caused the other.
CAUSE_SECONDS = 0.3

#: Fraction of the ends of all connections of a link that are resets.
RESET_SHARE = 0.5

#: Fraction of the pauses of agents that begin while staged pieces are read back, and
#: maximum seconds until they are.
READ_BACK_SHARE = 0.5
READ_BACK_WAIT = 3.0

#: Retries beyond a share of the requests; without any a silent endpoint is often the
#: only one that may answer.
RETRY_ALLOWANCES = (0, 10, 100)

#: Fraction of the revocations that revoke all keys, and seconds until one is added.
REVOKE_ALL_SHARE = 0.3
NO_KEY_SECONDS = (2.0, REVOCATION_SECONDS + 2.0)

#: Seconds by which a deadline that an endpoint receives may be later than the client's.
#: A limit is broken by more late ones than this number, and this fraction of all.
DEADLINE_SLACK_SECONDS = 0.5
MAX_LATE_DEADLINES = 20
MAX_LATE_SHARE = 0.2

#: Seconds for which an endpoint may be silent without a fault.
SILENCE_SECONDS = (0.5, 3.0)


class Soak:
    """Simulated environment, programs and faults of one seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration of fault injection.
    folder : Path
        Folder for settings and logs; kept if a guarantee was violated.
    size : Size, default=SMALL

    Attributes
    ----------
    clients_resend, prefixes, prompt_parts, answer_tokens
        See ``VerifyingClients``.
    engine_class : type
        Of the endpoints.
    timeouts : (float, float)
        Shortest and longest time limit of the routes in seconds. A request that is sent
        late in a stop lasts beyond it with the longest.
    recovery_seconds : float
        From the last fault until most requests must be served.
    late_deadlines_allowed : int or None
        Deadlines that may be too late; None for as many as in a limit of the platform,
        as processes that are paused read requests late.
    """

    clients_resend = False
    prefixes = PREFIXES
    engine_class = Engine
    prompt_parts = None
    answer_tokens = None
    timeouts = (4.0, 6.0)
    recovery_seconds = RECOVERY_SECONDS
    late_deadlines_allowed = None

    def __init__(self, *, seed, seconds, folder, size=SMALL):
        self.random = random.Random(seed)
        # Separate, so that the faults of a seed stay those that have failed before.
        self.detail_random = random.Random(f"{seed} details")
        self.end_random = random.Random(f"{seed} ends")
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.size = size
        self.retry_allowance = self.random.choice(RETRY_ALLOWANCES)
        self.store = FakeStore()
        self.origin = Origin()
        self.configuration = Configuration(
            timeouts=self.timeouts, slots=self.engine_class.slots
        )
        self.clients = None
        # When requests were sent besides those of the clients.
        self.others_sent_at = []
        self.revoked = {}
        self.weights_version = 1
        self.engines, self.proxies, self.agents, self.entries = [], [], [], []
        self.faults = []
        # Begin and end of the times in which this process, with all clients, was late.
        self.stalls = []

    async def execute(self):
        """Run the seed; return the violations."""
        await self._start()
        verifying_clients = VerifyingClients(
            entries=self.entries,
            keys=self.configuration.keys,
            revoked=self.revoked.keys(),
            seed=self.seed,
            resends=self.clients_resend,
            prefixes=self.prefixes,
            prompt_parts=self.prompt_parts,
            answer_tokens=self.answer_tokens,
        )
        self.clients = verifying_clients
        background_tasks = [
            asyncio.create_task(self._maintain_environment()),
            asyncio.create_task(self._record_stalls()),
        ]
        try:
            await asyncio.sleep(self.size.start_seconds)
            client_task = asyncio.create_task(verifying_clients.run(self.size.clients))
            await self._inject_faults()
            recovery_start = asyncio.get_running_loop().time() + self.recovery_seconds
            await asyncio.sleep(self.recovery_seconds + 4.0)
            client_task.cancel()
            await asyncio.gather(client_task, return_exceptions=True)
            await asyncio.sleep(0.5)
        finally:
            for task in background_tasks:
                task.cancel()
            self._stop_all()
            # The proxies' connections close only after both of their peers.
            await asyncio.sleep(0.3)
        return self._find_violations(verifying_clients, recovery_start)

    async def _start(self):
        await self.store.start()
        await self.origin.start(f"{NET}.2.1", 9300)
        store_port = int(self.store.address.rpartition(":")[2])
        self.store_proxy = Proxy(
            ip=f"{NET}.2.2",
            port=STORE_PORT,
            target_ip="127.0.0.1",
            target_port=store_port,
        )
        await self.store_proxy.start()
        self._configure()
        for number in range(self.size.engines + self.size.plain):
            await self._add_engine(number)
        for number in range(self.size.entries):
            self.entries.append(self._program("entry", number, f"{NET}.3.{number + 1}"))
        for program in self.entries + self.agents:
            program.start()

    async def _add_engine(self, number):
        ip = f"{NET}.1.{number + 1}"
        service = LLM if number < self.size.engines else PLAIN
        engine = self.engine_class(
            number=number, ip=ip, port=ENGINE_PORT, service=service
        )
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
            store=f"{NET}.2.2:{STORE_PORT}",
            folder=self.folder,
            retry_allowance=self.retry_allowance,
        )

    def _configure(self):
        self.store.put("op", "config", self.configuration.to_row())

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
                program.record_memory()
            await asyncio.sleep(0.3)

    async def _record_stalls(self):
        while True:
            due = monotonic() + STALL_CHECK_INTERVAL
            await asyncio.sleep(STALL_CHECK_INTERVAL)
            self.stalls.append((due, monotonic()))

    def _seconds_noticed(self, record):
        """Return the seconds of a request in which its client wasn't late."""
        stalled = sum(
            max(0.0, min(end, record.ended_at) - max(begin, record.sent_at))
            for begin, end in self.stalls
        )
        return record.seconds - stalled

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
        seconds = self.random.uniform(0.5, 4.0)
        if program in self.agents and self.detail_random.random() < READ_BACK_SHARE:
            await self._pause_in_read_back(program)
            return
        program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        program.send_signal(signal.SIGCONT)

    async def _pause_in_read_back(self, agent):
        """Pause an agent that has read half of its staged pieces; corrupt some."""
        engine = self.engines[self.agents.index(agent)]
        is_paused = asyncio.Event()

        def pause():
            agent.send_signal(signal.SIGSTOP)
            is_paused.set()

        engine.read_indices = []
        engine.on_half_read = pause
        await self._fault_version()
        try:
            async with asyncio.timeout(READ_BACK_WAIT):
                await is_paused.wait()
        except TimeoutError:
            engine.on_half_read = None
            return
        await asyncio.sleep(0.2)
        engine.corrupt_read_pieces()
        await asyncio.sleep(MAX_CORRUPT_SECONDS + 0.8)
        agent.send_signal(signal.SIGCONT)

    async def _fault_signals_in_series(self):
        programs = self.random.sample(self.entries, k=(len(self.entries) + 1) // 2)
        number = self.random.choice((signal.SIGHUP, signal.SIGTERM))
        for program in programs:
            program.send_signal(number)
            await asyncio.sleep(self.random.uniform(0.0, 1.0))

    async def _fault_link(self):
        proxy = self.random.choice([*self.proxies, self.store_proxy])
        kinds = ["silent", "one_way", "slow", "refuse"]
        if proxy is not self.store_proxy:
            kinds.append("endless")
        with self._recorded(proxy):
            proxy.fault = self.random.choice(kinds)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            proxy.fault = None
            if self.random.random() < 0.5:
                self._end_connections(proxy)

    async def _fault_reset_or_close(self):
        proxy = self.random.choice([*self.proxies, self.store_proxy])
        with self._recorded(proxy):
            self._end_connections(proxy)

    def _end_connections(self, proxy):
        """Reset or close all connections of a link."""
        if self.end_random.random() < RESET_SHARE:
            self.faults.append("reset_all")
            proxy.reset_all()
        else:
            self.faults.append("close_all")
            proxy.close_all()

    @contextlib.contextmanager
    def _recorded(self, proxy):
        """Record a fault of a link at its engine, if it has one."""
        began = monotonic()
        yield
        if proxy is not self.store_proxy:
            engine = self.engines[self.proxies.index(proxy)]
            engine.faults.append((began, monotonic()))

    async def _fault_silence(self):
        count = self.random.choice((1, 2, len(self.engines)))
        seconds = self.random.uniform(*SILENCE_SECONDS)
        for engine in self.random.sample(self.engines, k=count):
            engine.silent_until = max(engine.silent_until, monotonic() + seconds)
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0.0, seconds))
            await self._fault_configure()

    async def _fault_endless(self):
        engine = self.random.choice(self.engines)
        began = monotonic()
        engine.endless = self.random.choice(("refusal", "answer"))
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        engine.endless = None
        engine.faults.append((began, monotonic()))

    async def _fault_store(self):
        self.store.fault = self.random.choice(("busy", "many", "reset", "silent"))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.store.fault = None

    async def _fault_forget(self):
        self.store.forget_history()

    async def _fault_crash(self):
        engine = self.random.choice(self.engines)
        engine.crash()
        began = monotonic()
        await asyncio.sleep(0.5)
        with contextlib.suppress(OSError):
            await engine.start()
        engine.faults.append((began, monotonic()))

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
        self.configuration.change(self.random)
        self._configure()

    async def _fault_storm(self):
        for _ in range(10):
            await self._fault_configure()
            await asyncio.sleep(0.1)

    async def _fault_revoke(self):
        keys = self.configuration.keys
        if len(keys) > 1:
            revoked = {self.random.choice(sorted(keys))}
            revokes_all = self.detail_random.random() < REVOKE_ALL_SHARE
            if revokes_all:
                revoked = set(keys)
            keys -= revoked
            await self._fault_configure()
            self.revoked |= dict.fromkeys(revoked, asyncio.get_running_loop().time())
            if revokes_all:
                await asyncio.sleep(self.detail_random.uniform(*NO_KEY_SECONDS))
                keys.add(f"k{self.configuration.version}-again")
                await self._fault_configure()

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
        runs_by_request = collections.defaultdict(list)
        for engine in self.engines:
            violations += engine.violations
            for run in engine.runs:
                runs_by_request[run.request_id].append((engine, run))
                if run.tenant != "org":
                    violations.append(f"{run.request_id}: run for {run.tenant}")
        for record in verifying_clients.records:
            runs = runs_by_request[record.id]
            violations += self._check_runs(record, runs)
            violations += self._check_ending(record, runs)
        for program in self.entries + self.agents:
            violations += program.internal_errors()
            if program.peak_kilobytes > MEMORY_MB[program.role] * 1000:
                violations.append(
                    f"{program.name}: {program.peak_kilobytes} KB of memory"
                )
        violations += self._check_retries(verifying_clients.records)
        violations += self._check_deadlines(verifying_clients.records)
        return violations + self._check_recovery(
            [
                item
                for item in verifying_clients.records
                if item.sent_at >= recovery_start
                and item.key in self.configuration.keys
            ]
        )

    def _count_retries(self, service, records):
        return RetryCount(
            arrivals=itertools.chain.from_iterable(
                engine.arrivals for engine in self.engines if engine.service == service
            ),
            requested_at=[
                item.sent_at
                for item in records
                if service in self.configuration.services_by_prefix[item.prefix]
            ]
            + self.others_sent_at,
        )

    def _check_retries(self, records):
        """Check that the retries of all entry hosts keep to their common limit."""
        for service in (LLM, PLAIN):
            count = self._count_retries(service, records)
            worst = count.worst_window(self.retry_allowance)
            if worst is not None and worst[1] > worst[2]:
                end, retries, limit = worst
                yield (
                    f"{service}: {retries} retries in the window that ends at "
                    f"{end:.3f}, {limit:.0f} allowed"
                )

    def _check_deadlines(self, records):
        """Check that endpoints aren't given more time than clients wait."""
        deadline_by_id = {item.id: item.deadline for item in records}
        late = []
        count = 0
        for engine in self.engines:
            for _, request_id, deadline in engine.deadlines:
                if request_id not in deadline_by_id:
                    continue
                count += 1
                latest = deadline_by_id[request_id] + DEADLINE_SLACK_SECONDS
                if deadline is None or deadline > latest:
                    late.append(request_id)
        allowed = self.late_deadlines_allowed
        if allowed is None:
            allowed = max(MAX_LATE_DEADLINES, MAX_LATE_SHARE * count)
        if len(late) > allowed:
            yield f"{len(late)} of {count} deadlines are too late: {late[:10]}"

    def _check_recovery(self, records):
        served = sum(item.status == 200 for item in records)
        if records and served >= MIN_SERVED_SHARE * len(records):
            return []
        return [f"only {served} of {len(records)} requests served after faults"]

    def _check_runs(self, record, runs):
        once = record.prefix == "/once/"
        if once and len(runs) > 1:
            yield f"{record.id}: ran {len(runs)} times"
        if once and record.status in (408, 421, 429, 503) and runs:
            yield f"{record.id}: rejected with {record.status}, but it ran"
        if record.key == UNKNOWN_KEY and runs:
            yield f"{record.id}: ran with a key that never was valid"
        revoked_at = self.revoked.get(record.key)
        if (
            revoked_at is not None
            and record.sent_at > revoked_at + REVOCATION_SECONDS
            and runs
        ):
            yield f"{record.id}: ran with a revoked key"
        # Runs that their endpoint or its link ended don't count.
        sound_count = sum(
            engine.is_sound(run.started_at, run.ended_at) for engine, run in runs
        )
        if sound_count > MAX_ATTEMPTS[record.prefix]:
            yield f"{record.id}: ran at {sound_count} sound endpoints"

    def _check_ending(self, record, runs):
        """Check that a request without an answer couldn't be answered in time."""
        is_failure = record.status in (502, 504)
        if (
            not (record.was_closed or is_failure)
            or record.seconds >= self.configuration.shortest_timeout
            or record.entry.was_killed(record.ended_at)
            or self._may_end_with_host(record, runs)
        ):
            return
        description = (
            f"{record.id}: {record.prefix} on {record.entry.name} at "
            f"{record.ended_at:.3f}, after {record.seconds:.3f} s"
        )
        if record.was_closed and not record.has_head:
            if runs or self._seconds_noticed(record) > READ_SECONDS:
                yield f"{description}: closed with neither answer nor refusal"
            return
        sound = [
            engine.id
            for engine, run in runs
            if run.ended_at >= record.ended_at - CAUSE_SECONDS
            and engine.is_sound(run.started_at, record.ended_at)
        ]
        if sound:
            ending = f"failed with {record.status}" if is_failure else "cut"
            yield f"{description}: {ending} although {' '.join(sound)} could answer"

    def _may_end_with_host(self, record, runs):
        """Return whether a request may have been cut, as its host had to end."""
        if record.prefix == "/once/":
            return False
        return record.entry.may_cut(
            ended_at=record.ended_at,
            deadline=record.sent_at + self.configuration.timeouts[1],
            passed_on_at=[record.sent_at, *(run.started_at for _, run in runs)],
        )


def run_soak(seed, seconds, size=SMALL, *, soak_class=Soak):
    """Run one seed; return the violations, the injected faults and the log folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = soak_class(seed=seed, seconds=seconds, folder=folder, size=size)
    violations = asyncio.run(soak.execute())
    return violations, soak.faults, folder


def assert_no_violations(result):
    """Check the result of a run, and remove its logs if it has no violations."""
    violations, faults, folder = result
    assert violations == [], f"faults: {faults}, logs: {folder}"
    shutil.rmtree(folder)


__all__ = ["FIRST_INTERNAL_PORT", "assert_no_violations", "run_soak"]
