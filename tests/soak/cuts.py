"""Soak test of answers without framing whose connections something else ends."""

import asyncio
import signal

from hawthornspoke.base import monotonic
from tests.soak.clients import CUT_BUT_WHOLE, RESPONSE_TIMEOUT_SECONDS
from tests.soak.cut_engine import LONG_SECONDS, CutEngine, port_of
from tests.soak.programs import GRACE_SECONDS, NOTICE_SECONDS
from tests.soak.proofs import ProofCount
from tests.soak.simulation import LLM, PLAIN
from tests.soak.sizes import Size
from tests.soak.soak import run_soak
from tests.soak.unframed import (
    RETURN_DELAY,
    UNFRAMED_SHARES,
    UnframedSoak,
)

#: Seconds that the first half of such an answer needs to pass a link.
PASS_SECONDS = 0.005

#: Seconds from the close of an endpoint's connections to its end, and before that if it
#: is listed as leaving.
END_DELAY = (0.0, 0.3)
LEAVE_SECONDS = (0.3, 1.2)

#: Kinds of cuts by name, in the order of the seeds that play them.
CUTS = {}


class Cut:
    """A way in which something ends connections.

    Parameters
    ----------
    perform : callable
        Coroutine function that is called with the CutSoak, and returns whether it found
        something to end.
    interval : (float, float)
        Seconds between two of them.
    entries : int
        Entry hosts.
    long_seconds : (float, float)
        For which long answers last.
    is_told : bool
        Whether half an answer that looks whole is only counted, as nothing tells it
        from a whole one.
    """

    __slots__ = ("perform", "interval", "entries", "long_seconds", "is_told")

    def __init__(self, *, perform, interval, entries, long_seconds, is_told):
        self.perform, self.interval, self.entries = perform, interval, entries
        self.long_seconds, self.is_told = long_seconds, is_told


def cut(*, interval, entries=2, long_seconds=LONG_SECONDS, is_told=False):
    """Return a decorator that registers a coroutine function as a Cut."""

    def register(perform):
        CUTS[perform.__name__] = Cut(
            perform=perform,
            interval=interval,
            entries=entries,
            long_seconds=long_seconds,
            is_told=is_told,
        )
        return perform

    return register


@cut(interval=(0.5, 1.0))
async def link_closed(soak):
    """Close all connections of an endpoint that lives on."""
    engine = soak.choose_engine()
    engine.send_halves()
    await asyncio.sleep(PASS_SECONDS)
    soak.end_connections([engine], lambda connection: connection.close())
    return True


@cut(interval=(0.5, 1.0))
async def link_reset(soak):
    """Reset all connections of an endpoint that lives on."""
    engine = soak.choose_engine()
    soak.end_connections([engine], lambda connection: connection.reset())
    return True


@cut(interval=(2.2, 2.8), entries=1)
async def host_link_closed(soak):
    """Close half of all connections of the only host."""
    soak.end_connections(soak.engines, lambda connection: connection.close(), share=0.5)
    return True


@cut(interval=(0.4, 1.0))
async def closed_then_ended(soak):
    """Let an endpoint close its connections some moments before it ends."""
    engine = soak.choose_engine()
    if engine is None:
        return False
    await engine.close_and_end(
        soak.random.uniform(*END_DELAY), soak.random.uniform(*RETURN_DELAY)
    )
    return True


@cut(interval=(0.4, 1.0))
async def crashed(soak):
    """Let an endpoint end at once."""
    engine = soak.choose_engine()
    if engine is None:
        return False
    await engine.end(soak.random.uniform(*RETURN_DELAY))
    return True


@cut(interval=(0.4, 1.0))
async def left(soak):
    """Let an endpoint that is listed as leaving close its connections and end."""
    engine = soak.choose_engine()
    if engine is None:
        return False
    engine.is_listening, engine.leaving = False, True
    await asyncio.sleep(soak.random.uniform(*LEAVE_SECONDS))
    await engine.close_and_end(
        soak.random.uniform(*END_DELAY), soak.random.uniform(*RETURN_DELAY)
    )
    return True


@cut(interval=(1.0, 2.5), long_seconds=(1.0, 5.5))
async def host_ended(soak):
    """End a host while long answers are under way."""
    entry = soak.random.choice(soak.entries)
    number = soak.random.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGKILL))
    entry.send_signal(number)
    if number == signal.SIGTERM:
        await asyncio.sleep(GRACE_SECONDS)
    return True


@cut(interval=(0.2, 0.5), is_told=True)
async def connection_closed(soak):
    """Close the connection of one answer, of an endpoint that lives on."""
    return soak.end_one_answer(lambda connection: connection.close())


@cut(interval=(0.2, 0.5))
async def connection_reset(soak):
    """Reset the connection of one answer, of an endpoint that lives on."""
    return soak.end_one_answer(lambda connection: connection.reset())


