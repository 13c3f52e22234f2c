"""Test harness: scripted endpoints on loopback behind the handler of a relay."""

import asyncio
import contextlib
import math
import socket
from types import SimpleNamespace

from hawthornspoke.base import Ticks, boottime_clock, monotonic
from hawthornspoke.catalog import (
    AT_MOST_ONCE,
    IDEMPOTENT,
    STREAM,
    Catalog,
    EndpointEntry,
    Organisation,
    Route,
    Service,
    Share,
)
from hawthornspoke.catalog.tests.profiles import engine_profile
from hawthornspoke.events import EventLog
from hawthornspoke.httpio import ConnectionPool, HttpServer
from hawthornspoke.memory_budget import MemoryBudget, MemoryGuard
from hawthornspoke.metrics import Metrics
from hawthornspoke.placing import CatalogChanged, EndpointsListed, Fleet
from hawthornspoke.relay import (
    Confirmed,
    HeaderNames,
    PlatformContact,
    Relay,
    RelaySettings,
)
from hawthornspoke.relay._admission import Admission
from hawthornspoke.relay._budgets import RetryBudgets
from hawthornspoke.relay._forward import Forwarder
from hawthornspoke.relay._handler import Handler
from hawthornspoke.relay._rate_limits import EndpointRateLimits
from hawthornspoke.relay._retry_records import RetryRecords
from hawthornspoke.relay._shutdown import Shutdown
from hawthornspoke.relay._signals import SignalReader
from hawthornspoke.relay._suspects import PoisonRequestTracker
from hawthornspoke.relay._timers import Timers
from hawthornspoke.relay._unattended import UnattendedEngines
from hawthornspoke.spread import EngineSnapshot

ENGINE = engine_profile()

#: Bytes of the memory budget, which every entry host on the platform has.
MEMORY_LIMIT = 100_000_000


class ScriptedEndpoint:
    """Answers each request by the next step of a script.

    A step is a coroutine function that is called with the endpoint, the raw head of
    the request and the stream writer, and writes the response. It returns False to
    abort the connection. After the last step, requests are answered with status 200.
    GET requests, which only probes are, have a step of their own.
    """

    def __init__(self, *steps, endpoint_id=None, probe_step=None):
        self.steps = list(steps)
        self.endpoint_id = endpoint_id
        self.probe_step = probe_step or answer_probe()
        self.requests = []
        self.probes = []
        self.writers = set()
        self.closed_early = 0
        self.is_retired = False
        self.reader = None
        self.writer = None
        self._server = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def close(self):
        self._server.close()

    def crash(self, *, but):
        """Stop listening and abort all connections but one.

        Parameters
        ----------
        but : StreamWriter
            Of the connection whose end arrives later.
        """
        self.close()
        for writer in self.writers - {but}:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.decode("latin-1").split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length)
                self.reader, self.writer = reader, writer
                if head.startswith(b"GET "):
                    self.probes.append(head.decode("latin-1"))
                    step = self.probe_step
                else:
                    self.requests.append((head.decode("latin-1"), body))
                    step = self.steps.pop(0) if self.steps else answer()
                if await step(self, head.decode("latin-1"), writer) is False:
                    writer.transport.abort()
                    return
                await writer.drain()


class RefusingEndpoint(ScriptedEndpoint):
    """Endpoint whose address refuses connections, as no process listens there.

    The address stays bound, so that no other process can listen there meanwhile.
    """

    async def start(self):
        self._server = socket.socket()
        self._server.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{self._server.getsockname()[1]}"


def field(head, name):
    """Return the value of a header field of a raw message, None if it is missing."""
    for line in head.split("\r\n"):
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


def response(head, status=200, body=b"ok", extra=()):
    """Return a complete sealed response to a raw request."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Request-Id: {field(head, 'X-Request-Id')}",
        "X-Seal: s",
        "Keep-Alive: timeout=10",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def answer(status=200, body=b"ok", extra=()):
    """Return a step that sends a complete response."""

    async def step(endpoint, head, writer):
        writer.write(response(head, status, body, extra))

    return step


def answer_probe():
    """Return a step that sends the endpoint's id, or refuses a request for another."""

    async def step(endpoint, head, writer):
        is_expected = field(head, "X-Expect-Endpoint") == endpoint.endpoint_id
        status = 200 if is_expected else 421
        writer.write(
            f"HTTP/1.1 {status} X\r\n"
            f"X-Endpoint-Id: {endpoint.endpoint_id}\r\n"
            "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n".encode()
        )

    return step


def refuse_as_full():
    """Return a step that refuses the request because the endpoint is full."""
    return answer(503, b"", ("X-Not-Run: 1",))


