"""Simulated environment of the programs: store, origin, engines and proxies."""

import asyncio
import json
import math
import random
import socket
import struct
import time
from hashlib import sha256
from urllib.parse import parse_qs, urlsplit

from adapter.tests.fake_store import FakeStore

from hawthornspoke.base import monotonic
from hawthornspoke.httpio import HttpServer
from tests.soak.programs import NET

PIECE_COUNT, PIECE_SIZE, LAYERS, SLOTS = 16, 2000, 8, 6
MODEL, LLM, PLAIN, ORIGIN = "m1", "llm", "plain", "origin"
STEP_SECONDS = 0.02

#: Turns of the event loop from the arrival of a connection until it is passed on.
ACCEPT_TURNS = 5

#: Value of SO_LINGER with which a close sends RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

#: Milliseconds by which an engine's clock is set back in some crashes.
CLOCK_JUMP_MS = 3_600_000

#: Seconds within which an engine receives a request that its link forwarded before a
#: fault.
DELIVERY_SECONDS = 0.3

#: Bytes that an engine or link sends at once when its response never ends, and the
#: pause in seconds between two of these writes.
ENDLESS_SIZE, ENDLESS_INTERVAL = 65536, 0.01

#: What a link sends first, and then again and again, by its fault.
START_BY_FAULT = {
    "endless": (b"HTTP/1.1 200 OK\r\nX-Fill: ", b"x" * ENDLESS_SIZE),
    "endless_body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (ENDLESS_SIZE, b"x" * ENDLESS_SIZE),
    ),
}

ROUTE_TYPES = {
    "/once/": "non_idempotent",
    "/again/": "idempotent",
    "/stream/": "streaming",
}

MAX_ATTEMPTS = {"/once/": 1, "/again/": 2, "/stream/": 2}

#: Fraction of the failing runs that end with a reset connection; the others end with
#: status 500.
RESET_SHARE = 0.5

#: Seconds for which a staged piece may have been corrupt when it is loaded.
MAX_CORRUPT_SECONDS = 3.0

ENGINE_PROFILE = {
    "interval": 1,
    "modelList": [{"name": MODEL, "warmupS": 0.05}],
    "step_ms": STEP_SECONDS * 1000,
    "per_seq_ms": 0.0,
    "read_per_s": 30000.0,
    "usual": {"prompt": 100, "answer": 12},
    "layers": LAYERS,
    "blocks": PIECE_COUNT,
    "blockBytes": PIECE_SIZE,
}


def piece(version, index):
    """Return the expected bytes of a piece."""
    return random.Random(f"{version}/{index}").randbytes(PIECE_SIZE)


def expected_response(request_id):
    """Return the expected response body of a request."""
    return f"answer to {request_id}".encode()


def expected_events(request_id):
    """Return the data of the expected events of a stream."""
    return [f"{request_id}-{number}" for number in range(1, 13)]


class Run:
    """One run of a request at an engine.

    Attributes
    ----------
    ended_at : float
        ``math.inf`` while it is under way.
    """

    __slots__ = ("request_id", "tenant", "started_at", "ended_at")

    def __init__(self, *, request_id, tenant):
        self.request_id, self.tenant = request_id, tenant
        self.started_at = monotonic()
        self.ended_at = math.inf


