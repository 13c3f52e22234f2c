"""The parts of an agent process, put together."""

import threading
import time

from hawthornspoke.agent._control import AgentControl
from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._fetch_actor import MANIFEST_INDEX, pack_bitmap
from hawthornspoke.agent._runs import Run
from hawthornspoke.base import contact_clock, monotonic
from hawthornspoke.node import NodeHandler, NodeProcess
from hawthornspoke.protocol import (
    PROTOCOL_VERSION,
    Chunk,
    Event,
    EventKind,
    Events,
    Holdings,
    RpcServer,
)
from hawthornspoke.swarm import ChunkStore, Link

#: Seconds that a submit waits for the first event, which is most often there.
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
        remaining = (request.remaining_ms or 0) / 1000
        run = Run(
            submit=request,
            deadline=monotonic() + remaining,
            contact_deadline=contact_clock() + remaining,
            caller_gone=RpcServer.look_at_caller(),
        )
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


class AgentProcess(NodeProcess):
    """An endpoint host's process.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = ("store",)

    def __init__(self, *, settings):
        super().__init__(settings=settings)
        self.store = ChunkStore(capacity=settings["memory"])

    def start_control(self):
        """Start the control actor."""
        settings = self.settings
        engine = ENGINES.get(settings["engine_kind"])(url=settings["engine_url"])
        return AgentControl.start(
            settings=settings,
            socket=self.socket,
            metrics=self.metrics,
            store=self.store,
            engine=engine,
            link=Link(rate=float(settings["link_rate"])),
        )

    def make_handler(self):
        """Return the Thrift handler."""
        return _Handler(
            actor=self.actor,
            store=self.store,
            link_out=Link(rate=float(self.settings["link_rate"])),
            metrics=self.metrics,
            serve_slots=self.settings["serve_slots"],
        )

    def is_idle(self):
        """Tell whether nothing runs and every last event was handed over."""
        return self.ask("is_idle") is True
