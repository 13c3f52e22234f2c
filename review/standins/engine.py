"""Stand-in for a model runner.

Usage: engine.py IP PORT ID SERVICE ZONE STORE [ADDRESS] [empty]

ADDRESS is where others reach it, if not at IP and PORT; with ``empty`` it holds no
layers at the start. A request whose path ends in ``/long`` gets a longer stream, and
with neither a length nor chunks if this runner has given ``FRAMED_ANSWERS`` others.

It holds version 1 at the start, takes staged pieces and orders, writes its entry to the
store every ``HEARTBEAT_S``, and streams events. ``GET /_state`` lists what it ran and
loaded. ``POST /_trap`` with ``pid``, ``after`` and ``spoil`` stops a process once
``after`` pieces of a complete newer version were read back, and spoils some of these
``SPOIL_DELAY_S`` later.
"""

import asyncio
import json
import os
import signal
import sys
import time

from names import N
from web import encode_json, encode_response, serve
from weights import BLOCKS, LAYERS, MODEL, piece, pieces_of_layer

HEARTBEAT_S = 1.2
WARMUP_S = 0.3
EVENTS = 8
EVENT_S = 0.05
LONG_EVENTS = 30
LONG_EVENT_S = 0.1

#: Answers with a framing before one without: one in twenty has none.
FRAMED_ANSWERS = 19
SPOIL_DELAY_S = 0.2

#: Seconds for which a piece may have been bad when it was taken.
EXCUSED_S = 3.0


