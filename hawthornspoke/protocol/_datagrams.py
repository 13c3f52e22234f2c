"""UDP datagrams between nodes: gossip and chunk announcements."""

import socket

from hawthornspoke.base import PARTITION
from hawthornspoke.protocol._codec import decode, encode
from hawthornspoke.protocol._gen.ttypes import Datagram

MAX_DATAGRAM_BYTES = 60_000


class DatagramSocket:
    """UDP socket that sends and receives :class:`Datagram` structs.

    Parameters
    ----------
    address : str
    port : int
    """

    __slots__ = ("address", "port", "sent", "sent_bytes", "received_bytes", "_socket")

    def __init__(self, *, address, port):
        self.address = address
        self.port = port
        self.sent = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._socket = None

    def open(self):
        """Bind the socket.

        Raises
        ------
        OSError
            If another process has bound the port. The kernel keeps the port bound
            for a stopped process too, so a second agent on the host can't start.
        """
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
        bound.bind((self.address, self.port))
        self._socket = bound

    def send(self, datagram, targets):
        """Send one datagram to several nodes.

        Parameters
        ----------
        datagram : Datagram
        targets : iterable of (str, int)
            Addresses and ports. A lost, refused or oversized datagram is not
            reported: later datagrams carry the state again.
        """
        data = encode(datagram)
        if len(data) > MAX_DATAGRAM_BYTES:
            return
        for target in targets:
            if PARTITION.blocks(target[0]):
                continue
            try:
                self._socket.sendto(data, target)
            except OSError:
                continue
            self.sent += 1
            self.sent_bytes += len(data)

    def receive(self):
        """Wait for one datagram.

        Returns
        -------
        tuple of (Datagram or None, (str, int)) or None
            None if the socket is closed or can't be read. The datagram is None if it
            can't be decoded.
        """
        try:
            data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1024)
        except OSError:
            return None
        if not data:
            return None
        self.received_bytes += len(data)
        return decode(Datagram, data), source

    def close(self):
        """Close the socket and unblock a waiting :meth:`receive`."""
        if self._socket is None:
            return
        try:
            # Closing a socket does not interrupt a blocked recvfrom; an empty
            # datagram to the socket's own address does.
            self._socket.sendto(b"", (self.address, self.port))
        except OSError:
            pass
        self._socket.close()
