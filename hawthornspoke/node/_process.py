"""Common lifecycle of entry and agent processes."""

import json
import signal
import sys
import threading

import pykka
from loguru import logger

from hawthornspoke.base import StopSignals, monotonic
from hawthornspoke.metrics import Metrics
from hawthornspoke.node._messages import Call, DrainRequested, DumpRequested
from hawthornspoke.node._operator import OperatorServer
from hawthornspoke.node._threads import DatagramReceiver, Ticker
from hawthornspoke.protocol import DatagramSocket, RpcServer

IDLE_CHECK_INTERVAL = 0.05
ACTOR_TIMEOUT = 5.0


class NodeProcess:
    """Process of one role; subclasses add the components of the role.

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
        """Open all sockets and start serving.

        Raises
        ------
        OSError
            If an address is in use. The datagram port is bound first and
            exclusively. The kernel keeps it bound while the process is suspended,
            so no second agent can start and control the engine too.
        """
        try:
            self._start()
        except OSError:
            # Threads of the sockets that are already open would keep the process
            # alive without serving, and its supervisor would consider it started.
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
        DatagramReceiver(socket=self.socket, actor=self.actor).start()
        self._ticker = Ticker(actor=self.actor)
        self._ticker.start()
        logger.info("{} is listening on port {}", settings["node"], settings["port"])

    def stop(self):
        """Shut down gracefully: reject new work and finish running requests.

        Notes
        -----
        Further calls have no effect: a second signal of an operator or a supervisor
        must not interrupt requests in progress.
        """
        if self._stop.is_set():
            return
        self._stop.set()
        self.actor.tell(DrainRequested(reason="shutdown"))
        # A load balancer keeps routing requests here until a check of /readyz fails.
        accept_until = monotonic() + self.leave_wait()
        deadline = accept_until + self.settings["grace"]
        self.begin_shutdown(deadline)
        while monotonic() < accept_until or (
            monotonic() < deadline and not self.is_idle()
        ):
            threading.Event().wait(IDLE_CHECK_INTERVAL)
        self._close()

    def _close(self):
        """Close all open resources, also after a start that failed midway."""
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
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        stop_signals = StopSignals()
        stop_signals.install()
        signal.signal(signal.SIGUSR1, self._start_dump)
        self.start()
        stop_signals.wait()
        self.stop()

    def ask(self, method):
        """Call a method of the control actor.

        Parameters
        ----------
        method : str

        Returns
        -------
        object
            Result of the method; False if the actor has stopped or the call timed out.
        """
        call = Call(method=method, arguments={})
        try:
            return self.actor.ask(call, timeout=ACTOR_TIMEOUT)
        except (pykka.Timeout, pykka.ActorDeadError):
            return False

    def is_ready(self):
        """Return whether a load balancer may route requests here."""
        return self.ask("is_ready") is True

    # Hooks for subclasses.

    def start_control(self):
        """Start the role's control actor and return it."""
        raise NotImplementedError

    def make_handler(self):
        """Return the role's Thrift handler."""
        raise NotImplementedError

    def is_idle(self):
        """Return whether no request is in progress."""
        raise NotImplementedError

    def role_servers(self):
        """Return additional servers of the role."""
        return []

    def leave_wait(self):
        """Return for how many seconds a process that shuts down still accepts work."""
        return 0.0

    def begin_shutdown(self, deadline):
        """Let running requests end before a deadline on the monotonic clock."""

    def stop_role(self):
        """Stop the components of the role."""

    def _start_dump(self, *_):
        """Write the state from another thread: a signal handler must not block."""
        threading.Thread(target=self._dump, name="dump", daemon=True).start()

    def _dump(self):
        try:
            state = self.actor.ask(DumpRequested(), timeout=ACTOR_TIMEOUT)
        except (pykka.Timeout, pykka.ActorDeadError) as error:
            state = {"error": repr(error)}
        print(json.dumps(state, sort_keys=True), file=sys.stderr, flush=True)

    def _open(self, server):
        server.open()
        self._servers.append(server)
