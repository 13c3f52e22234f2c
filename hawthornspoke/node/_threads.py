"""Threads that send timer ticks and datagrams to the control actor."""

import threading

from hawthornspoke.node._messages import DatagramReceived, TimerTick

TICK_INTERVAL = 0.1


class Ticker:
    """Sends an actor a message ten times a second.

    Parameters
    ----------
    actor : pykka.ActorRef
    """

    __slots__ = ("actor", "_stopped")

    def __init__(self, *, actor):
        self.actor = actor
        self._stopped = threading.Event()

    def start(self):
        """Start the thread."""
        threading.Thread(target=self._run, name="ticker", daemon=True).start()

    def stop(self):
        """Stop the thread."""
        self._stopped.set()

    def _run(self):
        while not self._stopped.wait(TICK_INTERVAL):
            if not self.actor.is_alive():
                return
            self.actor.tell(TimerTick())


class DatagramReceiver:
    """Receives datagrams from a socket and sends them to an actor.

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
        """Start the thread; it ends when the socket is closed."""
        threading.Thread(target=self._run, name="datagrams", daemon=True).start()

    def _run(self):
        while True:
            received = self.socket.receive()
            if received is None or not self.actor.is_alive():
                return
            datagram, source = received
            if datagram is not None:
                self.actor.tell(DatagramReceived(datagram=datagram, source=source))
