"""The Thrift server of a node."""

import socket
import threading

from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from hawthornspoke.base import has_hung_up
from hawthornspoke.protocol._codec import PROTOCOL_FACTORY
from hawthornspoke.protocol._gen.Node import Processor

LISTEN_BACKLOG = 512

_task = threading.local()


class RpcServer:
    """Accepts connections and serves each in a task of its own.

    Parameters
    ----------
    address : str
    port : int
    handler : object
        Implements the Thrift service ``Node``.

    Notes
    -----
    The library's threaded server can't be stopped nor told to close the
    connections it has; a drained process has to do both.
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
        """Bind and start accepting.

        Raises
        ------
        OSError
            If the address is taken.
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
    def caller_gone():
        """Tell, inside a handler, whether the calling process has hung up.

        Returns
        -------
        bool
        """
        connection = getattr(_task, "connection", None)
        return connection is not None and has_hung_up(connection)

    @staticmethod
    def caller_check():
        """Return, inside a handler, a look at its caller for other threads.

        Returns
        -------
        callable
            Tells whether the calling process has hung up.
        """
        connection = getattr(_task, "connection", None)
        return lambda: connection is not None and has_hung_up(connection)

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
        _task.connection = connection
        wrapped = TSocket()
        wrapped.setHandle(connection)
        transport = TFramedTransport(wrapped)
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
