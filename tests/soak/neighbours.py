"""Soak test of sound requests that share something with crashing ones."""

import asyncio
import itertools

from hawthornspoke.base import monotonic
from tests.soak.clients import prompt_line, send_unchecked
from tests.soak.parts import (
    CRASHES_TO_RECOGNIZE,
    CRASHING_PART,
    PART_SIZE,
    PROPAGATION_SECONDS,
    PartSoak,
)
from tests.soak.simulation import LLM
from tests.soak.soak import run_soak

#: First parts of crashing prompts, and the API keys of these and of other requests.
FIRST_PARTS = ("f0", "f1", "f2")
SHARED_KEY, OTHER_KEY = "k1", "k2"

#: What sound requests may have in common with crashing ones, nothing with ``OTHER``.
FIRST_PART, KEY, OTHER = "first part", "key", "other"

#: Sound requests of each of these groups in a second.
SOUND_RATE = 8.0

#: Seconds within which a request must begin to run, without being sent again.
BEGIN_SECONDS = 1.0

#: Seconds after a disruption from which requests count.
SETTLE_SECONDS = 3.0

#: Minimum fraction that begin of those requests that share something, if the one that
#: shares nothing, sent to the same host at the same time, does.
MIN_BEGUN_SHARE = 0.95

#: Seconds between two ends of single engines and two starts of hosts.
END_INTERVAL = (5.0, 8.0)
START_INTERVAL = (6.0, 12.0)


class NeighbourSoak(PartSoak):
    """Sound requests with the API key or the first part of crashing ones.

    Single engines end, and hosts start again, one by one or all with their agents.

    Parameters
    ----------
    seed : int
        All crashing requests of odd seeds have the same first part.
    seconds : float
        Duration of fault injection.
    folder : Path
        Folder for settings and logs; kept if a guarantee was violated.
    size : Size, default=PART_SIZE

    Attributes
    ----------
    sent_at_by_number_by_group : dict of str to dict of int to float
        When sound requests were sent; those with the same number at the same time, to
        the same host.
    disruptions : list of (float, float)
        Begin and end of other ends of engines and of starts of hosts.
    """

    def __init__(self, *, seed, seconds, folder, size=PART_SIZE):
        super().__init__(seed=seed, seconds=seconds, folder=folder, size=size)
        self.first_parts = FIRST_PARTS[: 1 if seed % 2 else None]
        self.sent_at_by_number_by_group = {FIRST_PART: {}, KEY: {}, OTHER: {}}
        self.disruptions = []

    def prompt_parts(self, number):
        """Return the parts of a sound prompt that shares none with crashing ones."""
        return [f"b{number % 5}", f"e{number:06x}"]

    async def _inject_faults(self):
        sending = asyncio.create_task(self._send_sound())
        await super()._inject_faults()
        sending.cancel()

    async def _send_part(self, number):
        first = self.detail_random.choice(self.first_parts)
        parts = [first, CRASHING_PART, f"a{number % 7}", f"d{number:06x}"]
        entry = self.random.choice(self.entries)
        await self._send(entry, f"part{number}", SHARED_KEY, parts)

    async def _send_sound(self):
        for number in itertools.count():
            entry = self.detail_random.choice(self.entries)
            for group, sent_at in self.sent_at_by_number_by_group.items():
                sent_at[number] = monotonic()
                sending = self._send(entry, *self._sound_request(group, number))
                task = asyncio.create_task(sending)
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.detail_random.expovariate(SOUND_RATE))

    def _sound_request(self, group, number):
        """Return the id, the key and the parts of a request of a group."""
        first = f"c{number % 3}"
        if group == FIRST_PART:
            first = self.first_parts[number % len(self.first_parts)]
        key = SHARED_KEY if group == KEY else OTHER_KEY
        parts = [first, f"a{number % 7}", f"d{number:06x}"]
        return _request_id(group, number), key, parts

    async def _send(self, entry, request_id, key, parts):
        lines = (
            # Whole requests differ, so that only their parts and keys are alike.
            f"POST /stream/{request_id} HTTP/1.1",
            "Host: svc.example",
            f"Attempt-Id: {request_id}",
            "Deadline-Ms: 4000",
            f"X-Api-Key: {key}",
            "Token-Count: 120,12",
            prompt_line(parts),
            "Content-Length: 0",
            "Connection: close",
        )
        await send_unchecked(entry, lines, timeout=5.0)

    async def _end_engines(self, end_at):
        engines = [engine for engine in self.engines if engine.service == LLM]
        while monotonic() < end_at:
            await asyncio.sleep(self.detail_random.uniform(*END_INTERVAL))
            self.faults.append("end")
            began = monotonic()
            await self.detail_random.choice(engines).end()
            self.disruptions.append((began, monotonic()))

    async def _restart(self, end_at):
        while monotonic() < end_at:
            await asyncio.sleep(self.detail_random.uniform(*START_INTERVAL))
            programs = [self.detail_random.choice(self.entries)]
            if self.detail_random.random() < 0.5:
                programs = [*self.entries, *self.agents]
            began = monotonic()
            await self._restart_once(programs)
            self.disruptions.append((began, monotonic()))

    def _find_violations(self, verifying_clients, recovery_start):
        violations = super()._find_violations(verifying_clients, recovery_start)
        engines = [engine for engine in self.engines if engine.service == LLM]
        crash_times = sorted(at for item in engines for at in item.part_crash_times)
        if not crash_times:
            return [*violations, "no engine crashed"]
        recognized_at = crash_times[:CRASHES_TO_RECOGNIZE][-1] + PROPAGATION_SECONDS
        started_at_by_id = {
            run.request_id: run.started_at
            for engine in reversed(self.engines)
            for run in reversed(engine.runs)
        }
        for since, name in ((crash_times[0], "crash"), (recognized_at, "known")):
            begun_by_group = {
                group: self._begun_since(since, group, started_at_by_id)
                for group in self.sent_at_by_number_by_group
            }
            others = begun_by_group.pop(OTHER)
            for group, begun in begun_by_group.items():
                # As many may begin that their counterparts don't, by chance.
                held = len(others - begun) - len(begun - others)
                self.faults.append(f"{group},{name}:{len(begun)}/{len(others)}")
                if held > (1.0 - MIN_BEGUN_SHARE) * len(others):
                    violations.append(
                        f"{held} of {len(others)} sound requests that share the "
                        f"{group} of crashing ones were held back ({name})"
                    )
        return violations

    def _begun_since(self, since, group, started_at_by_id):
        """Return the numbers of requests outside of disruptions that began in time."""
        return {
            number
            for number, sent_at in self.sent_at_by_number_by_group[group].items()
            if sent_at >= since
            and not self._is_disrupted(sent_at)
            and started_at_by_id.get(_request_id(group, number), float("inf"))
            <= sent_at + BEGIN_SECONDS
        }

    def _is_disrupted(self, sent_at):
        return any(
            sent_at <= ended + SETTLE_SECONDS and sent_at + BEGIN_SECONDS >= began
            for began, ended in self.disruptions
        )


def _request_id(group, number):
    return f"{group.replace(' ', '-')}-{number}"


def run_neighbours(seed, seconds):
    """Run one seed; return the violations, the injected faults and the log folder."""
    return run_soak(seed, seconds, PART_SIZE, soak_class=NeighbourSoak)
