"""A look at a connection without reading from it."""

import select
import socket


def has_hung_up(connection):
    """Tell whether the other side of a connection has closed it.

    Parameters
    ----------
    connection : socket.socket

    Returns
    -------
    bool
        False also while bytes wait to be read.
    """
    try:
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        # Polled first: on a socket that has a timeout, recv waits for it
        # whatever flags it is given.
        if not poller.poll(0):
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
