"""The endpoints' side: an HTTP/1.1 client on the event loop."""

import asyncio
import collections
import contextlib
import socket

import httptools

from hawthornspoke.base import Failure, contact_clock, has_hung_up
from hawthornspoke.httpio._message import HOP_BY_HOP, Response, encode_head

#: Milliseconds that sent bytes may stay unacknowledged. A connection can go silent
#: for good without a reset; without this a request on it waits for its deadline.
#: A round trip between regions takes a few milliseconds, a lost packet is sent
#: again within 200 ms, so a second is several losses in a row.
USER_TIMEOUT_MS = 1000

#: Seconds of idleness before, and between, keep-alive probes, and probes lost.
KEEPALIVE_IDLE = 2
KEEPALIVE_EVERY = 1
KEEPALIVE_LOST = 2

#: Part of an endpoint's announced idle timeout during which a connection is used
#: again: the endpoint may close it while a request is on its way to it.
IDLE_SHARE = 0.7

#: Seconds of idleness after which a connection is not used again where the
#: endpoint announces no whole second; its timeout is then below one.
UNANNOUNCED_IDLE = 0.3

#: Bytes read ahead of a slow caller.
READ_AHEAD = 262144

CONNECT_FAILED = Failure(code="connect_failed")
BROKEN = Failure(code="connection_broken")
NOT_SENT = Failure(code="not_sent")
NOT_HTTP = Failure(code="not_http")

_END = object()


class Exchange:
    """One request on a connection, and what comes back.

    Parameters
    ----------
    expected_id : str or None
        Value that the response's id field must have.
    """

    __slots__ = ("expected_id", "head", "complete", "failure", "_parts", "_waiter")

    def __init__(self, *, expected_id):
        self.expected_id = expected_id
        self.head = None
        self.complete = False
        self.failure = None
        self._parts = collections.deque()
        self._waiter = None

    async def read_head(self):
        """Return the response's head, or a Failure."""
        while self.head is None and self.failure is None:
            await self._wait()
        return self.head if self.head is not None else self.failure

    async def read(self):
        """Return the next bytes of the body, ``b""`` at its end, or a Failure."""
        while not self._parts and not self.complete and self.failure is None:
            await self._wait()
        if self._parts:
            data = b"".join(self._parts)
            self._parts.clear()
            return data
        return self.failure if self.failure is not None else b""

    async def read_whole(self):
        """Return the whole response, or a Failure."""
        head = await self.read_head()
        if isinstance(head, Failure):
            return head
        body = bytearray()
        while True:
            part = await self.read()
            if isinstance(part, Failure):
                return part
            if not part:
                return Response(
                    status=head.status, headers=head.headers, body=bytes(body)
                )
            body += part

    def take_head(self, head):
        """Take the head from the connection."""
        self.head = head
        self._wake()

    def take(self, data):
        """Take a part of the body from the connection."""
        self._parts.append(data)
        self._wake()

    def end(self, failure=None):
        """Take the end; a response that is complete stays complete."""
        if self.complete or self.failure is not None:
            return
        if failure is None:
            self.complete = True
        else:
            self.failure = failure
        self._wake()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


