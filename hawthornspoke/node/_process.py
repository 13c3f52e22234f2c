"""The parts that entry and agent processes have in common, put together."""

import json
import signal
import sys
import threading

import pykka
from loguru import logger

from hawthornspoke.base import monotonic
from hawthornspoke.metrics import Metrics
from hawthornspoke.node._messages import Call, DrainOrdered, DumpAsked
from hawthornspoke.node._operator import OperatorServer
from hawthornspoke.node._pumps import DatagramPump, Ticker
from hawthornspoke.protocol import DatagramSocket, RpcServer

POLL_SECONDS = 0.05
ASK_SECONDS = 5.0


class NodeProcess:
    """A process of one role; subclasses add the role's own parts.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = (
        "settings",
        "metrics",
        "actor",
        "socket",
        "_servers",
        "_ticker",
        "_stop",
    )

    def __init__(self, *, settings):
        self.settings = settings
        self.metrics = Metrics()
        self.actor = None
        self.socket = None
        self._servers = []
        self._ticker = None
        self._stop = threading.Event()

    def start(self):
        """Open all sockets and start to serve.

        Raises
        ------
        OSError
            If an address is taken. The datagram port is bound first and alone:
            the kernel keeps it for a paused process too, so that a host's
            engine never gets orders from two agents.
        """
        try:
            self._start()
        except OSError:
            # What is open already has tasks that would keep the process alive
            # without serving: it would look started to its supervisor.
            self._close()
            raise

    def _start(self):
        settings = self.settings
        self.socket = DatagramSocket(address=settings["address"], port=settings["port"])
        self.socket.open()
        self.actor = self.start_control()
        self._open(
            RpcServer(
                address=settings["address"],
                port=settings["port"],
                handler=self.make_handler(),
            )
        )
        for server in self.role_servers():
            self._open(server)
        self._open(
            OperatorServer(
                address=settings["address"],
                port=settings["operator_port"],
                control=self.actor,
                metrics=self.metrics,
                is_ready=self.is_ready,
                allow_faults=settings["allow_faults"],
            )
        )
        DatagramPump(socket=self.socket, actor=self.actor).start()
        self._ticker = Ticker(actor=self.actor)
        self._ticker.start()
        logger.info("{} serves on {}", settings["node"], settings["port"])

    def stop(self):
        """Leave gracefully: take no new work, finish what runs, then end.

        Notes
        -----
        A second call while the first waits changes nothing: an operator or a
        supervisor that signals twice must not cut off requests in progress.
        """
        if self._stop.is_set():
            return
        self._stop.set()
        self.actor.tell(DrainOrdered(reason="shutdown"))
        # A balancer goes on sending callers until it has seen /readyz fail.
        settled = monotonic() + self.leave_wait()
        deadline = settled + self.settings["grace"]
        while monotonic() < settled or (monotonic() < deadline and not self.is_idle()):
            threading.Event().wait(POLL_SECONDS)
        self._close()

    def _close(self):
        """Close what is open, also of a start that failed half-way."""
        if self.actor is not None:
            self.stop_role()
        for server in self._servers:
            server.close()
        if self._ticker is not None:
            self._ticker.stop()
        self.socket.close()
        if self.actor is not None:
            self.actor.stop()

    def run(self):
        """Serve until SIGTERM or SIGINT, then leave gracefully."""
        woken = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: woken.set())
        signal.signal(signal.SIGINT, lambda *_: woken.set())
        signal.signal(signal.SIGUSR1, self._dump_soon)
        self.start()
        woken.wait()
        self.stop()

    def ask(self, method):
        """Ask the control actor; an actor that does not answer says no.

        Parameters
        ----------
        method : str

        Returns
        -------
        object
        """
        call = Call(method=method, arguments={})
        try:
            return self.actor.ask(call, timeout=ASK_SECONDS)
        except (pykka.Timeout, pykka.ActorDeadError):
            return False

    def is_ready(self):
        """Tell whether a balancer may send work here."""
        return self.ask("is_ready") is True

    # What a role adds.

    def start_control(self):
        """Start the role's control actor and return it."""
        raise NotImplementedError

    def make_handler(self):
        """Return the role's Thrift handler."""
        raise NotImplementedError

    def is_idle(self):
        """Tell whether nothing is in progress here."""
        raise NotImplementedError

    def role_servers(self):
        """Return further servers of the role."""
        return []

    def leave_wait(self):
        """Return the seconds for which a leaving process still takes work."""
        return 0.0

    def stop_role(self):
        """Stop what only the role has."""

    def _dump_soon(self, *_):
        """Write the state in a task of its own: a signal handler must not wait."""
        threading.Thread(target=self._dump, name="dump", daemon=True).start()

    def _dump(self):
        try:
            state = self.actor.ask(DumpAsked(), timeout=ASK_SECONDS)
        except (pykka.Timeout, pykka.ActorDeadError) as error:
            state = {"error": repr(error)}
        print(json.dumps(state, sort_keys=True), file=sys.stderr, flush=True)

    def _open(self, server):
        server.open()
        self._servers.append(server)
