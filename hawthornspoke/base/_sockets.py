"""A look at a connection without reading from it."""

import errno
import select
import socket

#: Errors of a look that say nothing of the other side: there is nothing to read, or
#: the system has no such look.
NO_WORD = frozenset(
    (
        errno.EACCES,
        errno.EAGAIN,
        errno.EINTR,
        errno.EINVAL,
        errno.ENOSYS,
        errno.EOPNOTSUPP,
        errno.EPERM,
    )
)


def has_hung_up(connection):
    """Tell whether the other side of a connection has closed it.

    Parameters
    ----------
    connection : object
        A socket, or what an event loop shows of one: its ``fileno`` is used.

    Returns
    -------
    bool
        False also while bytes wait to be read.
    """
    try:
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        if not poller.poll(0):
            return False
        return _peek(connection.fileno()) == b""
    except OSError as error:
        return error.errno not in NO_WORD
    except ValueError:
        return True


def _peek(descriptor):
    # A socket of our own on the same descriptor: one that has a timeout waits for
    # it whatever flags it is given, and an event loop's has no recv at all.
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
    try:
        return view.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    finally:
        view.detach()