class Engine:
    """Simulated engine or plain service that records the requests it runs.

    Parameters
    ----------
    number : int
    ip : str
    port : int
    service : str

    Attributes
    ----------
    silent_until : float
        Until then the engine sends nothing; all its responses go on afterwards.
    endless : str or None
        ``"refusal"`` or ``"answer"``: what the engine sends without end.
    failing_share : float
        Fraction of the runs that fail.
    arrivals : list of (float, str)
        Time and id of each request that arrived, also of those that it rejected.
    deadlines : list of (float, str, float or None)
        Time and id of each of them, and the deadline that it was given, on the
        monotonic clock.
    faults : list of (float, float)
        Begin and end of the times in which the engine or its link was not sound.
        Silence is no fault.
    """

    #: Requests that run at the same time.
    slots = SLOTS

    def __init__(self, *, number, ip, port, service):
        self.id = f"i-{number}-0"
        self.number, self.ip, self.port, self.service = number, ip, port, service
        self.generation = 0
        self.born = int(time.time() * 1000)
        self.staged = {}
        self.corrupt_pieces = CorruptPieces()
        self.read_indices = []
        self.on_half_read = None
        self.loaded = {}
        self.version = None
        self.first_layer = 0
        self.busy = False
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.arrivals = []
        self.deadlines = []
        self.violations = []
        self.leaving = False
        self.silent_until = -math.inf
        self.endless = None
        self.failing_share = 0.0
        self.random = random.Random(number)
        self.faults = []
        self.server = None

    def is_sound(self, begin, end):
        """Return whether neither the engine nor its link had a fault in a time."""
        return not any(
            began <= end and ended + DELIVERY_SECONDS >= begin
            for began, ended in self.faults
        )

    async def start(self):
        """Start or restart the server."""
        server = HttpServer(
            host=self.ip, port=self.port, handler=self.handle, on_handler_error=print
        )
        await server.start()
        # Only now: if two crashes overlap, the second start fails, and the server of
        # the first one still has to be closed.
        self.server = server

    def crash(self):
        """Lose the loaded weights and all connections, as in a crash.

        Every other crash keeps the id. Every fourth one also sets the clock back and
        loses the staged pieces, as in a power failure.
        """
        self.server.close()
        self.generation += 1
        self.born = int(time.time() * 1000)
        if self.generation % 2 == 0:
            self.id = f"i-{self.number}-{self.generation}"
        if self.generation % 4 == 3:
            self.born -= CLOCK_JUMP_MS
            self.staged = {}
        self.version, self.loaded, self.busy, self.sequence = None, {}, False, 0
        self.first_layer = 0
        self.running = 0

    def store_row(self, address):
        """Return the engine's row in the store's table of servers."""
        row = {
            "service": self.service,
            "address": address,
            "zone": f"z{self.number % 2}",
        }
        row |= {"version": "v1", "slots": self.slots, "sequence": 1}
        row["born"] = self.born
        row["state"] = "draining" if self.leaving else "ready"
        if self.service == LLM:
            row["layers"] = self._layers()
        return row

    async def handle(self, request, reply):
        await self._wait_while_silent()
        parts = urlsplit(request.target)
        name = parts.path.split("/")[2] if parts.path.startswith("/v1/") else ""
        if name == "report":
            return self._report(reply)
        if name == "order":
            return self._order(json.loads(request.body), reply)
        if name in ("stage-put", "stage-get"):
            return self._stage(request, parse_qs(parts.query), reply)
        return await self._run(request, reply)

    async def _wait_while_silent(self):
        while (left := self.silent_until - monotonic()) > 0:
            await asyncio.sleep(left)

    def _layers(self):
        if not self.version:
            return None
        return {"from": self.first_layer, "target": LAYERS, "version": self.version}

    def _report(self, reply):
        body = {
            "layers": self._layers(),
            "busy": self.busy,
            "sequence": self.sequence,
            "born": self.born,
            "active": self.running,
            "queued": 0,
            "pace": 1.0,
        }
        reply.send(200, (), json.dumps(body).encode())

    def _order(self, order, reply):
        if self.busy or order["expectedRevision"] != self.sequence:
            return reply.send(409)
        self.busy = True
        self.sequence += 1
        staged_pieces = self.corrupt_pieces.excused(self.staged)
        asyncio.get_running_loop().create_task(
            self._load(order["version"], staged_pieces, order.get("from", 0))
        )
        return reply.send(202)

    async def _load(self, version, staged_pieces, first_layer):
        generation = self.generation
        while self.running and generation == self.generation:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        if generation == self.generation:
            self.version, self.loaded, self.busy = version, staged_pieces, False
            self.first_layer = first_layer

    def _stage(self, request, query, reply):
        index = int(query["sampleCount"][0]) if "sampleCount" in query else None
        if request.method == "PUT":
            self.staged[index] = request.body
            self.corrupt_pieces.discard(index)
            self.read_indices = []
            return reply.send(200)
        if index is None:
            return reply.send(200, (), json.dumps({"held": list(self.staged)}).encode())
        if index not in self.staged:
            return reply.send(404)
        reply.send(200, (), self.staged[index])
        self.read_indices.append(index)
        if len(self.read_indices) == PIECE_COUNT // 2 and self.on_half_read:
            on_half_read, self.on_half_read = self.on_half_read, None
            on_half_read()
        return None

    def corrupt_read_pieces(self):
        """Corrupt some of the staged pieces that were read since the last put."""
        for index in self.read_indices[:2]:
            if index in self.staged:
                self.corrupt_pieces.add(index, self.staged[index])
                self.staged[index] = b"corrupt"

    async def _run(self, request, reply):
        request_id = request.get("Attempt-Id")
        self._record_arrival(request, request_id)
        echo = [("Attempt-Id", request_id), ("Keep-Alive", "timeout=5")]
        if request.get("Expect-Instance") != self.id:
            return reply.send(421, [*echo, ("Instance-Id", self.id)])
        expected = request.get("Expect-Version")
        has_weights = self.service != LLM or (
            self.version is not None and self.first_layer == 0
        )
        if not has_weights or (expected and int(expected) != self.version):
            return reply.send(421, [*echo, ("Instance-Id", self.id)])
        if self.endless == "refusal":
            return await self._send_endless(reply, 503, [*echo, ("Not-Executed", "1")])
        if self.running >= self.slots or self.busy or self.leaving:
            return reply.send(503, [*echo, ("Not-Executed", "1")])
        self._check_weights()
        self.running += 1
        run = Run(request_id=request_id, tenant=request.get("Tenant"))
        self.runs.append(run)
        generation = self.generation
        try:
            head = [
                *echo,
                ("Response-Seal", "s"),
                ("Weight-Versions", str(self.version)),
            ]
            if self.endless == "answer":
                await self._send_endless(reply, 200, head)
            elif self.random.random() < self.failing_share:
                await self._fail(request, reply, echo)
            else:
                await self._answer(request, reply, head)
        finally:
            run.ended_at = monotonic()
            if generation == self.generation:
                self.running -= 1
        return None

    def _record_arrival(self, request, request_id):
        now = monotonic()
        left_ms = request.get("Deadline-Ms")
        # The engine may have been silent since the request arrived.
        deadline = None
        if left_ms is not None:
            deadline = request.arrived_at + int(left_ms) / 1000
        self.arrivals.append((now, request_id))
        self.deadlines.append((now, request_id, deadline))

    async def _fail(self, request, reply, head):
        await self._step(request, 0.5)
        if self.random.random() < RESET_SHARE:
            reply.abort()
        else:
            reply.send(500, head)

    async def _answer(self, request, reply, head):
        if request.target.startswith("/stream/"):
            await self._stream(request, reply, head)
            return
        await self._step(request)
        reply.send(200, head, expected_response(request.get("Attempt-Id")))

    async def _stream(self, request, reply, head):
        after = int(request.get("Last-Event-Id") or 0)
        await self._step(request, 0.5)
        reply.start(200, head)
        texts = expected_events(request.get("Attempt-Id"))
        for number in range(after + 1, len(texts) + 1):
            event = f"id: {number}\ndata: {texts[number - 1]}\n\n".encode()
            half = len(event) // 2
            for part in (event[:half], event[half:]):
                await self._step(request, 0.5)
                await reply.write(part)
        reply.finish()

    def step_seconds(self, request):
        """Return the seconds of one step of a request's run."""
        return STEP_SECONDS

    async def _step(self, request, steps=1.0):
        await asyncio.sleep(self.step_seconds(request) * steps)
        await self._wait_while_silent()

    async def _send_endless(self, reply, status, head):
        """Send a body without end until the connection is closed."""
        reply.start(status, head)
        while True:
            await reply.write(b"x" * ENDLESS_SIZE)
            await asyncio.sleep(ENDLESS_INTERVAL)

    def _check_weights(self):
        if self.service != LLM:
            return
        expected_pieces = {
            index: piece(self.version, index) for index in range(PIECE_COUNT)
        }
        if self.loaded != expected_pieces:
            self.violations.append(f"engine {self.id} runs with incorrect weights")