def silent():
    """Return a step that sends nothing until the relay closes the connection."""

    async def step(endpoint, head, writer):
        await writer.wait_closed()
        return False

    return step


def reset_connection():
    """Return a step that resets the connection without a response."""

    async def step(endpoint, head, writer):
        return False

    return step


def stream_head(head, version="1", extra=()):
    """Return the head of a sealed stream of events."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {field(head, 'X-Request-Id')}",
        "X-Seal: s",
        f"X-Weights-Version: {version}",
        "Transfer-Encoding: chunked",
        "Keep-Alive: timeout=10",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def stream_event(number):
    """Return an event as a chunk of a stream's body."""
    data = b"id: %d\ndata: e%d\n\n" % (number, number)
    return b"%x\r\n%b\r\n" % (len(data), data)


def events(ids, *, version="1", cut=b"", complete=True):
    """Return a step that sends a stream of events, complete or truncated."""

    async def step(endpoint, head, writer):
        writer.write(stream_head(head, version))
        for number in ids:
            writer.write(stream_event(number))
        if complete:
            writer.write(b"0\r\n\r\n")
            return None
        if cut:
            writer.write(b"%x\r\n%b\r\n" % (len(cut), cut))
        await writer.drain()
        await asyncio.sleep(0.02)
        return False

    return step


def delayed_stream(delay, start_times, *, pause=0.0):
    """Return a step that sends a stream of two events after a delay.

    Like an engine, it drops a request whose connection is closed before it starts.

    Parameters
    ----------
    delay : float
        Seconds until the first event.
    start_times : list
        Receives the time at which the stream started.
    pause : float, default=0.0
        Seconds between the two events.
    """

    async def step(endpoint, head, writer):
        try:
            async with asyncio.timeout(delay):
                await endpoint.reader.read(1)
            return False
        except TimeoutError:
            start_times.append(monotonic())
        writer.write(stream_head(head))
        writer.write(stream_event(1))
        await writer.drain()
        await asyncio.sleep(pause)
        writer.write(stream_event(2) + b"0\r\n\r\n")

    return step


def undroppable_stream(delay, start_times):
    """Return a step that starts a stream although its connection has been closed.

    Like every engine, it drops a request whose deadline passes before it starts, or
    that hasn't started when the engine is ordered to give up a layer.

    Parameters
    ----------
    delay : float
        Seconds until the stream starts.
    start_times : list
        Receives the time at which the stream started.
    """

    async def step(endpoint, head, writer):
        deadline = monotonic() + int(field(head, "X-Deadline-Ms")) / 1000
        await asyncio.sleep(delay)
        if monotonic() >= deadline or endpoint.is_retired:
            writer.write(response(head, 503, b"", ("X-Not-Run: 1",)))
            return
        start_times.append(monotonic())
        writer.write(stream_head(head) + stream_event(1) + b"0\r\n\r\n")

    return step


def make_relay(*, source=None, memory_bytes=0):
    """Return a relay that listens on free loopback ports."""
    return Relay(
        settings=RelaySettings(
            node="n",
            failure_domain="a",
            front="127.0.0.1:0",
            ready="127.0.0.1:0",
            operator_port=0,
            agent_port=0,
            memory_bytes=memory_bytes,
        ),
        source=source,
    )


def make_suspects(fleet):
    """Return the PoisonRequestTracker of an entry host without agents."""
    return PoisonRequestTracker(
        fleet=fleet, log=EventLog(node="test"), metrics=Metrics()
    )


def make_rate_limits(fleet, *, entry_hosts=lambda: 1, metrics=None):
    """Return the EndpointRateLimits of an entry host without agents."""
    return EndpointRateLimits(
        fleet=fleet,
        entry_hosts=entry_hosts,
        log=EventLog(node="test"),
        metrics=metrics or Metrics(),
    )


class RecordingLog:
    """Event log that keeps its entries."""

    def __init__(self):
        self.entries = []

    def decision(self, event, **fields):
        """Record a routine decision."""
        self.entries.append((event, fields))

    change = decision


ROUTES = (
    ("once", AT_MOST_ONCE, 1),
    ("again", IDEMPOTENT, 2),
    ("stream", STREAM, 2),
)


class ScriptedEngineClient:
    """Client of the engine of a ScriptedEndpoint, which holds the first version."""

    def __init__(self, endpoint):
        self._endpoint = endpoint

    async def snapshot(self):
        """Return the state of the engine."""
        return EngineSnapshot(
            version=1,
            layers=(1 if self._endpoint.is_retired else 0, 16),
            busy=False,
            sequence=0,
            running=0,
            waiting=0,
            pace=1.0,
        )

    async def retire(self, model, version, *, layers, sequence):
        """Let the engine start nothing from now on."""
        self._endpoint.is_retired = True
        return "status 202"


