"""Framed Thrift messages between processes, over asyncio.

A frame is a four-byte big-endian length and one Thrift struct. Connections are
long-lived and both sides may send at any time, which the request-response transports of
Thrift don't support.
"""

import asyncio
import socket
import struct

from hawthornspoke.base import CATCH_UP_TIME, Failure, StallTolerantTimeout
from hawthornspoke.httpio import set_socket_options
from hawthornspoke.protocol import Frame, decode, encode

LENGTH = struct.Struct(">I")

#: Maximum size of a frame in bytes. The largest one holds a piece of weights (a few
#: dozen KB at known sizes, up to a megabyte elsewhere) and its fields. A longer frame
#: is not of this protocol.
MAX_FRAME_BYTES = 4 * 1024 * 1024

#: Maximum number of unsent bytes on a connection. If there are more, the peer doesn't
#: read, and the connection is closed before frames for it fill this host's memory.
MAX_UNSENT_BYTES = 2 * 1024 * 1024

#: Size of the kernel's send buffer of a connection in bytes.
SEND_BUFFER_BYTES = 16384

CLOSED = Failure(code="peer_closed")

#: Fields of a frame that hold a request to which the receiver has to respond.
REQUEST_FIELDS = (
    "chunk_ask",
    "directive_ask",
    "holdings_ask",
    "manifest_ask",
    "permit_claim",
    "retrial_claim",
    "table_ask",
)


class PeerConnection(asyncio.Protocol):
    """One connection that carries frames in both directions.

    Parameters
    ----------
    on_frame : callable
        Called with the connection and each frame that is not a response.
    on_closed : callable
        Called with the connection after it has been closed.
    """

    def __init__(self, *, on_frame, on_closed):
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.transport = None
        self.address = ""
        self._buffer = bytearray()
        self._last_call = 0
        self._future_by_call = {}
        self._is_frame_partial = False
        self._deferred = bytearray()
        self._close_reason = "closed"

    def connection_made(self, transport):
        """Set the socket options of a new connection."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        set_socket_options(sock)
        # Bytes in the kernel's buffer are not counted by ``unsent``: with a small
        # buffer, congestion of the peer or the link shows early.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.address = transport.get_extra_info("peername")[0]

    def connection_lost(self, exc):
        """Fail all pending requests."""
        self.transport = None
        for future in self._future_by_call.values():
            if not future.done():
                reason = str(exc) if exc else self._close_reason
                future.set_result(CLOSED.with_reason(reason))
        self._future_by_call = {}
        self.on_closed(self)

    def eof_received(self):
        """Close the connection when the peer closes it."""
        return False

    def data_received(self, data):
        """Split received bytes into frames and dispatch them."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._buffer)
            if size > MAX_FRAME_BYTES:
                self._close_reason = f"a frame of {size} bytes"
                self.close()
                return
            end = LENGTH.size + size
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            frame = decode(Frame, body)
            if frame is None:
                self._close_reason = f"an invalid frame of {size} bytes"
                self.close()
                return
            self._dispatch(frame)

    def send(self, frame):
        """Send a frame.

        Parameters
        ----------
        frame : Frame

        Returns
        -------
        bool
            False if the connection is closed or its peer doesn't read.
        """
        return self.send_encoded(self.encode(frame))

    def send_encoded(self, data):
        """Send a complete frame that is already encoded; see ``send``.

        Parameters
        ----------
        data : bytes
            Result of ``encode``, so that a message to many peers is encoded only once.

        Returns
        -------
        bool
        """
        if not self.is_open:
            return False
        if (
            self.transport.get_write_buffer_size() + len(self._deferred)
            > MAX_UNSENT_BYTES
        ):
            self.close()
            return False
        if self._is_frame_partial:
            # Between two parts of another frame, the peer would read this one as bytes
            # of that frame and the following bytes as a length, and would disconnect.
            self._deferred += data
        else:
            self.transport.write(data)
        return True

    @property
    def is_open(self):
        """Whether the connection can be written to."""
        return self.transport is not None and not self.transport.is_closing()

    def unsent(self):
        """Return the number of bytes not yet passed to the kernel."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    @staticmethod
    def encode(frame):
        """Return the bytes of a frame, including the length."""
        body = encode(frame)
        return LENGTH.pack(len(body)) + body

    def write_part(self, data, *, is_last):
        """Write a part of an encoded frame; other frames are deferred until its end.

        Parameters
        ----------
        data : bytes-like
        is_last : bool
            Whether this is the last part of the frame.
        """
        if not self.is_open:
            return
        self.transport.write(data)
        self._is_frame_partial = not is_last
        if is_last and self._deferred:
            self.transport.write(bytes(self._deferred))
            self._deferred.clear()

    async def ask(self, frame, *, timeout, catch_up=CATCH_UP_TIME):
        """Send a request and wait for its response.

        Parameters
        ----------
        frame : Frame
        timeout : float
            Seconds.
        catch_up : float, default=CATCH_UP_TIME
            See ``StallTolerantTimeout``.

        Returns
        -------
        Frame or Failure
        """
        self._last_call += 1
        frame.call = call = self._last_call
        future = asyncio.get_running_loop().create_future()
        self._future_by_call[call] = future
        try:
            if not self.send(frame):
                return CLOSED
            async with StallTolerantTimeout(timeout, catch_up=catch_up):
                return await future
        except TimeoutError:
            return CLOSED.with_reason(f"no answer in {timeout:g} s")
        finally:
            self._future_by_call.pop(call, None)

    def close(self):
        """Close immediately, discarding unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def _dispatch(self, frame):
        # A response carries the negated number of its request, so that both sides can
        # number their requests independently.
        if frame.call is not None and frame.call < 0:
            future = self._future_by_call.pop(-frame.call, None)
            if future is not None and not future.done():
                future.set_result(frame)
            return
        if frame.call is None and _is_request(frame):
            # Without a number no response can be matched to the request. Negating the
            # missing number for a response would raise an exception, which would close
            # the connection with all its pending requests.
            return
        self.on_frame(self, frame)


def _is_request(frame):
    return any(getattr(frame, name) is not None for name in REQUEST_FIELDS)


async def connect(address, port, *, on_frame, on_closed, timeout):
    """Connect to a peer.

    Parameters
    ----------
    address : str
    port : int
    on_frame, on_closed : callable
        See ``PeerConnection``.
    timeout : float
        Seconds.

    Returns
    -------
    PeerConnection or Failure
    """
    loop = asyncio.get_running_loop()
    opening = loop.create_connection(
        lambda: PeerConnection(on_frame=on_frame, on_closed=on_closed), address, port
    )
    try:
        async with StallTolerantTimeout(timeout):
            _, connection = await opening
    except (OSError, TimeoutError, ValueError) as error:
        # ValueError: the address is neither an IP address nor a host name.
        return CLOSED.with_reason(f"{address}:{port}: {error or type(error).__name__}")
    return connection


async def listen(address, port, *, on_frame, on_closed):
    """Accept connections of peers.

    Parameters
    ----------
    address : str
    port : int
    on_frame, on_closed : callable
        See ``PeerConnection``.

    Returns
    -------
    asyncio.Server
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: PeerConnection(on_frame=on_frame, on_closed=on_closed),
        address,
        port,
        reuse_address=True,
    )
