"""The parts of an agent process, put together."""

import signal
import threading
import time

import pykka
from loguru import logger

from hawthornspoke.agent._control import AgentControl
from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._fetch_actor import MANIFEST_INDEX, pack_bitmap
from hawthornspoke.agent._runs import Run
from hawthornspoke.base import monotonic
from hawthornspoke.metrics import Metrics
from hawthornspoke.node import (
    Call,
    DatagramPump,
    DrainOrdered,
    NodeHandler,
    OperatorServer,
    Ticker,
)
from hawthornspoke.protocol import (
    PROTOCOL_VERSION,
    Chunk,
    DatagramSocket,
    Event,
    EventKind,
    Events,
    Holdings,
    RpcServer,
)
from hawthornspoke.swarm import ChunkStore, Link

POLL_SECONDS = 0.05
ASK_SECONDS = 5.0

#: Seconds after a refused request until its last event may be dropped.
FIRST_WAIT = 0.02


class _Handler(NodeHandler):
    """The Thrift service of an agent."""

    __slots__ = (
        "store",
        "link_out",
        "metrics",
        "run_by_id",
        "_serving",
        "_revision_seen",
    )

    def __init__(self, *, actor, store, link_out, metrics, serve_slots):
        super().__init__(actor=actor)
        self.store = store
        self.link_out = link_out
        self.metrics = metrics
        self.run_by_id = {}
        self._serving = threading.BoundedSemaphore(serve_slots)
        self._revision_seen = 0

    def running(self):
        """Return how many requests are in progress here."""
        return self.ask("load_counts")[0]

    def submit(self, request):
        """Pass a request to the gate and return its first events."""
        deadline = monotonic() + (request.remaining_ms or 0) / 1000
        run = Run(submit=request, deadline=deadline)
        if RpcServer.caller_gone():
            # This process was paused between the arrival of the request and
            # now, and the entry host has given it up meanwhile. Run now, it
            # would be work whose caller has been told something else.
            self.metrics.count("stale_submits_total")
            refused = Event(kind=EventKind.REFUSED, reason="busy: caller is gone")
            return self._events(request.request_id, [refused])
        self._hear(request.revision)
        self.run_by_id[request.request_id] = run
        self._revision_seen = self.ask("submit", run=run)
        return self._take(request.request_id, run, FIRST_WAIT)

    def read(self, request_id, max_wait_ms):
        """Return further events of a request."""
        run = self.run_by_id.get(request_id)
        if run is None:
            failed = Event(kind=EventKind.FAILED, reason="request is not known here")
            return self._events(request_id, [failed])
        return self._take(request_id, run, max_wait_ms / 1000)

    def cancel(self, request_id):
        """End a request whose caller is gone."""
        self.run_by_id.pop(request_id, None)
        self.ask("cancel", request_id=request_id)

    def chunk(self, ask):
        """Return one verified chunk, or the manifest."""
        if ask.index == MANIFEST_INDEX:
            return self._manifest(ask.digest)
        data = self.store.get(ask.digest, ask.index)
        if data is None:
            return Chunk(version=PROTOCOL_VERSION, reason="missing")
        if not self._serving.acquire(blocking=False):
            return Chunk(version=PROTOCOL_VERSION, reason="busy")
        try:
            time.sleep(self.link_out.reserve(len(data)))
        finally:
            self._serving.release()
        self.metrics.count("chunk_bytes_sent_total", len(data))
        return Chunk(version=PROTOCOL_VERSION, data=data)

    def holdings(self, digest):
        """Return which chunks of some weights are held."""
        indices = self.store.indices(digest)
        return Holdings(
            version=PROTOCOL_VERSION, bitmap=pack_bitmap(indices), held=len(indices)
        )

    def _manifest(self, digest):
        manifest = self.store.manifest(digest)
        if manifest is None:
            return Chunk(version=PROTOCOL_VERSION, reason="missing")
        return Chunk(version=PROTOCOL_VERSION, data=manifest.to_bytes())

    def _take(self, request_id, run, wait):
        events = run.take(wait)
        if run.ended:
            self.run_by_id.pop(request_id, None)
            self.tell("forget_run", request_id=request_id)
        return self._events(request_id, events)

    def _events(self, request_id, events):
        return Events(
            version=PROTOCOL_VERSION,
            revision=self._revision_seen,
            request_id=request_id,
            events=events,
        )

    def _hear(self, revision):
        if revision:
            self.tell("hear_revision", revision=revision)


class AgentProcess:
    """An endpoint host's process.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = (
        "settings",
        "metrics",
        "store",
        "_actor",
        "_socket",
        "_rpc",
        "_operator",
        "_ticker",
        "_stop",
    )

    def __init__(self, *, settings):
        self.settings = settings
        self.metrics = Metrics()
        self.store = ChunkStore(capacity=settings["memory"])
        self._actor = None
        self._socket = None
        self._rpc = None
        self._operator = None
        self._ticker = None
        self._stop = threading.Event()

    def start(self):
        """Open all sockets and start to serve.

        Raises
        ------
        OSError
            If an address is taken: another agent is on this host, and orders to
            its engine have one writer.
        """
        settings = self.settings
        self._socket = DatagramSocket(
            address=settings["address"], port=settings["port"]
        )
        self._socket.open()
        rate = float(settings["link_rate"])
        engine = ENGINES.get(settings["engine_kind"])(url=settings["engine_url"])
        self._actor = AgentControl.start(
            settings=settings,
            socket=self._socket,
            metrics=self.metrics,
            store=self.store,
            engine=engine,
            link=Link(rate=rate),
        )
        handler = _Handler(
            actor=self._actor,
            store=self.store,
            link_out=Link(rate=rate),
            metrics=self.metrics,
            serve_slots=settings["serve_slots"],
        )
        self._rpc = RpcServer(
            address=settings["address"], port=settings["port"], handler=handler
        )
        self._rpc.open()
        self._open_operator()
        DatagramPump(socket=self._socket, actor=self._actor).start()
        self._ticker = Ticker(actor=self._actor)
        self._ticker.start()
        logger.info("agent {} serves on {}", settings["node"], settings["port"])

    def _open_operator(self):
        settings = self.settings
        self._operator = OperatorServer(
            address=settings["address"],
            port=settings["operator_port"],
            control=self._actor,
            metrics=self.metrics,
            is_ready=self._is_ready,
            allow_faults=settings["allow_faults"],
        )
        self._operator.open()

    def _is_ready(self):
        call = Call(method="is_ready", arguments={})
        try:
            return self._actor.ask(call, timeout=ASK_SECONDS)
        except (pykka.Timeout, pykka.ActorDeadError):
            return False

    def stop(self):
        """Refuse new work, finish what runs, then end."""
        if self._stop.is_set():
            return
        self._stop.set()
        self._actor.tell(DrainOrdered(reason="shutdown"))
        deadline = monotonic() + self.settings["grace"]
        while monotonic() < deadline and not self._is_idle():
            threading.Event().wait(POLL_SECONDS)
        self._rpc.close()
        self._operator.close()
        self._ticker.stop()
        self._socket.close()
        self._actor.stop()

    def _is_idle(self):
        """Tell whether nothing runs and every last event was handed over."""
        call = Call(method="is_idle", arguments={})
        try:
            return self._actor.ask(call, timeout=ASK_SECONDS)
        except pykka.Timeout:
            return False

    def run(self):
        """Serve until SIGTERM or SIGINT, then leave gracefully."""
        woken = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: woken.set())
        signal.signal(signal.SIGINT, lambda *_: woken.set())
        self.start()
        woken.wait()
        self.stop()