class CorruptPieces:
    """Staged pieces that became corrupt, and since when."""

    def __init__(self):
        self._intact_by_index = {}
        self._since_by_index = {}

    def add(self, index, intact):
        """Record a piece that becomes corrupt now, with its intact bytes."""
        if index not in self._since_by_index:
            self._intact_by_index[index] = intact
            self._since_by_index[index] = monotonic()

    def discard(self, index):
        """Record that a piece was staged again."""
        self._since_by_index.pop(index, None)

    def excused(self, staged):
        """Return the staged pieces, intact if they became corrupt shortly before."""
        earliest = monotonic() - MAX_CORRUPT_SECONDS
        recent = {
            index: self._intact_by_index[index]
            for index, since in self._since_by_index.items()
            if since > earliest and index in staged
        }
        return {**staged, **recent}


class Origin:
    """Simulated weight origin that can be down, or send corrupted or endless bytes."""

    def __init__(self):
        self.down = False
        self.endless = False
        self.corrupt_share = 0.0
        self.random = random.Random(1)
        self.server = None

    async def start(self, ip, port):
        self.server = HttpServer(
            host=ip, port=port, handler=self.handle, on_handler_error=print
        )
        await self.server.start()

    async def handle(self, request, reply):
        if self.down:
            return reply.abort()
        if self.endless:
            reply.start(200)
            while self.endless and not reply.caller_gone():
                await reply.write(b"x" * ENDLESS_SIZE)
                await asyncio.sleep(ENDLESS_INTERVAL)
            return reply.abort()
        parts = urlsplit(request.target)
        query = parse_qs(parts.query)
        version = int(query["version"][0])
        if "/manifest/" in parts.path:
            digests = [
                sha256(piece(version, n)).hexdigest() for n in range(PIECE_COUNT)
            ]
            body = {"version": version, "hashes": digests}
            return reply.send(200, (), json.dumps(body).encode())
        data = piece(version, int(query["sampleCount"][0]))
        if self.random.random() < self.corrupt_share:
            data = b"?" + data[1:]
        return reply.send(200, (), data)


