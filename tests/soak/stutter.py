"""Soak test of endpoints that repeat answers late, whole or in part."""

import asyncio
import random

from hawthornspoke.base import monotonic
from tests.soak.simulation import (
    Engine,
    expected_events,
    expected_response,
)
from tests.soak.sizes import Size
from tests.soak.soak import Soak, run_soak

STUTTER_SIZE = Size(entries=3, engines=3, plain=4, clients=24, start_seconds=4.0)

#: Fraction of the requests at which an endpoint repeats an earlier answer.
STUTTER_SHARE = 0.3

#: Requests whose runs fail: one in this number.
FAILING_INTERVAL = 10

#: Seconds from an endpoint's answer until a request that waits on counts as held.
HELD_SECONDS = 1.0

#: Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (400, 408, 421, 429, 503)

#: Statuses that callers get, besides that of failing runs.
STATUSES = (200, 401, 404, 502, 504, *NOT_RUN_STATUSES)

ODD_STATUSES = ("000", "001", "099", "600", "700", "999")

#: When earlier answers are repeated: behind the own answer, right before it, before
#: the run, or in two parts before the run and after it.
TIMES = ("after", "before", "early", "split")

#: Faults beside the repeated answers.
SIDE_FAULTS = (
    "kill",
    "terminate",
    "link",
    "reset_or_close",
    "crash",
    "configure",
    "version",
)

#: Calls that bear no id, before whose response an endpoint may repeat its last report.
CALLS_WITHOUT_ID = ("/v1/report", "/v1/order")


def is_failing(request_id):
    """Return whether the runs of a request fail, if it isn't a stream."""
    return int(request_id.removeprefix("q")) % FAILING_INTERVAL == 0


class Answer:
    """An answer that an endpoint gave on a connection."""

    __slots__ = ("request_id", "status", "is_stream")

    def __init__(self, *, request_id, status, is_stream):
        self.request_id, self.status = request_id, status
        self.is_stream = is_stream

    def encode(self, *, request_id=None, status=None, fields=(), is_framed=True):
        """Return the bytes of the answer.

        Parameters
        ----------
        request_id : str or None, default=None
            Id that it bears.
        status : int, str or None, default=None
            In place of its own.
        fields : iterable of str
        is_framed : bool, default=True
            Whether it says where it ends.
        """
        lines = [f"HTTP/1.1 {status or self.status} X", *fields]
        if request_id is not None:
            lines.append(f"Attempt-Id: {request_id}")
        body = self._body()
        if is_framed and self.is_stream:
            lines.append("Transfer-Encoding: chunked")
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        elif is_framed:
            lines.append(f"Content-Length: {len(body)}")
        lines.append("Response-Seal: s")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _body(self):
        if not self.is_stream:
            return expected_response(self.request_id)
        texts = expected_events(self.request_id)
        events = [f"id: {n}\ndata: {text}\n\n" for n, text in enumerate(texts, 1)]
        return "".join(events).encode()


#: Bytes of a repeated answer by kind: those that leave the own answer readable, and
#: those behind which it can't be found.
READABLE = {
    "whole": lambda last, rng: last.encode(request_id=last.request_id),
    "other_id": lambda last, rng: last.encode(request_id="other"),
    "no_id": lambda last, rng: last.encode(),
    "refusal": lambda last, rng: last.encode(status=503, fields=["Not-Executed: 1"]),
    "failure": lambda last, rng: last.encode(status=500),
    "interim": lambda last, rng: b"HTTP/1.1 102 Processing\r\n\r\n",
}
UNREADABLE = {
    "unframed": lambda last, rng: last.encode(
        request_id=last.request_id, is_framed=False
    ),
    "cut_body": lambda last, rng: last.encode(request_id=last.request_id)[:-6],
    "cut_no_id": lambda last, rng: last.encode()[:-6],
    "cut_head": lambda last, rng: last.encode().partition(b"s\r\n\r\n")[0],
    "cut_refusal": lambda last, rng: last.encode(
        status=503, fields=["Not-Executed: 1"]
    ).partition(b"s\r\n\r\n")[0],
    "status": lambda last, rng: last.encode(
        request_id=last.request_id, status=rng.choice(ODD_STATUSES)
    ),
    "stray": lambda last, rng: last.encode()[-9:],
}
MAKERS = {**READABLE, **UNREADABLE}


class StutteringReply:
    """Reply to one request, with repeated bytes before and behind it."""

    def __init__(self, *, reply, request, engine, before, after):
        self._reply = reply
        self._request = request
        self._engine = engine
        self._before, self._after = before, after

    def __getattr__(self, name):
        return getattr(self._reply, name)

    def send(self, status, headers=(), body=b""):
        """Send a whole response; one to a failing run in place of its success."""
        request_id = self._request.get("Attempt-Id")
        if status == 200 and is_failing(request_id):
            status, body = 500, b"failed"
        self._repeat(self._before)
        self._reply.send(status, headers, body)
        self._end(status, is_stream=False)

    def start(self, status, headers=()):
        """Start a stream."""
        self._repeat(self._before)
        self._reply.start(status, headers)

    def finish(self):
        """End a stream."""
        self._reply.finish()
        self._end(200, is_stream=True)

    def _end(self, status, *, is_stream):
        answer = Answer(
            request_id=self._request.get("Attempt-Id"),
            status=status,
            is_stream=is_stream,
        )
        self._engine.record_answer(self._reply, answer)
        self._repeat(self._after)

    def _repeat(self, data):
        if data:
            self._reply._connection.write(data)