class StallingPool(ConnectionPool):
    """Connection pool that runs an action after each connection was acquired.

    The action runs between the selection of an endpoint and the send, and the event
    loop doesn't run again before the send. So an action that sleeps, closes the
    caller's socket or changes state simulates a process that stalled there.

    Parameters
    ----------
    id_header : str
    """

    __slots__ = ("actions", "last")

    def __init__(self, *, id_header):
        super().__init__(id_header=id_header)
        self.actions = []
        self.last = None

    async def acquire(self, key, address, **options):
        """Return a connection after running the next action, if it is not None."""
        connection = await super().acquire(key, address, **options)
        self.last = connection
        action = self.actions.pop(0) if self.actions else None
        if action is not None:
            action()
        return connection


class SuspendedClock:
    """Clock that includes simulated suspensions; the monotonic clock doesn't."""

    def __init__(self):
        self.suspended = 0.0

    def __call__(self):
        return boottime_clock() + self.suspended

    def suspend(self, seconds):
        """Simulate a suspension of the host."""
        self.suspended += seconds


class RelayHarness:
    """Endpoints, the handler of a relay, and callers, on one event loop."""

    def __init__(
        self,
        *endpoints,
        timeout=0.6,
        keys=None,
        confirmed=True,
        fleet=None,
        memory_limit=MEMORY_LIMIT,
        health_path="/health",
    ):
        self.endpoints = endpoints
        for number, endpoint in enumerate(endpoints):
            if isinstance(endpoint, ScriptedEndpoint):
                endpoint.endpoint_id = f"e{number}"
        self.health_path = health_path
        self.boottime_clock = SuspendedClock()
        self.timeout = timeout
        self.keys = keys or {}
        self.header_names = HeaderNames()
        self.fleet = fleet or Fleet(failure_domain="a")
        self.contact = PlatformContact()
        if confirmed:
            self.confirm_contact()
        self.log = RecordingLog()
        self.budgets = RetryBudgets(
            settings=RelaySettings(
                node="e", failure_domain="a", front="127.0.0.1:1", ready="127.0.0.1:2"
            ),
            entry_hosts=SimpleNamespace(settled=lambda now: self.entry_hosts),
            log=self.log,
            # Long ago, so that the allowance may be used.
            started_at=-math.inf,
            records=RetryRecords(host=""),
        )
        self.pool = StallingPool(id_header=self.header_names.request_id)
        self.metrics = Metrics()
        self.entry_hosts = 1
        self.expected_failures = 0
        self.memory = None
        if memory_limit is not None:
            self.memory = MemoryGuard(
                budget=MemoryBudget(limit=memory_limit),
                log=self.log,
                metrics=self.metrics,
            )
            self.pool.receive_buffer = MemoryGuard.receive_buffer
        self.server = None

    async def __aenter__(self):
        self.addresses = [await endpoint.start() for endpoint in self.endpoints]
        self.suspects = make_suspects(self.fleet)
        self.rate_limits = make_rate_limits(
            self.fleet, entry_hosts=lambda: self.entry_hosts, metrics=self.metrics
        )
        self.shutdown = Shutdown(fleet=self.fleet, clock=self.boottime_clock)
        admission = Admission(
            header_names=self.header_names,
            fleet=self.fleet,
            contact=self.contact,
            suspects=self.suspects,
            shutdown=self.shutdown,
            clock=self.boottime_clock,
        )
        self.timers = Timers(clock=self.boottime_clock)
        self.unattended = UnattendedEngines(
            fleet=self.fleet,
            engine_for=lambda address: ScriptedEngineClient(
                self.endpoints[self.addresses.index(address)]
            ),
            has_agent=lambda address: False,
            log=self.log,
        )
        ticks = Ticks()
        self.timer_task = asyncio.create_task(self.timers.run(ticks))
        self.retirement_task = asyncio.create_task(self.unattended.run(ticks))
        forwarder = Forwarder(
            admission=admission,
            timers=self.timers,
            fleet=self.fleet,
            pool=self.pool,
            header_names=self.header_names,
            budgets=self.budgets,
            suspects=self.suspects,
            shutdown=self.shutdown,
            rate_limits=self.rate_limits,
            signals=SignalReader(
                fleet=self.fleet,
                header_names=self.header_names,
                on_changed=self.rate_limits.share,
                log=self.log,
                metrics=self.metrics,
            ),
            log=self.log,
            metrics=self.metrics,
        )
        self.handler = Handler(
            forwarder=forwarder,
            admission=admission,
            timers=self.timers,
            suspects=self.suspects,
            shutdown=self.shutdown,
            header_names=self.header_names,
            log=self.log,
            metrics=self.metrics,
        )
        self.handler.set_catalog(self.make_catalog())
        self.fleet.step(
            CatalogChanged(service_by_name=self.handler.catalog.service_by_name),
            now=0.0,
        )
        self.fleet.step(EndpointsListed(entries=self.entries()), now=0.0)
        self.handler_errors = []
        self.server = HttpServer(
            host="127.0.0.1",
            port=0,
            handler=self.handler,
            on_handler_error=lambda error, request: self.handler_errors.append(error),
            memory=self.memory,
            metrics=self.metrics,
        )
        await self.server.start()
        return self

    async def __aexit__(self, *exc):
        self.timer_task.cancel()
        self.retirement_task.cancel()
        self.unattended.close()
        self.server.close()
        self.pool.close()
        for endpoint in self.endpoints:
            endpoint.close()
        await asyncio.sleep(0)
        assert self.handler_errors == []
        failures = self.metrics.counter_value("handler_failures_total")
        assert failures == self.expected_failures

    @property
    def budget(self):
        """RetryBudget of the service of all routes."""
        return self.budgets.for_service("s", now=self.boottime_clock())

    def confirm_contact(self):
        """Record a response of the platform that is current now."""
        now = self.boottime_clock()
        self.contact.step(Confirmed(at=now), now=now)

    def logged(self, event):
        """Return the fields of the log entries with an event name."""
        return [fields for name, fields in self.log.entries if name == event]

    async def ask(self, prefix, *, extra=(), read_time=3.0, request_id="r1"):
        """Make a request; return status, head, body and whether it is complete."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.bound_port
        )
        writer.write(_request(prefix, extra, request_id=request_id))
        async with asyncio.timeout(read_time):
            raw = await reader.read()
        writer.close()
        head, _, body = raw.partition(b"\r\n\r\n")
        text = head.decode()
        status = int(text.split(" ")[1]) if text else 0
        if "chunked" in text:
            complete = body.endswith(b"0\r\n\r\n")
            return status, text, unchunk(body), complete
        return status, text, body, bool(text)

    def call(self, prefix, *, extra=()):
        """Send a request and return its socket, which can be closed at any time."""
        caller = socket.create_connection(("127.0.0.1", self.server.bound_port))
        caller.sendall(_request(prefix, extra))
        return caller

    def make_catalog(self, *, revision=1, service="s", keys=None, without=()):
        """Return a configuration.

        Parameters
        ----------
        revision : int, default=1
        service : str, default="s"
            Service of all routes.
        keys : dict of str to str or None, default=None
            Organisations by key; those of the harness by default.
        without : collection of str
            Names of routes to leave out.
        """
        keys = self.keys if keys is None else keys
        routes = tuple(
            Route(
                name=name,
                host="svc.example",
                prefix=f"/{name}/",
                kind=kind,
                shares=(Share(service=service, weight=1.0),),
                timeout=self.timeout,
                objective=self.timeout,
                attempts=attempts,
                priority=1,
                public=not self.keys,
                resumable=kind == STREAM,
                event_timeout=self.timeout if kind == STREAM else None,
            )
            for name, kind, attempts in ROUTES
            if name not in without
        )
        return Catalog(
            revision=revision,
            routes=routes,
            service_by_name={
                name: Service(name=name, engine=ENGINE, health_path=self.health_path)
                for name in {"s", service}
            },
            requires_key=bool(self.keys),
            organisation_by_key={
                key: Organisation(name=name) for key, name in keys.items()
            },
        )

    def entries(self, *, leaving=(), gone=()):
        """Return the list of endpoints.

        Parameters
        ----------
        leaving : collection of int
            Indices of the endpoints marked as leaving.
        gone : collection of int
            Indices of the endpoints removed from the list.
        """
        return tuple(
            EndpointEntry(
                endpoint_id=f"e{number}",
                service="s",
                address=address,
                failure_domain="a",
                slots=4,
                weights_version=1,
                layers=(0, 16),
                leaving=number in leaving,
            )
            for number, address in enumerate(self.addresses)
            if number not in gone
        )


def _request(prefix, extra, *, request_id="r1"):
    lines = [
        f"POST /{prefix}/x?q=1 HTTP/1.1",
        "Host: svc.example",
        "X-Deadline-Ms: 3000",
        "Content-Length: 2",
        "Connection: close",
        *([f"X-Request-Id: {request_id}"] if request_id else []),
        *extra,
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\nhi"


def unchunk(body):
    """Return the data of a chunked body, which may be truncated."""
    data = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16) if size else 0
        if length == 0:
            break
        data += rest[:length]
        body = rest[length + 2 :]
    return data