class ClientConnection(asyncio.Protocol):
    """A connection to one endpoint; one request at a time.

    Parameters
    ----------
    id_header : str or None
        Field by which a response is matched to its request.
    """

    def __init__(self, *, id_header):
        self.id_header = id_header
        self.transport = None
        self.exchange = None
        self.idle_deadline = 0.0
        self.requests = 0
        self.reusable = True
        self._parser = None
        self._head = None
        self._skipping = False
        self._framed = False
        self._idle_time = UNANNOUNCED_IDLE
        self._keep_alive = True

    @property
    def is_open(self):
        """Whether a request can be sent, as far as the loop has seen."""
        return self.transport is not None and not self.transport.is_closing()

    def has_ended(self):
        """Tell whether the endpoint has closed, also if the loop has yet to see it."""
        if not self.is_open:
            return True
        return has_hung_up(self.transport.get_extra_info("socket"))

    def connection_made(self, transport):
        """Set what detects a silent peer."""
        self.transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def connection_lost(self, exc):
        """End what is in progress."""
        self.transport = None
        self.reusable = False
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end(BROKEN.because(str(exc) if exc else "closed"))

    def eof_received(self):
        """Complete an answer that ends with its connection.

        Only a clean end completes it: one that is reset on the way may lack bytes.
        """
        exchange = self.exchange
        if exchange is not None and exchange.head is not None and not self._framed:
            exchange.end()
        return False

    def send(self, data, *, expected_id):
        """Send a request.

        Parameters
        ----------
        data : bytes
            Head and body.
        expected_id : str or None

        Returns
        -------
        Exchange
        """
        self.exchange = Exchange(expected_id=expected_id)
        self.requests += 1
        self._parser = httptools.HttpResponseParser(self)
        self._head = None
        self._skipping = False
        self.transport.write(data)
        return self.exchange

    def data_received(self, data):
        """Read a response; bytes that belong to none end the connection."""
        if self.exchange is None:
            # A second answer, or rubbish after a whole one: what would be read as
            # the start of the next answer belongs to no request.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.reusable = False
            exchange, self.exchange = self.exchange, None
            if exchange is not None:
                exchange.end(NOT_HTTP.because(str(error)))
            self.abort()

    def release(self):
        """Tell whether the connection can carry another request.

        Returns
        -------
        bool
        """
        self.exchange = None
        if not self.reusable or not self.is_open:
            self.abort()
            return False
        self.idle_deadline = contact_clock() + self._idle_time * IDLE_SHARE
        return True

    def abort(self):
        """Close at once; an endpoint drops the request of a closed connection."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self):
        if self._head is not None and not self._skipping:
            # A second response behind the one that was asked for.
            self.reusable = False
        self._headers = []

    def on_header(self, name, value):
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        head = Response(status=status, headers=self._headers)
        if self._head is not None and not self._skipping:
            return
        if status < 200:
            self._skipping = True
            return
        expected = self.exchange.expected_id
        seen = head.get(self.id_header) if self.id_header else None
        # A late answer to an earlier request has that request's id.
        self._skipping = expected is not None and seen is not None and seen != expected
        if self._skipping:
            return
        self._head = head
        self._framed = (
            head.get("content-length") is not None
            or "chunked" in head.get("transfer-encoding", "").lower()
        )
        self._note_idle_time(head)
        self.exchange.take_head(head)

    def on_body(self, body):
        if not self._skipping and self.exchange is not None and not self._is_done():
            self.exchange.take(body)

    def on_message_complete(self):
        if self._skipping:
            self._skipping = False
            self._head = None
            return
        if self.exchange is not None:
            self.exchange.end()

    def _is_done(self):
        return self.exchange.complete

    def _note_idle_time(self, head):
        if "close" in head.get("connection", "").lower():
            self.reusable = False
        if not self._framed:
            self.reusable = False
        announced = head.get("keep-alive", "")
        for part in announced.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit() and int(value) > 0:
                self._idle_time = float(value)


def set_socket_options(sock):
    """Make a socket notice a silent peer, and send small messages at once.

    Parameters
    ----------
    sock : socket.socket
    """
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_LOST),
    )
    for level, name, value in options:
        # A system without one of them still works, it only notices later.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)


def encode_request(*, method, target, headers, body=b""):
    """Return a request as bytes.

    Parameters
    ----------
    method, target : str
    headers : list of (str, str)
        End-to-end fields.
    body : bytes

    Returns
    -------
    bytes
    """
    fields = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
    if body or method not in ("GET", "HEAD", "DELETE"):
        fields.append(("Content-Length", str(len(body))))
    return encode_head(f"{method} {target} HTTP/1.1", fields) + body


async def open_connection(address, *, timeout, id_header=None):
    """Connect to an endpoint.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : float
        Seconds.
    id_header : str or None, default=None

    Returns
    -------
    ClientConnection or Failure
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    connecting = loop.create_connection(
        lambda: ClientConnection(id_header=id_header), host, int(port)
    )
    try:
        async with asyncio.timeout(timeout):
            _, connection = await connecting
    except (OSError, TimeoutError) as error:
        return CONNECT_FAILED.because(f"{address}: {error or type(error).__name__}")
    return connection