class ReportReply:
    """Reply to a call for the report, which is kept to be repeated."""

    def __init__(self, *, reply, engine):
        self._reply = reply
        self._engine = engine

    def send(self, status, headers, body):
        """Send the report."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self._engine.report_by_connection[self._reply._connection] = (
            head.encode() + body
        )
        self._reply.send(status, headers, body)


class StutteringEngine(Engine):
    """Engine that repeats earlier answers on its connections.

    Attributes
    ----------
    report_by_connection : dict of object to bytes
        The last report on each connection.
    kinds : list of str
        How answers are repeated.
    repeated : int
        Answers that were repeated.
    answered_at_by_id : dict of str to float
        When the runs of requests were answered.
    unreadable_ids : set of str
        Requests whose answers can't be found behind what was repeated.
    """

    slots = 32

    def __init__(self, **options):
        super().__init__(**options)
        self.kinds = sorted(MAKERS)
        self.repeated = 0
        self.answered_at_by_id = {}
        self.unreadable_ids = set()
        self.report_by_connection = {}
        self._last_by_connection = {}
        self._spoilt_connections = set()

    def record_answer(self, reply, answer):
        """Record the answer to a request."""
        self._last_by_connection[reply._connection] = answer
        if answer.status in (200, 500):
            self.answered_at_by_id[answer.request_id] = monotonic()

    async def handle(self, request, reply):
        """Answer a request, after a repeated report if it bears no id."""
        report = self.report_by_connection.get(reply._connection, b"")
        if (
            request.target.startswith(CALLS_WITHOUT_ID)
            and self.random.random() < STUTTER_SHARE
        ):
            reply._connection.write(report)
        await super().handle(request, reply)

    def _report(self, reply):
        super()._report(ReportReply(reply=reply, engine=self))

    async def _run(self, request, reply):
        connection = reply._connection
        request_id = request.get("Attempt-Id")
        if connection in self._spoilt_connections:
            self.unreadable_ids.add(request_id)
        last = self._last_by_connection.get(connection)
        before = after = b""
        if last is not None and self.random.random() < STUTTER_SHARE:
            self.repeated += 1
            kind = self.random.choice(self.kinds)
            data = MAKERS[kind](last, self.random)
            time = self.random.choice(TIMES)
            if kind in UNREADABLE and time == "after":
                self._spoilt_connections.add(connection)
            elif kind in UNREADABLE:
                self.unreadable_ids.add(request_id)
            half = {"early": len(data), "split": len(data) // 2}.get(time, 0)
            connection.write(data[:half])
            before, after = data[half:], b""
            if time == "after":
                before, after = b"", data
        await super()._run(
            request,
            StutteringReply(
                reply=reply, request=request, engine=self, before=before, after=after
            ),
        )


class StutterSoak(Soak):
    """Endpoints that repeat answers, beside restarts and faults of links.

    Parameters
    ----------
    seed : int
        Two of three seeds repeat answers in one way only.
    seconds : float
        Duration of fault injection.
    folder : Path
        Folder for settings and logs; kept if a guarantee was violated.
    size : Size, default=STUTTER_SIZE
    """

    engine_class = StutteringEngine

    def __init__(self, *, seed, seconds, folder, size=STUTTER_SIZE):
        super().__init__(seed=seed, seconds=seconds, folder=folder, size=size)
        kinds = sorted(MAKERS)
        # One kind alone shows what the mixture hides.
        self.kinds = kinds if seed % 3 == 0 else [kinds[seed % len(kinds)]]

    async def _add_engine(self, number):
        await super()._add_engine(number)
        self.engines[-1].kinds = self.kinds
        self.engines[-1].random = random.Random(f"{self.seed} {number}")

    async def _inject_faults(self):
        self.faults += self.kinds
        end_at = monotonic() + self.seconds
        running = []
        while monotonic() < end_at:
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            name = self.random.choice(SIDE_FAULTS)
            self.faults.append(name)
            running.append(asyncio.create_task(getattr(self, f"_fault_{name}")()))
        await asyncio.gather(*running)

    def _find_violations(self, verifying_clients, recovery_start):
        violations = super()._find_violations(verifying_clients, recovery_start)
        ran = {run.request_id for engine in self.engines for run in engine.runs}
        for record in verifying_clients.records:
            violations += self._check_status(record, ran)
            violations += self._check_held(record)
        repeated = sum(engine.repeated for engine in self.engines)
        self.faults.append(f"repeated:{repeated}")
        if not repeated:
            violations.append("no answer was repeated")
        return violations

    def _check_status(self, record, ran):
        """Check that a status is that of the request's own runs."""
        fails = record.prefix != "/stream/" and is_failing(record.id)
        allowed = [*STATUSES, 500] if fails else list(STATUSES)
        if fails:
            allowed.remove(200)
        if record.status is not None and record.status not in allowed:
            yield f"{record.id}: {record.prefix} got status {record.status}"
        if record.status in NOT_RUN_STATUSES and record.id in ran:
            yield f"{record.id}: {record.prefix} got {record.status}, but it ran"

    def _check_held(self, record):
        """Check that no request waited for an answer that had been sent."""
        if record.status != 504 and (record.status is not None or record.was_closed):
            return
        for engine in self.engines:
            answered_at = engine.answered_at_by_id.get(record.id)
            if (
                answered_at is not None
                and record.ended_at is not None
                and record.ended_at > answered_at + HELD_SECONDS
                and engine.is_sound(answered_at, record.ended_at)
                and not record.entry.was_killed(record.ended_at)
            ):
                waited = record.ended_at - answered_at
                yield f"{record.id}: {record.prefix} held for {waited:.1f} s"

    def _check_ending(self, record, runs):
        if any(record.id in engine.unreadable_ids for engine in self.engines):
            return []
        return super()._check_ending(record, runs)


def run_stutter(seed, seconds):
    """Run one seed; return the violations, the injected faults and the log folder."""
    return run_soak(seed, seconds, STUTTER_SIZE, soak_class=StutterSoak)
