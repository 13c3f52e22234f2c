"""Socket options of connections to endpoints and other hosts."""

import contextlib
import socket

#: Milliseconds that sent bytes may stay unacknowledged before the connection fails.
#: A peer can disappear without a reset; a request would then wait until its deadline.
#: A round trip between regions takes a few milliseconds and a lost packet is
#: retransmitted within 200 ms, so one second means several losses in a row.
USER_TIMEOUT_MS = 1000

#: TCP keep-alive: idle seconds before the first probe, seconds between probes, and
#: number of unanswered probes after which the connection is dropped.
KEEPALIVE_IDLE = 2
KEEPALIVE_INTERVAL = 1
KEEPALIVE_PROBES = 2


def set_socket_options(sock):
    """Enable detection of unresponsive peers and disable Nagle's algorithm.

    Parameters
    ----------
    sock : socket.socket
    """
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, name, value in options:
        # Without an option that the operating system lacks, failures are only
        # detected later.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)
