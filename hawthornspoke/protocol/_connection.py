"""Thrift client connections, each with one call at a time."""

import threading

from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from hawthornspoke.base import PARTITION, is_failure, monotonic
from hawthornspoke.protocol._codec import MAX_FRAME_BYTES, PROTOCOL_FACTORY
from hawthornspoke.protocol._failures import NOT_SENT, REPLY_LOST, TOO_LATE
from hawthornspoke.protocol._gen.Node import Client

#: Maximum time to open a connection, in seconds. Packets to an unreachable failure
#: domain are dropped, so without a limit each request to it would hang for minutes.
CONNECT_TIMEOUT = 0.5


class Connection:
    """One TCP connection to a node, opened by the first call; not thread-safe.

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

    def call(self, method, *arguments, deadline, precheck=None):
        """Call a method of the node.

        Parameters
        ----------
        method : str
            A method of the Thrift service ``Node``.
        *arguments : Thrift structs or plain values
        deadline : float
            On the monotonic clock.
        precheck : callable or None, default=None
            Called once the connection is open; returns a Failure if the call must no
            longer be sent, otherwise None.

        Returns
        -------
        Thrift struct or Failure
            ``TOO_LATE``, ``NOT_SENT`` and a failure of ``precheck`` guarantee that
            the node received nothing; with ``REPLY_LOST`` it may have run the call.
        """
        remaining = deadline - monotonic()
        if remaining <= 0:
            return TOO_LATE.with_reason(f"no time left to call {method}")
        if PARTITION.blocks(self.address):
            self.close()
            return NOT_SENT.with_reason(f"{self.address} is cut off")
        open_failure = self._open(remaining)
        if is_failure(open_failure):
            return open_failure
        # Connecting takes time, and the process may have been paused. So the deadline
        # is checked again: a call sent after it would run although its caller has
        # already been told that it failed.
        failure = precheck() if precheck is not None else None
        if failure is not None:
            return failure
        remaining = deadline - monotonic()
        if remaining <= 0:
            return TOO_LATE.with_reason(f"no time left to call {method}")
        self._socket.setTimeout(remaining * 1000)
        try:
            return getattr(self._client, method)(*arguments)
        except (TException, OSError, EOFError) as error:
            self.close()
            return REPLY_LOST.with_reason(f"{method} at {self.address}: {error}")

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
            return NOT_SENT.with_reason(f"connect to {self.address}: {error}")
        transport = TFramedTransport(socket, MAX_FRAME_BYTES)
        protocol = PROTOCOL_FACTORY.getProtocol(transport)
        self._socket = socket
        self._client = Client(protocol)
        return None


class ConnectionPool:
    """Pool of idle connections by node address.

    Each connection is used by one caller at a time.

    Parameters
    ----------
    idle_per_node : int, default=8
        Maximum number of idle connections for each node.
    """

    __slots__ = ("idle_per_node", "_idle_by_address", "_lock")

    def __init__(self, *, idle_per_node=8):
        self.idle_per_node = idle_per_node
        self._idle_by_address = {}
        self._lock = threading.Lock()

    def acquire_connection(self, *, address, port):
        """Return a connection for exclusive use by the caller.

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

    def release_connection(self, connection):
        """Put a connection back whose last reply was read completely.

        Parameters
        ----------
        connection : Connection

        Notes
        -----
        On a connection with an unread reply, the next call would receive that reply
        as its own. :meth:`Connection.call` closes the connection when a reply is lost,
        so a connection that is put back has no unread data.
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