class ProxiedConnection:
    """A connection through a proxy, as seen from both of its ends.

    Parameters
    ----------
    writer : StreamWriter
        To the side that connected.

    Attributes
    ----------
    upstream_writer : StreamWriter or None
        To the proxy's target; None until it is connected.
    has_ended : bool
    """

    __slots__ = ("writer", "upstream_writer", "has_ended")

    def __init__(self, *, writer):
        self.writer = writer
        self.upstream_writer = None
        self.has_ended = False

    @property
    def upstream_port(self):
        """Port from which the proxy is connected to its target, None if it isn't."""
        if self.upstream_writer is None:
            return None
        return self.upstream_writer.get_extra_info("sockname")[1]

    def close(self):
        """End it with FIN on both sides; data that was not yet sent is lost."""
        self.has_ended = True
        for writer in self._writers():
            writer.transport.abort()

    def reset(self):
        """End it with RST on both sides."""
        self.has_ended = True
        for writer in self._writers():
            if not writer.transport.is_closing():
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()

    def _writers(self):
        writers = self.writer, self.upstream_writer
        return [writer for writer in writers if writer is not None]


class Proxy:
    """TCP proxy with fault injection.

    Attributes
    ----------
    fault : str or None
        ``"silent"`` (no data is forwarded), ``"one_way"`` (no responses are
        forwarded), ``"slow"`` (data is delayed), ``"refuse"`` (new connections are
        closed), ``"endless"`` and ``"endless_body"`` (in place of a response, a head or
        a body without end is sent).
    connections : set of ProxiedConnection
    """

    def __init__(self, *, ip, port, target_ip, target_port):
        self.ip, self.port = ip, port
        self.target = (target_ip, target_port)
        self.fault = None
        self.connections = set()
        self._server = None
        self._end_of_new = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self.ip, self.port)

    def close_all(self):
        """End all open connections with FIN."""
        self._end_all(ProxiedConnection.close)

    def reset_all(self):
        """End all open connections with RST."""
        self._end_all(ProxiedConnection.reset)

    def _end_all(self, end):
        for connection in list(self.connections):
            end(connection)
        self._end_new(end, turns=ACCEPT_TURNS)

    def _end_new(self, end, *, turns):
        """End the connections that the other side has opened by now."""
        self._end_of_new = end if turns else None
        if turns:
            loop = asyncio.get_running_loop()
            loop.call_soon(lambda: self._end_new(end, turns=turns - 1))

    def close(self):
        self._server.close()
        self.close_all()

    async def _accept(self, reader, writer):
        if self.fault == "refuse":
            writer.transport.abort()
            return
        connection = ProxiedConnection(writer=writer)
        if self._end_of_new is not None:
            self._end_of_new(connection)
            return
        self.connections.add(connection)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            self.connections.discard(connection)
            writer.transport.abort()
            return
        connection.upstream_writer = upstream_writer
        if connection.has_ended:
            self.connections.discard(connection)
            upstream_writer.transport.abort()
            return
        forward_task = asyncio.create_task(
            self._forward(reader, upstream_writer, ("silent",))
        )
        backward_task = asyncio.create_task(
            self._forward(upstream_reader, writer, ("silent", "one_way"))
        )
        await asyncio.gather(forward_task, backward_task, return_exceptions=True)
        self.connections.discard(connection)

    async def _forward(self, reader, writer, blocking_faults):
        try:
            while data := await reader.read(65536):
                while self.fault in blocking_faults:
                    await asyncio.sleep(0.05)
                if self.fault == "slow":
                    await asyncio.sleep(0.1)
                if self.fault in START_BY_FAULT and "one_way" in blocking_faults:
                    await self._send_endless(writer, *START_BY_FAULT[self.fault])
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    async def _send_endless(self, writer, start, part):
        fault = self.fault
        writer.write(start)
        while self.fault == fault:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(ENDLESS_INTERVAL)
        raise OSError("the response has no end")


