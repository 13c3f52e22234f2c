"""Server in a thread that closes connections inside its responses."""

import contextlib
import socket
import struct
import threading

REQUEST_BYTES = 65536


@contextlib.contextmanager
def cutting_server(data, *, resets=False):
    """Answer each request by the same bytes, then close; provides the URL.

    Parameters
    ----------
    data : bytes
    resets : bool, default=False
        Whether the connection is reset in place of a regular close.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection:
                    connection.recv(REQUEST_BYTES)
                    connection.sendall(data)
                    if resets:
                        linger = struct.pack("ii", 1, 0)
                        connection.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )

    threading.Thread(target=serve, daemon=True).start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.close()


#: Heads by how they frame the body. Without their last fields, most look like one whose
#: body ends with the connection.
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "neither": b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Last: 1\r\n\r\n",
    "interim": b"HTTP/1.1 100 Go on\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nX-B: c\r\n\r\n",
    "bare line feeds": b"HTTP/1.1 200 OK\nX-Seal: s\nContent-Length: 2\n\n",
    "rejection": b"HTTP/1.1 429 Busy\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n",
    "not found": b"HTTP/1.1 404 No\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n",
}


def cuts_of(head):
    """Return all proper beginnings of a head, without the empty one."""
    return [head[:size] for size in range(1, len(head))]
