"""Frames between processes, on the event loop.

A frame is a four-byte length and one Thrift struct. The connections are long-lived
and both sides speak at any time, which a call-and-answer Thrift transport can't do.
"""

import asyncio
import socket
import struct

from hawthornspoke.base import Failure
from hawthornspoke.httpio import set_socket_options
from hawthornspoke.protocol import Frame, decode, encode

LENGTH = struct.Struct(">I")

#: Bytes of the largest frame: one piece of weights (a few dozen KB at the sizes we
#: know, up to a megabyte elsewhere) and its fields. A longer one is not ours.
MOST_BYTES = 4 * 1024 * 1024

#: Bytes that may wait for a slow peer. More means that it reads nothing; its frames
#: would fill this host's memory.
MOST_WAITING = 2 * 1024 * 1024

#: Bytes that the system may hold unsent on one connection.
SEND_BUFFER = 16384

CLOSED = Failure(code="peer_closed")

#: Fields of a frame that ask for an answer.
QUESTIONS = (
    "chunk_ask",
    "directive_ask",
    "holdings_ask",
    "manifest_ask",
    "table_ask",
)


class PeerConnection(asyncio.Protocol):
    """One connection that carries frames both ways.

    Parameters
    ----------
    on_frame : callable
        Called with the connection and each frame.
    on_closed : callable
        Called with the connection when it has ended.
    """

    def __init__(self, *, on_frame, on_closed):
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.transport = None
        self.address = ""
        self._buffer = bytearray()
        self._next_call = 0
        self._waiter_by_call = {}
        self._is_in_parts = False
        self._behind = bytearray()

    def connection_made(self, transport):
        """Take the connection."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        set_socket_options(sock)
        # What the system holds can't be seen here: a small buffer shows soon that
        # the peer, or the link, takes no more.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.address = transport.get_extra_info("peername")[0]

    def connection_lost(self, exc):
        """End all that waits for an answer."""
        self.transport = None
        for waiter in self._waiter_by_call.values():
            if not waiter.done():
                waiter.set_result(CLOSED.because(str(exc) if exc else "closed"))
        self._waiter_by_call = {}
        self.on_closed(self)

    def eof_received(self):
        """Close when the peer does."""
        return False

    def data_received(self, data):
        """Take apart what arrived."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._buffer)
            if size > MOST_BYTES:
                self.close()
                return
            end = LENGTH.size + size
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            frame = decode(Frame, body)
            if frame is None:
                self.close()
                return
            self._take(frame)

    def send(self, frame):
        """Send a frame.

        Parameters
        ----------
        frame : Frame

        Returns
        -------
        bool
            False if the connection is closed, or its peer reads nothing.
        """
        return self.send_encoded(self.encode(frame))

    def send_encoded(self, data):
        """Send a whole frame that is encoded already; see ``send``.

        Parameters
        ----------
        data : bytes
            What ``encode`` returned. One message to many peers is encoded once.

        Returns
        -------
        bool
        """
        if not self.is_open:
            return False
        if self.transport.get_write_buffer_size() + len(self._behind) > MOST_WAITING:
            self.close()
            return False
        if self._is_in_parts:
            # Between two parts of a frame it would be read as bytes of that one, and
            # what follows as the length of the next: the connection would end.
            self._behind += data
        else:
            self.transport.write(data)
        return True

    @property
    def is_open(self):
        """Whether bytes can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    def unsent(self):
        """Return how many bytes have not been handed to the system yet."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    @staticmethod
    def encode(frame):
        """Return a frame as the bytes that are sent for it."""
        body = encode(frame)
        return LENGTH.pack(len(body)) + body

    def write_part(self, data, *, is_last):
        """Write a part of an encoded frame; what is sent meanwhile goes behind it.

        Parameters
        ----------
        data : bytes-like
        is_last : bool
            Whether the frame is complete with it.
        """
        if not self.is_open:
            return
        self.transport.write(data)
        self._is_in_parts = not is_last
        if is_last and self._behind:
            self.transport.write(bytes(self._behind))
            self._behind.clear()

    async def ask(self, frame, *, timeout):
        """Send a question and wait for its answer.

        Parameters
        ----------
        frame : Frame
        timeout : float
            Seconds.

        Returns
        -------
        Frame or Failure
        """
        self._next_call += 1
        frame.call = call = self._next_call
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_call[call] = waiter
        try:
            if not self.send(frame):
                return CLOSED
            async with asyncio.timeout(timeout):
                return await waiter
        except TimeoutError:
            return CLOSED.because(f"no answer in {timeout:g} s")
        finally:
            self._waiter_by_call.pop(call, None)

    def close(self):
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _take(self, frame):
        # Answers carry the negative of their question's number, so that questions
        # of both sides can cross on one connection.
        if frame.call is not None and frame.call < 0:
            waiter = self._waiter_by_call.pop(-frame.call, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(frame)
            return
        if frame.call is None and _is_question(frame):
            # Its answer could not be told from others. Making one all the same would
            # raise, and end the connection with all that waits on it.
            return
        self.on_frame(self, frame)


def _is_question(frame):
    return any(getattr(frame, name) is not None for name in QUESTIONS)


async def connect(address, port, *, on_frame, on_closed, timeout):
    """Connect to a peer.

    Parameters
    ----------
    address : str
    port : int
    on_frame, on_closed : callable
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
        async with asyncio.timeout(timeout):
            _, connection = await opening
    except (OSError, TimeoutError, ValueError) as error:
        # ValueError: what should be an address is no name either.
        return CLOSED.because(f"{address}:{port}: {error or type(error).__name__}")
    return connection


async def listen(address, port, *, on_frame, on_closed):
    """Accept peers.

    Parameters
    ----------
    address : str
    port : int
    on_frame, on_closed : callable

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
