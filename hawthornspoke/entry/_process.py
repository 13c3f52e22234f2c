"""The parts of an entry process, put together."""

import signal
import threading

from loguru import logger

from hawthornspoke.base import monotonic
from hawthornspoke.entry._claims_runner import ClaimJanitor, ClaimRunner
from hawthornspoke.entry._client import ControlClient
from hawthornspoke.entry._control import EntryControl
from hawthornspoke.entry._pipeline import Pipeline
from hawthornspoke.metrics import Metrics
from hawthornspoke.node import (
    DatagramPump,
    DrainOrdered,
    NodeHandler,
    OperatorServer,
    Ticker,
    connect_platform,
)
from hawthornspoke.protocol import ConnectionPool, DatagramSocket, RpcServer
from hawthornspoke.web import HttpServer

POLL_SECONDS = 0.05


class _Handler(NodeHandler):
    """The Thrift service of an entry host."""

    __slots__ = ("pipeline",)

    def __init__(self, *, actor, pipeline):
        super().__init__(actor=actor)
        self.pipeline = pipeline

    def running(self):
        """Return how many requests are in progress here."""
        return len(self.pipeline.running)


class EntryProcess:
    """An entry host's process.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = (
        "settings",
        "metrics",
        "pipeline",
        "_actor",
        "_janitor",
        "_socket",
        "_rpc",
        "_http",
        "_operator",
        "_ticker",
        "_stop",
    )

    def __init__(self, *, settings):
        self.settings = settings
        self.metrics = Metrics()
        self.pipeline = None
        self._actor = None
        self._janitor = None
        self._socket = None
        self._rpc = None
        self._http = None
        self._operator = None
        self._ticker = None
        self._stop = threading.Event()

    def start(self):
        """Open all sockets and start to serve.

        Raises
        ------
        OSError
            If an address is taken.
        """
        settings = self.settings
        self._socket = DatagramSocket(
            address=settings["address"], port=settings["port"]
        )
        self._socket.open()
        self._actor = EntryControl.start(
            settings=settings, socket=self._socket, metrics=self.metrics
        )
        control = ControlClient(actor=self._actor)
        clients = connect_platform(settings.platform)
        self._janitor = ClaimJanitor.start(clients=clients, metrics=self.metrics)
        self.pipeline = Pipeline(
            control=control,
            claims=ClaimRunner(clients=clients, janitor=self._janitor),
            pool=ConnectionPool(),
            metrics=self.metrics,
            default_timeout=float(settings["default_timeout"]),
        )
        self._open_servers(control)
        DatagramPump(socket=self._socket, actor=self._actor).start()
        self._ticker = Ticker(actor=self._actor)
        self._ticker.start()
        logger.info("entry {} serves on {}", settings["node"], settings["http_port"])

    def _open_servers(self, control):
        settings = self.settings
        handler = _Handler(actor=self._actor, pipeline=self.pipeline)
        self._rpc = RpcServer(
            address=settings["address"], port=settings["port"], handler=handler
        )
        self._rpc.open()
        self._http = HttpServer(
            address=settings["address"],
            port=settings["http_port"],
            handler=self.pipeline.handle,
            threads=settings["threads"],
            max_body=settings["max_body"],
        )
        self._http.open()
        self._operator = OperatorServer(
            address=settings["address"],
            port=settings["operator_port"],
            control=self._actor,
            metrics=self.metrics,
            is_ready=control.is_ready,
            allow_faults=settings["allow_faults"],
        )
        self._operator.open()

    def stop(self):
        """Leave gracefully: not ready first, then finish what runs, then end.

        Notes
        -----
        A second call while the first waits changes nothing: an operator or a
        supervisor that signals twice must not cut off requests in progress.
        """
        if self._stop.is_set():
            return
        self._stop.set()
        settings = self.settings
        self._actor.tell(DrainOrdered(reason="shutdown"))
        # The balancer goes on sending callers until it has seen /readyz fail.
        settled = monotonic() + settings["leave_wait"]
        deadline = settled + settings["grace"]
        while monotonic() < settled or (
            self.pipeline.running and monotonic() < deadline
        ):
            threading.Event().wait(POLL_SECONDS)
        self._http.close()
        self._rpc.close()
        self._operator.close()
        self._ticker.stop()
        self._janitor.stop()
        self._socket.close()
        self._actor.stop()

    def run(self):
        """Serve until SIGTERM or SIGINT, then leave gracefully."""
        woken = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: woken.set())
        signal.signal(signal.SIGINT, lambda *_: woken.set())
        self.start()
        woken.wait()
        self.stop()
