"""What the operating system knows of a connection, without consuming data."""

import contextlib
import enum
import errno
import fcntl
import select
import socket
import struct
import sys
import termios

#: Errors from peeking that don't tell whether the peer closed the connection: no data
#: is available, or the system doesn't support the call.
INCONCLUSIVE_ERRNOS = frozenset(
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


#: Events of a closed or broken connection. Not all systems know the first, which also
#: comes while unread data is available.
CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


class SocketState(enum.Enum):
    """What a look at a connection has found."""

    QUIET = "quiet"
    UNREAD = "unread"
    CLOSED = "closed"
    BROKEN = "broken"

    @property
    def has_ended(self):
        """Whether the peer has closed the connection, or it broke."""
        return self in (SocketState.CLOSED, SocketState.BROKEN)


def socket_state(connection):
    """Look at a connection without consuming its data.

    Linux reports the error of a connection once. After ``BROKEN`` the next read finds
    the end of the data, as if the peer had closed the connection.

    Parameters
    ----------
    connection : object
        A socket or an event loop's ``TransportSocket``; only its ``fileno`` is used.

    Returns
    -------
    SocketState
        ``QUIET`` also if the operating system doesn't tell.
    """
    try:
        data = _peek(connection.fileno())
    except OSError as error:
        is_inconclusive = error.errno in INCONCLUSIVE_ERRNOS
        return SocketState.QUIET if is_inconclusive else SocketState.BROKEN
    except ValueError:
        return SocketState.CLOSED
    return SocketState.UNREAD if data else SocketState.CLOSED


def is_closed_by_peer(connection):
    """Return whether the peer has closed a connection.

    Parameters
    ----------
    connection : object
        A socket or an event loop's ``TransportSocket``; only its ``fileno`` is used.

    Returns
    -------
    bool
        False also while unread data is available, where the operating system tells of
        a close only by a read.
    """
    try:
        poller = select.poll()
        poller.register(connection, select.POLLIN | CLOSED_EVENTS)
        ready = poller.poll(0)
        if not ready:
            return False
        # A read would take the error of a reset from the one that it is meant for.
        if ready[0][1] & CLOSED_EVENTS:
            return True
    except OSError as error:
        return error.errno not in INCONCLUSIVE_ERRNOS
    except ValueError:
        return True
    return socket_state(connection).has_ended


def has_unread_bytes(connection):
    """Return whether data of the peer has arrived that this process hasn't read.

    Parameters
    ----------
    connection : object
        A socket or an event loop's ``TransportSocket``; only its ``fileno`` is used.

    Returns
    -------
    bool
        False if the operating system doesn't tell.
    """
    return socket_state(connection) is SocketState.UNREAD


def unacknowledged_bytes(connection):
    """Return the bytes that the operating system holds and the peer hasn't received.

    Parameters
    ----------
    connection : object
        A socket or an event loop's ``TransportSocket``; only its ``fileno`` is used.

    Returns
    -------
    int
        0 if the operating system doesn't tell.
    """
    try:
        raw = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(raw, sys.byteorder)


def discard_unsent_bytes(connection):
    """Let the close of a connection reset it, and drop what wasn't sent.

    The operating system otherwise holds these bytes until the peer has received them.

    Parameters
    ----------
    connection : object
        A socket or an event loop's ``TransportSocket``.
    """
    with contextlib.suppress(OSError):
        option = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


def _peek(descriptor):
    # Uses a temporary socket object on the same descriptor: recv of a socket with a
    # timeout waits for data despite MSG_DONTWAIT, and an event loop's TransportSocket
    # has no recv.
    duplicate = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
    try:
        return duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    finally:
        duplicate.detach()