class Configuration:
    """Configuration with one route of each type, which operators change.

    Parameters
    ----------
    timeouts : (float, float), default=(3.0, 4.0)
        Shortest and longest time limit of the routes in seconds; the longest at first.
    slots : int, default=SLOTS
        Of each engine.

    Attributes
    ----------
    version : int
    keys : set of str
    timeout : float
        Seconds.
    shortest_timeout : float
        Shortest timeout of all versions until now.
    idle_time : float
        Seconds.
    weights_by_prefix : dict of str to dict of str to float
        Weights of the services of each route.
    services_by_prefix : dict of str to set of str
        All services that each route has had.
    """

    def __init__(self, *, timeouts=(3.0, 4.0), slots=SLOTS):
        self.timeouts, self.slots = timeouts, slots
        self.version = 1
        self.keys = {"k1", "k2", "k3"}
        self.timeout = self.shortest_timeout = timeouts[1]
        self.idle_time = 15.0
        self.weights_by_prefix = {
            prefix: {LLM if kind == "streaming" else PLAIN: 1.0}
            for prefix, kind in ROUTE_TYPES.items()
        }
        self.services_by_prefix = {
            prefix: set(weights) for prefix, weights in self.weights_by_prefix.items()
        }

    def change(self, rng):
        """Change one randomly selected part."""
        kind = rng.choice(("route", "weights", "timeout", "key", "idle"))
        prefix = rng.choice(sorted(ROUTE_TYPES))
        if kind == "route":
            self.weights_by_prefix[prefix] = {rng.choice((LLM, PLAIN)): 1.0}
        elif kind == "weights":
            weight = rng.uniform(0.2, 0.8)
            self.weights_by_prefix[prefix] = {LLM: weight, PLAIN: 1.0 - weight}
        elif kind == "timeout":
            self.timeout = rng.uniform(*self.timeouts)
            self.shortest_timeout = min(self.timeout, self.shortest_timeout)
        elif kind == "key":
            self.keys.add(f"k{self.version + 10}")
        else:
            self.idle_time = rng.choice((1.0, 5.0, 15.0))
        self.version += rng.randint(1, 3)
        self.services_by_prefix[prefix].update(self.weights_by_prefix[prefix])

    def to_row(self):
        """Return the row in the store's table of operators."""
        return {
            "version": self.version,
            "routes": [
                self._route_row(prefix, kind) for prefix, kind in ROUTE_TYPES.items()
            ],
            "services": [
                {"name": PLAIN, "maxConns": 100},
                {"name": LLM, "maxConns": 100, "backend": self._profile()},
                {"name": ORIGIN, "upstream": f"{NET}.2.1:9300"},
            ],
            "tenants": self._tenant_rows(),
            "limits": {"idleTimeoutMs": round(self.idle_time * 1000)},
        }

    def _profile(self):
        return {**ENGINE_PROFILE, "slots": self.slots}

    def _tenant_rows(self):
        if not self.keys and self.version % 2:
            return []
        return [{"name": "org", "apiKeys": sorted(self.keys)}]

    def _route_row(self, prefix, kind):
        return {
            "name": prefix,
            "host": "svc.example",
            "prefix": prefix,
            "type": kind,
            "timeoutMs": round(self.timeout * 1000),
            "sloMs": 1000,
            "priority": 1,
            "split": [
                {"service": service, "weight": weight}
                for service, weight in self.weights_by_prefix[prefix].items()
            ],
            "maxAttempts": MAX_ATTEMPTS[prefix],
            "public": False,
            "resumable": kind == "streaming",
        }


__all__ = ["Configuration", "Engine", "FakeStore", "Origin", "Proxy"]
