"""Soak test of answers that end with their connection while endpoints end."""

import asyncio

from hawthornspoke.base import monotonic
from tests.soak.simulation import (
    LLM,
    PLAIN,
    Configuration,
    Engine,
    expected_events,
    expected_response,
)
from tests.soak.sizes import Size
from tests.soak.soak import Soak, run_soak

UNFRAMED_SIZE = Size(entries=2, engines=3, plain=3, clients=12, start_seconds=3.0)

#: The same with so many clients that the slots are often all in use.
FULL_SIZE = Size(entries=2, engines=3, plain=3, clients=40, start_seconds=3.0)

#: Fractions of the answers that have neither a length nor chunks.
UNFRAMED_SHARES = (1.0, 0.5, 0.1)

#: Seconds between two ends of endpoints, and from an end to the next start.
END_INTERVAL = (0.5, 1.5)
RETURN_DELAY = (0.0, 1.0)

#: Steps of a run between the two halves of a plain answer.
HALF_STEPS = 5.0

#: Minimum fraction of the sound answers that end as whole.
MIN_WHOLE_SHARE = 0.98

#: Seconds after the end of a sound answer in which its endpoint and link stay sound.
SOUND_SECONDS = 1.5

HEALTH_PATH = "/health"


class UnframedEnd:
    """The end of an answer that was sent to its end without framing."""

    __slots__ = ("request_id", "began_at", "ended_at")

    def __init__(self, *, request_id, began_at, ended_at):
        self.request_id = request_id
        self.began_at, self.ended_at = began_at, ended_at


