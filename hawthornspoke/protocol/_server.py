"""Thrift server of a node."""

import socket
import threading

from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from hawthornspoke.base import is_closed_by_peer
from hawthornspoke.protocol._codec import MAX_FRAME_BYTES, PROTOCOL_FACTORY
from hawthornspoke.protocol._gen.Node import Processor

LISTEN_BACKLOG = 512

_thread_state = threading.local()


class RpcServer:
    """Accepts connections and serves each in its own thread.

    Parameters
    ----------
    address : str
    port : int
    handler : object
        Implements the Thrift service ``Node``.

    Notes
    -----
    The Thrift library's threaded server can neither be stopped nor close its
    connections; a draining process has to do both.
    """

    __slots__ = ("address", "port", "handler", "_listener", "_sockets", "_lock")

    def __init__(self, *, address, port, handler):
        self.address = address
        self.port = port
        self.handler = handler
        self._listener = None
        self._sockets = set()
        self._lock = threading.Lock()

    def open(self):
        """Bind the address and start accepting connections.

        Raises
        ------
        OSError
            If the address is in use.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.address, self.port))
        listener.listen(LISTEN_BACKLOG)
        self._listener = listener
        threading.Thread(target=self._accept, name="rpc-accept", daemon=True).start()

    def close(self):
        """Stop accepting and close every connection."""
        listener = self._listener
        self._listener = None
        if listener is not None:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for connection in sockets:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    @staticmethod
    def is_caller_disconnected():
        """Return whether the caller has closed its connection.

        Must be called on the handler's thread, whose connection is checked.

        Returns
        -------
        bool
        """
        connection = getattr(_thread_state, "connection", None)
        return connection is not None and is_closed_by_peer(connection)

    @staticmethod
    def disconnect_check():
        """Return a function that checks for a disconnect, callable from any thread.

        Must itself be called on the handler's thread, whose connection is checked.

        Returns
        -------
        callable
            Returns whether the caller has closed its connection.
        """
        connection = getattr(_thread_state, "connection", None)
        return lambda: connection is not None and is_closed_by_peer(connection)

    def _accept(self):
        while True:
            listener = self._listener
            if listener is None:
                return
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), name="rpc", daemon=True
            ).start()

    def _serve(self, connection):
        with self._lock:
            self._sockets.add(connection)
        _thread_state.connection = connection
        thrift_socket = TSocket()
        thrift_socket.setHandle(connection)
        transport = TFramedTransport(thrift_socket, MAX_FRAME_BYTES)
        protocol = PROTOCOL_FACTORY.getProtocol(transport)
        processor = Processor(self.handler)
        try:
            while True:
                processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            pass
        finally:
            with self._lock:
                self._sockets.discard(connection)
            transport.close()
