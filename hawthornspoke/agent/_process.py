"""Assembly of an agent process and its Thrift handler."""

import threading
import time

from hawthornspoke.agent._control import AgentControl
from hawthornspoke.agent._engines import ENGINES
from hawthornspoke.agent._fetch_actor import MANIFEST_INDEX, pack_bitmap
from hawthornspoke.agent._runs import Run
from hawthornspoke.base import boottime_clock, monotonic
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
from hawthornspoke.swarm import ChunkStore, LinkRateLimiter

#: Seconds for which the reply to a submit waits for the first response events. They
#: usually arrive within this time, which saves the entry host a separate read call.
FIRST_EVENT_TIMEOUT = 0.02


class _Handler(NodeHandler):
    """Handler of an agent's Thrift service."""

    __slots__ = (
        "store",
        "link_out",
        "metrics",
        "run_by_id",
        "_upload_slots",
        "_known_revision",
    )

    def __init__(self, *, actor, store, link_out, metrics, serve_slots):
        super().__init__(actor=actor)
        self.store = store
        self.link_out = link_out
        self.metrics = metrics
        self.run_by_id = {}
        self._upload_slots = threading.BoundedSemaphore(serve_slots)
        self._known_revision = 0

    def running(self):
        """Return the number of running requests."""
        return self.ask("load_counts")[0]

    def submit(self, request):
        """Submit a request to the gate and return its first events."""
        remaining = (request.remaining_ms or 0) / 1000
        run = Run(
            submit=request,
            deadline=monotonic() + remaining,
            boottime_deadline=boottime_clock() + remaining,
            is_caller_disconnected=RpcServer.disconnect_check(),
        )
        if RpcServer.is_caller_disconnected():
            # This process was paused after the request arrived. Meanwhile the entry
            # host closed the connection and reported another result to its caller, so
            # the request must not run.
            self.metrics.count("stale_submits_total")
            refused = Event(kind=EventKind.REFUSED, reason="busy: caller is gone")
            return self._events(request.request_id, [refused])
        self._report_revision(request.revision)
        self.run_by_id[request.request_id] = run
        self._known_revision = self.ask("submit", run=run)
        return self._read_events(request.request_id, run, FIRST_EVENT_TIMEOUT)

    def read(self, request_id, max_wait_ms):
        """Return further events of a request."""
        run = self.run_by_id.get(request_id)
        if run is None:
            failed = Event(kind=EventKind.FAILED, reason="request is not known here")
            return self._events(request_id, [failed])
        return self._read_events(request_id, run, max_wait_ms / 1000)

    def cancel(self, request_id):
        """Cancel a request whose caller has disconnected."""
        self.run_by_id.pop(request_id, None)
        self.ask("cancel", request_id=request_id)

    def chunk(self, ask):
        """Return one verified chunk, or the manifest for ``MANIFEST_INDEX``."""
        if ask.index == MANIFEST_INDEX:
            return self._manifest(ask.digest)
        data = self.store.get(ask.digest, ask.index)
        if data is None:
            return Chunk(version=PROTOCOL_VERSION, reason="missing")
        if not self._upload_slots.acquire(blocking=False):
            return Chunk(version=PROTOCOL_VERSION, reason="busy")
        try:
            time.sleep(self.link_out.reserve(len(data)))
        finally:
            self._upload_slots.release()
        self.metrics.count("chunk_bytes_sent_total", len(data))
        return Chunk(version=PROTOCOL_VERSION, data=data)

    def holdings(self, digest):
        """Return which chunks of the weights this host holds."""
        indices = self.store.indices(digest)
        return Holdings(
            version=PROTOCOL_VERSION, bitmap=pack_bitmap(indices), held=len(indices)
        )

    def _manifest(self, digest):
        manifest = self.store.manifest(digest)
        if manifest is None:
            return Chunk(version=PROTOCOL_VERSION, reason="missing")
        return Chunk(version=PROTOCOL_VERSION, data=manifest.to_bytes())

    def _read_events(self, request_id, run, wait):
        events = run.next_events(wait)
        if run.ended:
            self.run_by_id.pop(request_id, None)
            self.tell("forget_run", request_id=request_id)
        return self._events(request_id, events)

    def _events(self, request_id, events):
        return Events(
            version=PROTOCOL_VERSION,
            revision=self._known_revision,
            request_id=request_id,
            events=events,
        )

    def _report_revision(self, revision):
        if revision:
            self.tell("hear_revision", revision=revision)


class AgentProcess(NodeProcess):
    """Agent process of an endpoint host.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = ("store",)

    def __init__(self, *, settings):
        super().__init__(settings=settings)
        self.store = ChunkStore(capacity=settings["memory"])

    def start_control(self):
        """Start the control actor and return its reference."""
        settings = self.settings
        engine = ENGINES.get(settings["engine_kind"])(url=settings["engine_url"])
        return AgentControl.start(
            settings=settings,
            socket=self.socket,
            metrics=self.metrics,
            store=self.store,
            engine=engine,
            link=LinkRateLimiter(rate=float(settings["link_rate"])),
        )

    def make_handler(self):
        """Return the Thrift handler."""
        return _Handler(
            actor=self.actor,
            store=self.store,
            link_out=LinkRateLimiter(rate=float(self.settings["link_rate"])),
            metrics=self.metrics,
            serve_slots=self.settings["serve_slots"],
        )

    def is_idle(self):
        """Return whether nothing runs and entry hosts have read all response events."""
        return self.ask("is_idle") is True