class CutSoak(UnframedSoak):
    """Answers without framing beside one kind of cuts.

    Parameters
    ----------
    seed : int
        Chooses the kind, the fraction of answers without framing, and whether endpoints
        echo the ids of probes.
    seconds : float
        Duration of fault injection.
    folder : Path
        Folder for settings and logs; kept if a guarantee was violated.
    size : Size
    """

    engine_class = CutEngine
    recovery_seconds = 2.0
    late_deadlines_allowed = None

    def __init__(self, *, seed, seconds, folder, size):
        self.cut = CUTS[kind_of(seed)]
        if self.cut.long_seconds[1] > LONG_SECONDS[1]:
            self.timeouts = (6.0, 6.0)
        super().__init__(seed=seed, seconds=seconds, folder=folder, size=size)
        turn = seed // len(CUTS)
        self.unframed_share = UNFRAMED_SHARES[turn % len(UNFRAMED_SHARES)]
        self.echoes_probes = turn // 2 % 2 == 0
        self.configuration.health_services = {LLM} if seed % 2 else {LLM, PLAIN}
        self.cut_count = 0
        self.calm_at = None

    def choose_engine(self):
        """Return an engine beside which another one of its service listens, or None."""
        listening = [engine for engine in self.engines if engine.is_listening]
        services = [engine.service for engine in listening]
        candidates = [item for item in listening if services.count(item.service) > 1]
        return self.random.choice(candidates) if candidates else None

    def end_connections(self, engines, end, *, share=1.0):
        """End a share of all connections of some engines at the same time."""
        began = monotonic()
        connections = [
            connection
            for engine in engines
            for connection in self.proxies[engine.number].connections
            if share == 1.0 or connection.upstream_port not in engine.agent_ports
        ]
        count = round(share * len(connections))
        for connection in self.random.sample(connections, k=count):
            end(connection)
        for engine in engines:
            engine.faults.append((began, monotonic()))

    def end_one_answer(self, end):
        """End the connection of an answer that has begun; return if there is one."""
        answers = [
            (engine, port_of(connection))
            for engine in self.engines
            for connection in engine.unframed_connections
            if connection.transport is not None
        ]
        if not answers:
            return False
        engine, port = self.random.choice(answers)
        for connection in self.proxies[engine.number].connections:
            if connection.upstream_port == port:
                end(connection)
                engine.faults.append((monotonic(), monotonic()))
                return True
        return False

    async def _inject_faults(self):
        self.faults += [
            kind_of(self.seed),
            f"unframed:{self.unframed_share}",
            f"echo:{self.echoes_probes}",
        ]
        for engine in self.engines:
            engine.unframed_share = self.unframed_share
            engine.echoes_probes = self.echoes_probes
            engine.long_seconds = self.cut.long_seconds
        end_at = monotonic() + self.seconds
        cutting = []
        while monotonic() < end_at:
            await asyncio.sleep(self.random.uniform(*self.cut.interval))
            cutting.append(asyncio.create_task(self.cut.perform(self)))
        self.cut_count = sum(await asyncio.gather(*cutting))
        self.calm_at = monotonic()

    def _find_violations(self, verifying_clients, recovery_start):
        violations = super()._find_violations(verifying_clients, recovery_start)
        self.faults += ProofCount(self.entries).describe()
        wrong = [line for line in violations if CUT_BUT_WHOLE in line]
        self.faults.append(f"cuts:{self.cut_count},wrong:{len(wrong)}")
        if self.cut.is_told:
            violations = [line for line in violations if line not in wrong]
        return violations

    def _check_ending(self, record, runs):
        # Of answers without framing that didn't reach their clients, the share is
        # checked. Nothing tells a host that stops how long an answer will last.
        is_counted = any(record.id in engine.unframed_ids for engine, _ in runs)
        if not is_counted and not ended_with_host(record):
            yield from super()._check_ending(record, runs)

    def _check_recovery(self, records):
        return super()._check_recovery(
            [record for record in records if not was_cancelled(record)]
        )

    def _count_whole(self, records):
        records = [
            record
            for record in records
            if not ended_with_host(record) and not was_cancelled(record)
        ]
        in_time = [record for record in records if record.sent_at < self.calm_at]
        whole, count = super()._count_whole(in_time)
        self.faults.append(f"beside_cuts:{whole}of{count}")
        return super()._count_whole(records)


def was_cancelled(record):
    """Return whether a client was ended before its request."""
    return (
        record.status is None
        and not record.was_closed
        and (record.ended_at is None or record.seconds < RESPONSE_TIMEOUT_SECONDS)
    )


def ended_with_host(record):
    """Return whether a request may have ended as its host did."""
    entry, at = record.entry, record.ended_at
    latest = GRACE_SECONDS + NOTICE_SECONDS
    return at is not None and (
        entry.was_killed(at)
        or any(stopped <= at <= stopped + latest for stopped in entry.terminations)
    )


def kind_of(seed):
    """Return the name of the Cut that a seed plays."""
    return list(CUTS)[seed % len(CUTS)]


def run_cuts(seed, seconds):
    """Run one seed; return the violations, faults and shares, and the log folder."""
    size = Size(
        entries=CUTS[kind_of(seed)].entries,
        engines=3,
        plain=3,
        clients=24,
        start_seconds=3.0,
    )
    return run_soak(seed, seconds, size, soak_class=CutSoak)
