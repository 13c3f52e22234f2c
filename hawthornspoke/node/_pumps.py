"""Tasks that feed the control actor: time and datagrams."""

import threading

from hawthornspoke.node._messages import DatagramArrived, TimePassed

TICK_SECONDS = 0.1


class Ticker:
    """Tells an actor that time passed, ten times a second.

    Parameters
    ----------
    actor : pykka.ActorRef
    """

    __slots__ = ("actor", "_stopped")

    def __init__(self, *, actor):
        self.actor = actor
        self._stopped = threading.Event()

    def start(self):
        """Start the task."""
        threading.Thread(target=self._run, name="ticker", daemon=True).start()

    def stop(self):
        """Stop the task."""
        self._stopped.set()

    def _run(self):
        while not self._stopped.wait(TICK_SECONDS):
            if not self.actor.is_alive():
                return
            self.actor.tell(TimePassed())


class DatagramPump:
    """Reads a socket and tells an actor of each datagram.

    Parameters
    ----------
    socket : hawthornspoke.protocol.DatagramSocket
    actor : pykka.ActorRef
    """

    __slots__ = ("socket", "actor")

    def __init__(self, *, socket, actor):
        self.socket = socket
        self.actor = actor

    def start(self):
        """Start the task; it ends when the socket is closed."""
        threading.Thread(target=self._run, name="datagrams", daemon=True).start()

    def _run(self):
        while True:
            received = self.socket.receive()
            if received is None or not self.actor.is_alive():
                return
            datagram, source = received
            if datagram is not None:
                self.actor.tell(DatagramArrived(datagram=datagram, source=source))
