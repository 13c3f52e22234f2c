"""A host with little memory, and a crowd of callers that read long answers slowly."""

import asyncio
import contextlib
import os
import socket
import tempfile
from pathlib import Path

from tests.soak.programs import FRONT_PORT, NET, Program
from tests.soak.simulation import PLAIN, Configuration, Engine, FakeStore

ENGINE_PORT = 9200
ENGINES = 2

#: Header that names the kind and the size in bytes of the wanted answer.
ANSWER_HEADER = "X-Answer"

#: Bytes that an endpoint sends at once, and the size of an event of a stream.
PART_BYTES = 16384
EVENT_BYTES = 8192

RECEIVE_BUFFER = 4096

#: Bytes that a slow caller reads each second.
READ_BYTES = 1500

#: Seconds for which the crowd reads, and between two samples of the memory.
CROWD_SECONDS = 8.0
SAMPLE_INTERVAL = 0.05

#: Callers that read at once, and seconds between the requests of each.
ORDINARY_CALLERS = 4
ORDINARY_INTERVAL = 0.05

#: Descriptors of a process that no caller's request needs.
OTHER_DESCRIPTORS = 200

#: Seconds after which a host that doesn't answer counts as hanging.
HANG_SECONDS = 40.0


class LongAnswers(Engine):
    """Endpoint that answers as long as a request asks for."""

    slots = 4000

    async def handle(self, request, reply):
        """Answer with the wanted kind and size, or as usual."""
        wanted = request.get(ANSWER_HEADER)
        if wanted is None:
            await super().handle(request, reply)
            return
        kind, size = wanted.split()
        fields = [
            ("Attempt-Id", request.get("Attempt-Id")),
            ("Response-Seal", "s"),
            ("Weight-Versions", "1"),
        ]
        if kind == "length":
            await _send_with_length(reply, fields, int(size))
            return
        part = b"x" * PART_BYTES
        reply.start(200, fields)
        for number in range(1, int(size) // EVENT_BYTES + 1):
            if kind == "stream":
                part = b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)
            elif number % (PART_BYTES // EVENT_BYTES):
                continue
            await reply.write(part)
        reply.finish()


async def _send_with_length(reply, fields, size):
    """Send an answer with a length without holding it as a whole."""
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
    head = "\r\n".join([*lines, f"Content-Length: {size}", "", ""]).encode()
    connection = reply._connection
    reply.started, reply.status = True, 200
    connection.write(head)
    while size > 0:
        connection.write(b"x" * min(size, PART_BYTES))
        size -= PART_BYTES
        await connection.drained()
    reply.finished = reply.is_whole = True


class LongConfiguration(Configuration):
    """Configuration whose streams go to the plain service as well."""

    def __init__(self):
        super().__init__(timeouts=(20.0, 20.0), slots=LongAnswers.slots)
        self.weights_by_prefix = {
            prefix: {PLAIN: 1.0} for prefix in self.weights_by_prefix
        }

    def to_row(self):
        """Return the row in the store's table of operators."""
        row = super().to_row()
        for service in row["services"]:
            if "maxConns" in service:
                service["maxConns"] = LongAnswers.slots
        return row


class Crowd:
    """Callers that ask for the same kind of answer and read it slowly.

    Parameters
    ----------
    kind : str
        ``"length"``, ``"chunked"`` or ``"stream"``.
    callers, size : int
        How many they are, and the bytes of each answer.
    requests : int, default=1
        That each caller sends at once on its connection.
    """

    def __init__(self, *, kind, callers, size, requests=1):
        self.kind, self.callers, self.size = kind, callers, size
        self.requests = requests
        self.sockets = []

    async def connect(self, ip):
        """Connect all callers and send their requests."""
        loop = asyncio.get_running_loop()
        prefix = "/stream/" if self.kind == "stream" else "/once/"
        for number in range(self.callers):
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            caller.setblocking(False)
            self.sockets.append(caller)
            with contextlib.suppress(OSError):
                await loop.sock_connect(caller, (ip, FRONT_PORT))
                for sent in range(self.requests):
                    wanted = f"{ANSWER_HEADER}: {self.kind} {self.size}"
                    head = request_head(f"slow{number}-{sent}", prefix, wanted)
                    await loop.sock_sendall(caller, head)

    def read(self):
        """Read a little at each caller."""
        for caller in self.sockets:
            with contextlib.suppress(OSError):
                caller.recv(READ_BYTES)

    def close(self):
        """Close all connections."""
        for caller in self.sockets:
            caller.close()


class Readings:
    """What a process and the kernel held for its callers, at the worst."""

    def __init__(self):
        self.memory = self.resident = self.kernel = self.descriptors = 0
        self.served = 0

    def sample(self, program):
        """Measure a process; its memory is its own and the kernel's unsent bytes."""
        resident = resident_bytes(program.process.pid)
        kernel = unsent_bytes(program.ip, FRONT_PORT)
        self.memory = max(self.memory, resident + kernel)
        self.resident = max(self.resident, resident)
        self.kernel = max(self.kernel, kernel)
        count = len(os.listdir(f"/proc/{program.process.pid}/fd"))
        self.descriptors = max(self.descriptors, count)

    def __str__(self):
        megabytes = [
            value // 1_000_000 for value in (self.memory, self.resident, self.kernel)
        ]
        return (
            "memory {} MB (at the worst resident {}, kernel {})".format(*megabytes)
            + f", {self.descriptors} descriptors, {self.served} others served"
        )


def request_head(request_id, prefix, *lines):
    """Return a request without a body."""
    head = [
        f"POST {prefix}x HTTP/1.1",
        "Host: svc.example",
        f"Attempt-Id: {request_id}",
        "Deadline-Ms: 20000",
        "X-Api-Key: k1",
        "Token-Count: 100,12",
        "Content-Length: 0",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def resident_bytes(pid):
    """Return the resident size of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def unsent_bytes(ip, port):
    """Return the bytes that the kernel holds for the peers of a listening address."""
    reversed_ip = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    address = f"{reversed_ip}:{port:04X}"
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        is_listening = columns[3] == "0A"
        if columns[1] == address and not is_listening:
            total += int(columns[4].partition(":")[0], 16)
    return total


async def ask(ip, request_id):
    """Send an ordinary request; return the status, None without a whole answer."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(HANG_SECONDS):
            reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
            try:
                head = request_head(request_id, "/once/", "Connection: close")
                writer.write(head)
                raw = await reader.read()
            finally:
                writer.transport.abort()
            is_whole = b"\r\n\r\n" in raw
            return int(raw.split()[1]) if is_whole else None
    return None


class Host:
    """One entry host with its store and endpoints.

    Parameters
    ----------
    memory_mb : int
    folder : Path
    """

    def __init__(self, *, memory_mb, folder):
        self.memory_mb, self.folder = memory_mb, folder
        self.store = FakeStore()
        self.engines = []
        self.program = None

    async def __aenter__(self):
        await self.store.start()
        self.store.put("op", "config", LongConfiguration().to_row())
        for number in range(ENGINES):
            ip = f"{NET}.1.{number + 1}"
            engine = LongAnswers(number=number, ip=ip, port=ENGINE_PORT, service=PLAIN)
            await engine.start()
            self.store.put(
                "servers", engine.id, engine.store_row(f"{ip}:{ENGINE_PORT}")
            )
            self.engines.append(engine)
        self.program = Program(
            role="entry",
            name="entry-0",
            ip=f"{NET}.3.1",
            zone="z0",
            app=f"{NET}.1.1:{ENGINE_PORT}",
            store=self.store.address,
            folder=self.folder,
            retry_allowance=100,
            memory_mb=self.memory_mb,
        )
        self.program.start()
        await self.wait_until_answered("start")
        return self

    async def __aexit__(self, *error):
        self.program.stop()
        for engine in self.engines:
            engine.server.close()

    async def wait_until_answered(self, name):
        """Send ordinary requests until one is answered."""
        async with asyncio.timeout(HANG_SECONDS):
            number = 0
            while await ask(self.program.ip, f"{name}{number}") != 200:
                number += 1
                await asyncio.sleep(0.1)

    async def serve_others(self, name, readings):
        """Send ordinary requests one after the other."""
        number = 0
        while True:
            status = await ask(self.program.ip, f"{name}-{number}")
            readings.served += status == 200
            number += 1
            await asyncio.sleep(ORDINARY_INTERVAL)

    async def sample(self, readings):
        """Sample the memory for as long as the process runs."""
        while self.program.is_running:
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                readings.sample(self.program)
            await asyncio.sleep(SAMPLE_INTERVAL)


async def run_crowd(crowd, *, memory_mb, folder):
    """Run a crowd against a host; return the violations and the readings."""
    readings = Readings()
    async with Host(memory_mb=memory_mb, folder=folder) as host:
        program, loop = host.program, asyncio.get_running_loop()
        pid = program.process.pid
        tasks = [asyncio.create_task(host.sample(readings))]
        for number in range(ORDINARY_CALLERS):
            others = host.serve_others(f"other{number}", readings)
            tasks.append(asyncio.create_task(others))
        try:
            await crowd.connect(program.ip)
            end_at = loop.time() + CROWD_SECONDS
            while loop.time() < end_at:
                crowd.read()
                await asyncio.sleep(1.0)
            violations = []
            try:
                await host.wait_until_answered("afterwards")
            except TimeoutError:
                violations.append("no ordinary request is answered afterwards")
        finally:
            for task in tasks:
                task.cancel()
            crowd.close()
        if not program.is_running or program.process.pid != pid:
            violations.append("the process has ended")
        violations += program.internal_errors()
    if readings.memory > memory_mb * 1_000_000:
        violations.append("more memory than the machine has")
    callers = crowd.callers + ORDINARY_CALLERS
    if readings.descriptors > 2 * callers + OTHER_DESCRIPTORS:
        violations.append("too many descriptors")
    return violations, readings


def check_crowd(crowd, *, memory_mb):
    """Run a crowd, and fail with the readings if anything is violated."""
    with tempfile.TemporaryDirectory() as folder:
        violations, readings = asyncio.run(
            run_crowd(crowd, memory_mb=memory_mb, folder=Path(folder))
        )
        print(readings)
        assert not violations, f"{violations}: {readings}"
