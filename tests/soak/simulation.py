"""Simulated environment of the programs: store, origin, engines and proxies."""

import asyncio
import json
import random
import time
from hashlib import sha256
from urllib.parse import parse_qs, urlsplit

from adapter.tests.fake_store import FakeStore

from hawthornspoke.httpio import HttpServer

PIECE_COUNT, PIECE_SIZE, LAYERS, SLOTS = 16, 2000, 8, 6
MODEL, LLM, PLAIN, ORIGIN = "m1", "llm", "plain", "origin"
STEP_SECONDS = 0.02

#: Milliseconds by which an engine's clock is set back in some crashes.
CLOCK_JUMP_MS = 3_600_000

ROUTE_TYPES = {
    "/once/": "non_idempotent",
    "/again/": "idempotent",
    "/stream/": "streaming",
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


class Engine:
    """Simulated engine or plain service that records the requests it runs.

    Parameters
    ----------
    number : int
    ip : str
    port : int
    service : str
    """

    def __init__(self, *, number, ip, port, service):
        self.id = f"i-{number}-0"
        self.number, self.ip, self.port, self.service = number, ip, port, service
        self.generation = 0
        self.born = int(time.time() * 1000)
        self.staged = {}
        self.loaded = {}
        self.version = None
        self.first_layer = 0
        self.busy = False
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.violations = []
        self.leaving = False
        self.server = None

    async def start(self):
        """Start or restart the server."""
        self.server = HttpServer(
            host=self.ip, port=self.port, handler=self.handle, on_handler_error=print
        )
        await self.server.start()

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
        row |= {"version": "v1", "slots": SLOTS, "sequence": 1, "born": self.born}
        row["state"] = "draining" if self.leaving else "ready"
        if self.service == LLM:
            row["layers"] = self._layers()
        return row

    async def handle(self, request, reply):
        parts = urlsplit(request.target)
        name = parts.path.split("/")[2] if parts.path.startswith("/v1/") else ""
        if name == "report":
            return self._report(reply)
        if name == "order":
            return self._order(json.loads(request.body), reply)
        if name in ("stage-put", "stage-get"):
            return self._stage(request, parse_qs(parts.query), reply)
        return await self._run(request, reply)

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
        staged_pieces = dict(self.staged)
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
            return reply.send(200)
        if index is None:
            return reply.send(200, (), json.dumps({"held": list(self.staged)}).encode())
        if index not in self.staged:
            return reply.send(404)
        return reply.send(200, (), self.staged[index])

    async def _run(self, request, reply):
        request_id = request.get("Attempt-Id")
        echo = [("Attempt-Id", request_id), ("Keep-Alive", "timeout=5")]
        if request.get("Expect-Instance") != self.id:
            return reply.send(421, [*echo, ("Instance-Id", self.id)])
        expected = request.get("Expect-Version")
        has_weights = self.service != LLM or (
            self.version is not None and self.first_layer == 0
        )
        if not has_weights or (expected and int(expected) != self.version):
            return reply.send(421, [*echo, ("Instance-Id", self.id)])
        if self.running >= SLOTS or self.busy or self.leaving:
            return reply.send(503, [*echo, ("Not-Executed", "1")])
        self._check_weights()
        self.running += 1
        self.runs.append((request_id, request.get("Tenant"), self.version))
        generation = self.generation
        try:
            head = [
                *echo,
                ("Response-Seal", "s"),
                ("Weight-Versions", str(self.version)),
            ]
            if request.target.startswith("/stream/"):
                await self._stream(request, reply, head)
            else:
                await asyncio.sleep(STEP_SECONDS)
                reply.send(200, head, expected_response(request_id))
        finally:
            if generation == self.generation:
                self.running -= 1
        return None

    async def _stream(self, request, reply, head):
        after = int(request.get("Last-Event-Id") or 0)
        reply.start(200, head)
        texts = expected_events(request.get("Attempt-Id"))
        for number in range(after + 1, len(texts) + 1):
            await asyncio.sleep(STEP_SECONDS)
            await reply.write(f"id: {number}\ndata: {texts[number - 1]}\n\n".encode())
        reply.finish()

    def _check_weights(self):
        if self.service != LLM:
            return
        expected_pieces = {
            index: piece(self.version, index) for index in range(PIECE_COUNT)
        }
        if self.loaded != expected_pieces:
            self.violations.append(f"engine {self.id} runs with incorrect weights")


class Origin:
    """Simulated weight origin that can be down or send corrupted bytes."""

    def __init__(self):
        self.down = False
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


class Proxy:
    """TCP proxy with fault injection.

    Attributes
    ----------
    fault : str or None
        ``"silent"`` (no data is forwarded), ``"one_way"`` (no responses are
        forwarded), ``"slow"`` (data is delayed), ``"refuse"`` (new connections are
        reset).
    """

    def __init__(self, *, ip, port, target_ip, target_port):
        self.ip, self.port = ip, port
        self.target = (target_ip, target_port)
        self.fault = None
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self.ip, self.port)

    def reset_all(self):
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        self._server.close()
        self.reset_all()

    async def _accept(self, reader, writer):
        if self.fault == "refuse":
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        forward_task = asyncio.create_task(
            self._forward(reader, upstream_writer, ("silent",))
        )
        backward_task = asyncio.create_task(
            self._forward(upstream_reader, writer, ("silent", "one_way"))
        )
        await asyncio.gather(forward_task, backward_task, return_exceptions=True)
        self._writers -= {writer, upstream_writer}

    async def _forward(self, reader, writer, blocking_faults):
        try:
            while data := await reader.read(65536):
                while self.fault in blocking_faults:
                    await asyncio.sleep(0.05)
                if self.fault == "slow":
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


def configuration(version, keys):
    """Return a configuration with one route of each type."""
    routes = [
        {
            "name": prefix,
            "host": "svc.example",
            "prefix": prefix,
            "type": kind,
            "timeoutMs": 4000,
            "sloMs": 1000,
            "priority": 1,
            "service": LLM if kind == "streaming" else PLAIN,
            "maxAttempts": 1 if kind == "non_idempotent" else 2,
            "public": False,
            "resumable": kind == "streaming",
        }
        for prefix, kind in ROUTE_TYPES.items()
    ]
    engine = {
        "slots": SLOTS,
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
    services = [
        {"name": PLAIN, "maxConns": 100},
        {"name": LLM, "maxConns": 100, "backend": engine},
        {"name": ORIGIN, "upstream": "127.0.2.1:9300"},
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "org", "apiKeys": sorted(keys)}],
    }


__all__ = ["Engine", "FakeStore", "Origin", "Proxy", "configuration"]
