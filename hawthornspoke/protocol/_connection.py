"""Outgoing Thrift connections, one call at a time each."""

import threading

from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from hawthornspoke.base import PARTITION, is_failure, monotonic
from hawthornspoke.protocol._codec import PROTOCOL_FACTORY
from hawthornspoke.protocol._failures import NOT_SENT, REPLY_LOST, TOO_LATE
from hawthornspoke.protocol._gen.Node import Client

#: Seconds that opening a connection may take. A cut failure domain swallows the
#: first packet, so without a limit each request there would hang for minutes.
CONNECT_TIMEOUT = 0.5

MAX_FRAME_BYTES = 64 * 1024 * 1024


class Connection:
    """One TCP connection to a node, owned by one task.

    Parameters
    ----------
    address : str
    port : int
    """

    __slots__ = ("address", "port", "_socket", "_client")

    def __init__(self, *, address, port):
        self.address = address
        self.port = port
        self._socket = None
        self._client = None

    def call(self, method, *arguments, deadline, objection=None):
        """Call a method of the node.

        Parameters
        ----------
        method : str
            A method of the Thrift service ``Node``.
        *arguments : Thrift structs or plain values
        deadline : float
            On the monotonic clock.
        objection : callable or None, default=None
            Looked at once the connection is open; returns a Failure if nothing may
            be sent any more.

        Returns
        -------
        Thrift struct or Failure
            ``TOO_LATE``, ``NOT_SENT`` and an objection prove that the node got
            nothing; ``REPLY_LOST`` says that nobody here can know.
        """
        remaining = deadline - monotonic()
        if remaining <= 0:
            return TOO_LATE.because(f"no time left to call {method}")
        if PARTITION.blocks(self.address):
            self.close()
            return NOT_SENT.because(f"{self.address} is cut off")
        opened = self._open(remaining)
        if is_failure(opened):
            return opened
        # The connection may have taken time, or the process may have been
        # paused; a call sent after its deadline would act for a caller who has
        # already been told otherwise, so the clock is read again.
        failure = objection() if objection is not None else None
        if failure is not None:
            return failure
        remaining = deadline - monotonic()
        if remaining <= 0:
            return TOO_LATE.because(f"no time left to call {method}")
        self._socket.setTimeout(remaining * 1000)
        try:
            return getattr(self._client, method)(*arguments)
        except (TException, OSError, EOFError) as error:
            self.close()
            return REPLY_LOST.because(f"{method} at {self.address}: {error}")

    def close(self):
        """Close the connection; the next call opens a new one."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._client = None

    def _open(self, remaining):
        if self._client is not None:
            return None
        socket = TSocket(host=self.address, port=self.port)
        socket.setTimeout(min(remaining, CONNECT_TIMEOUT) * 1000)
        try:
            socket.open()
        except (TTransportException, OSError) as error:
            return NOT_SENT.because(f"connect to {self.address}: {error}")
        transport = TFramedTransport(socket)
        protocol = PROTOCOL_FACTORY.getProtocol(transport)
        self._socket = socket
        self._client = Client(protocol)
        return None


class ConnectionPool:
    """Idle connections by node address; a connection has one user at a time.

    Parameters
    ----------
    idle_per_node : int, default=8
        Idle connections kept for each node.
    """

    __slots__ = ("idle_per_node", "_idle_by_address", "_lock")

    def __init__(self, *, idle_per_node=8):
        self.idle_per_node = idle_per_node
        self._idle_by_address = {}
        self._lock = threading.Lock()

    def take(self, *, address, port):
        """Return a connection for the caller alone.

        Parameters
        ----------
        address : str
        port : int

        Returns
        -------
        Connection
        """
        with self._lock:
            idle = self._idle_by_address.get((address, port))
            if idle:
                return idle.pop()
        return Connection(address=address, port=port)

    def give_back(self, connection):
        """Keep a connection whose last call got its whole reply.

        Parameters
        ----------
        connection : Connection

        Notes
        -----
        A connection with an unread reply would hand that late answer to the
        next request. :meth:`Connection.call` closes on every failure, so what
        comes back here has nothing left to read.
        """
        key = (connection.address, connection.port)
        with self._lock:
            idle = self._idle_by_address.setdefault(key, [])
            if len(idle) < self.idle_per_node:
                idle.append(connection)
                return
        connection.close()

    def forget(self, *, address, port):
        """Close the idle connections to a node.

        Parameters
        ----------
        address : str
        port : int
        """
        with self._lock:
            idle = self._idle_by_address.pop((address, port), [])
        for connection in idle:
            connection.close()