def encode_unframed_head(fields):
    """Return the head of an answer that ends with its connection."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()


class UnframedEngine(Engine):
    """Engine that leaves out the framing of some answers; each start has a new id.

    Attributes
    ----------
    is_listening : bool
    echoes_probes : bool
        Whether the refusal of a probe bears the probe's id.
    unframed_share : float
    unframed_connections : set of ServerConnection
        On which an answer without framing has begun.
    unframed_ends : list of UnframedEnd
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.is_listening = True
        self.echoes_probes = False
        self.unframed_share = 0.0
        self.unframed_connections = set()
        self.unframed_ends = []

    def crash(self):
        """Lose the loaded weights, all connections and the id."""
        super().crash()
        self.id = f"i-{self.number}-{self.generation}"

    async def end(self, seconds):
        """End the process and start it again after some seconds."""
        began = monotonic()
        self.is_listening = False
        self.crash()
        await asyncio.sleep(seconds)
        await self.start()
        self.is_listening = True
        self.faults.append((began, monotonic()))

    async def handle(self, request, reply):
        """Answer a request; a health check or one for another endpoint never runs."""
        if request.method == "GET" and not request.target.startswith("/v1/"):
            self._answer_probe(request, reply)
            return
        await super().handle(request, reply)

    def _answer_probe(self, request, reply):
        identity = [("Instance-Id", self.id), ("Keep-Alive", "timeout=5")]
        if request.get("Expect-Instance", self.id) != self.id:
            probe_id = request.get("Attempt-Id")
            if self.echoes_probes and probe_id is not None:
                identity.append(("Attempt-Id", probe_id))
            reply.send(421, identity)
        elif request.target != HEALTH_PATH:
            reply.send(404)
        elif self.running >= self.slots or self.busy:
            reply.send(503, [("Not-Executed", "1"), ("Keep-Alive", "timeout=5")])
        else:
            reply.send(200, identity)

    async def _answer(self, request, reply, head):
        if self.random.random() >= self.unframed_share:
            await super()._answer(request, reply, head)
            return
        try:
            await self._answer_unframed(request, reply, head)
        finally:
            self.unframed_connections.discard(reply._connection)

    async def _answer_unframed(self, request, reply, head):
        began_at = monotonic()
        request_id = request.get("Attempt-Id")
        generation = self.generation
        is_stream = request.target.startswith("/stream/")
        await self._step(request, 0.5)
        connection = reply._connection
        connection.write(encode_unframed_head(head))
        self.unframed_connections.add(connection)
        for part in self._parts(request_id, request, is_stream):
            await self._step(request, 0.5 if is_stream else HALF_STEPS)
            if generation != self.generation:
                return
            connection.write(part)
        self._finish_unframed(request_id, reply, began_at)

    def _finish_unframed(self, request_id, reply, began_at):
        """End an answer with its connection."""
        self.unframed_ends.append(
            UnframedEnd(request_id=request_id, began_at=began_at, ended_at=monotonic())
        )
        reply.started = reply.finished = True
        reply.keep_alive = False
        if reply._connection.transport is not None:
            reply._connection.transport.close()

    def _parts(self, request_id, request, is_stream):
        """Return the halves of all events, or of a plain answer."""
        if not is_stream:
            body = expected_response(request_id)
            return body[: len(body) // 2], body[len(body) // 2 :]
        after = int(request.get("Last-Event-Id") or 0)
        texts = expected_events(request_id)
        parts = []
        for number in range(after + 1, len(texts) + 1):
            event = f"id: {number}\ndata: {texts[number - 1]}\n\n".encode()
            parts += [event[: len(event) // 2], event[len(event) // 2 :]]
        return parts


class HealthConfiguration(Configuration):
    """Configuration of services with a health path.

    Parameters
    ----------
    services : set of str
        That have one.
    **options
        Of ``Configuration``.
    """

    def __init__(self, *, services, **options):
        super().__init__(**options)
        self.health_services = services

    def to_row(self):
        """Return the row in the store's table of operators."""
        row = super().to_row()
        for service in row["services"]:
            if service["name"] in self.health_services:
                service["healthPath"] = HEALTH_PATH
        return row


class UnframedSoak(Soak):
    """Answers without framing at endpoints that end and soon listen again.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration of fault injection.
    folder : Path
        Folder for settings and logs; kept if a guarantee was violated.
    size : Size, default=UNFRAMED_SIZE
    """

    engine_class = UnframedEngine
    late_deadlines_allowed = 0

    def __init__(self, *, seed, seconds, folder, size=UNFRAMED_SIZE):
        super().__init__(seed=seed, seconds=seconds, folder=folder, size=size)
        self.unframed_share = UNFRAMED_SHARES[seed % len(UNFRAMED_SHARES)]
        # Without a health path a plain endpoint can only refuse.
        self.configuration = HealthConfiguration(
            timeouts=self.timeouts,
            services={LLM} if seed % 2 else {LLM, PLAIN},
        )

    async def _inject_faults(self):
        self.faults.append(f"unframed:{self.unframed_share}")
        for engine in self.engines:
            engine.unframed_share = self.unframed_share
        end_at = monotonic() + self.seconds
        ending = []
        while monotonic() < end_at:
            await asyncio.sleep(self.random.uniform(*END_INTERVAL))
            listening = [engine for engine in self.engines if engine.is_listening]
            if listening:
                engine = self.random.choice(listening)
                seconds = self.random.uniform(*RETURN_DELAY)
                ending.append(asyncio.create_task(engine.end(seconds)))
        await asyncio.gather(*ending)
        self.faults.append(f"ends:{len(ending)}")

    def _find_violations(self, verifying_clients, recovery_start):
        violations = super()._find_violations(verifying_clients, recovery_start)
        whole, count = self._count_whole(verifying_clients.records)
        self.faults.append(f"whole:{whole}of{count}")
        if whole < MIN_WHOLE_SHARE * count:
            violations.append(f"only {whole} of {count} sound unframed answers whole")
        return violations

    def _count_whole(self, records):
        """Return how many sound unframed answers were delivered as whole, of how many.

        One that was not is followed by another run, or its client gets no answer.
        """
        record_by_id = {record.id: record for record in records}
        last_run_by_id = {}
        for engine in self.engines:
            for run in engine.runs:
                latest = last_run_by_id.get(run.request_id, 0.0)
                last_run_by_id[run.request_id] = max(latest, run.started_at)
        whole = count = 0
        for engine in self.engines:
            for end in engine.unframed_ends:
                record = record_by_id.get(end.request_id)
                if record is None or record.ended_at is None:
                    continue
                if not engine.is_sound(end.began_at, end.ended_at + SOUND_SECONDS):
                    continue
                count += 1
                is_last = last_run_by_id[end.request_id] <= end.ended_at
                whole += record.status == 200 and is_last
        return whole, count


def run_unframed(seed, seconds):
    """Run one seed; return the violations, faults and shares, and the log folder."""
    size = FULL_SIZE if seed % 4 == 3 else UNFRAMED_SIZE
    return run_soak(seed, seconds, size, soak_class=UnframedSoak)