class Engine:
    """Weights, orders and requests of one runner."""

    def __init__(self, *, instance, address, service, zone, store):
        self.instance = instance
        self.address = address
        self.service = service
        self.zone = zone
        self.store = store
        self.staged = {index: piece(1, index) for index in range(BLOCKS)}
        self.spoilt_at = {}
        self.version = 1
        self.layers = (0, LAYERS)
        self.bad_layers = []
        self.sequence = 0
        self.busy = False
        self.active = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.loads = []
        self.trap = None
        self.read_back = []
        self.stopped_at = None

    # Reports.

    def _weights(self):
        if self.layers is None:
            return {N.models: []}
        first, end = self.layers
        return {
            N.models: [{"name": MODEL, "version": self.version, "loras": []}],
            "layers": {"from": first, "target": end, "version": self.version},
        }

    def _report(self):
        return {
            "phase": "unified",
            **self._weights(),
            "busy": self.busy,
            "sequence": self.sequence,
            "queued": 0,
            "active": self.active,
            "kvInUse": 0,
            "kvSize": 1640000,
            "sessions": 0,
            "pace": 1.0,
            "born": self.born,
        }

    async def beat(self):
        """Write this runner's entry as long as the process runs."""
        while True:
            value = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "coldLeftMs": 0,
                "phase": "unified",
                **self._weights(),
                "sequence": self.sequence,
                "born": self.born,
            }
            key = {"table": "servers", "key": self.instance, "value": value}
            await self._put(json.dumps(key).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _put(self, body):
        ip, _, port = self.store.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return
        head = f"POST /_put HTTP/1.1\r\nHost: s\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()

    def forget_layers(self):
        """Start without layers, as a runner does that has ended before."""
        self.layers = None

    # Calls.

    async def handle(self, request, writer):
        path = request.path
        if path == "/_state":
            state = {
                "runs": self.runs,
                "loads": self.loads,
                "stopped_at": self.stopped_at,
                **self._report(),
            }
            writer.write(encode_json(state))
        elif path == "/_trap":
            self.trap = json.loads(request.body)
            writer.write(encode_json({}))
        elif path == "/v1/report":
            writer.write(encode_json(self._report()))
        elif path == f"/v1/{N.put_piece}/{MODEL}":
            index = int(request.query[N.piece])
            self.staged[index] = request.body
            self.spoilt_at.pop(index, None)
            writer.write(encode_response(200))
        elif path == f"/v1/stage-get/{MODEL}":
            await self._stage_get(request, writer)
        elif path == "/v1/order":
            writer.write(self._order(json.loads(request.body)))
        elif path == "/healthz":
            writer.write(encode_response(200, [(N.instance, self.instance)]))
        else:
            await self._run(request, writer)

    async def _stage_get(self, request, writer):
        if N.piece not in request.query:
            writer.write(encode_json({"held": sorted(self.staged)}))
            return
        index = int(request.query[N.piece])
        data = self.staged.get(index)
        if data is None:
            writer.write(encode_response(404))
            return
        writer.write(encode_response(200, body=data))
        await writer.drain()
        self._spring_trap(index)

    def _spring_trap(self, index):
        if self.trap is None or self.stopped_at is not None:
            return
        version = self.version + 1
        if any(self.staged[item] != piece(version, item) for item in range(BLOCKS)):
            return
        self.read_back.append(index)
        if len(self.read_back) == self.trap["after"]:
            os.kill(self.trap["pid"], signal.SIGSTOP)
            self.stopped_at = time.time()
            asyncio.get_running_loop().call_later(SPOIL_DELAY_S, self._spoil)

    def _spoil(self):
        for index in self.read_back[: self.trap["spoil"]]:
            data = bytearray(self.staged[index])
            data[len(data) // 2] ^= 0xFF
            self.staged[index] = bytes(data)
            self.spoilt_at[index] = time.time()

    def _order(self, order):
        first, end = order.get("from", 0), order.get("target", LAYERS)
        version = order["version"]
        if order["operation"] != "start":
            return encode_json({}, status=400)
        if self.layers == (first, end) and self.version == version:
            return encode_json({}, status=200)
        if self.busy or order.get(N.expected, self.sequence) != self.sequence:
            return encode_json({"sequence": self.sequence}, status=409)
        self.sequence += 1
        if self.version == version and self.layers is not None:
            # Layers are given up.
            self.layers = (first, end)
            self.bad_layers = [item for item in self.bad_layers if first <= item < end]
            return encode_json({}, status=202)
        self.busy = True
        asyncio.ensure_future(self._load(version, first, end))
        return encode_json({}, status=202)

    async def _load(self, version, first, end):
        now = time.time()
        bad = {}
        for layer in range(first, end):
            for index in pieces_of_layer(layer):
                if self.staged.get(index) == piece(version, index):
                    continue
                age = now - self.spoilt_at.get(index, now)
                if index not in self.spoilt_at or age > EXCUSED_S:
                    bad[index] = round(age, 3)
        bad_layers = sorted(
            layer
            for layer in range(first, end)
            if any(index in bad for index in pieces_of_layer(layer))
        )
        self.loads.append({"at": now, "version": version, "bad_pieces": bad})
        while self.active:
            await asyncio.sleep(0.01)
        self.layers = None
        await asyncio.sleep(WARMUP_S)
        self.version, self.layers = version, (first, end)
        self.bad_layers = bad_layers
        self.busy = False

    async def _run(self, request, writer):
        attempt = request.get("attempt-id")
        refusal = [(N.attempt, attempt), (N.not_run, "1")]
        if request.get("expect-instance", self.instance) != self.instance:
            writer.write(encode_response(421, refusal))
            return
        if request.get("expect-version", str(self.version)) != str(self.version):
            writer.write(encode_response(421, refusal))
            return
        if self.busy:
            writer.write(encode_response(503, refusal))
            return
        if self.layers != (0, LAYERS):
            writer.write(encode_response(421, refusal))
            return
        self.active += 1
        self.runs.append(
            {
                "at": time.time(),
                "attempt": attempt,
                "version": self.version,
                "bad_layers": self.bad_layers,
            }
        )
        is_long = request.path.endswith("/long")
        is_framed = not is_long or len(self.runs) <= FRAMED_ANSWERS
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"{N.attempt}: {attempt}\r\n"
            f"{N.seal}: seal-of-{attempt}\r\n"
            f"{N.weights}: {self.version}\r\n"
            "Content-Type: text/event-stream\r\n"
        )
        if is_framed:
            head += "Transfer-Encoding: chunked\r\n"
        writer.write(head.encode() + b"\r\n")
        count, pause = (LONG_EVENTS, LONG_EVENT_S) if is_long else (EVENTS, EVENT_S)
        try:
            for number in range(1, count + 1):
                event = f"id: {number}\ndata: token\n\n".encode()
                if is_framed:
                    event = b"%x\r\n%b\r\n" % (len(event), event)
                writer.write(event)
                await writer.drain()
                await asyncio.sleep(pause)
            if not is_framed:
                raise ConnectionError("the answer ends with its connection")
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.active -= 1


async def main(ip, port, instance, service, zone, store, address=None, state=""):
    engine = Engine(
        instance=instance,
        address=address or f"{ip}:{port}",
        service=service,
        zone=zone,
        store=store,
    )
    if state == "empty":
        engine.forget_layers()
    server = await serve(ip, int(port), engine.handle)
    async with server:
        await asyncio.gather(server.serve_forever(), engine.beat())


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
