"""The caller's side: an HTTP/1.1 server on the event loop.

A task a request owns it and its answer. A thread a connection, as cheroot has it,
can't notice that a caller has left while it waits for an endpoint; here the loop
tells, and the task is cancelled at once.
"""

import asyncio
import socket

import httptools

from hawthornspoke.base import contact_clock, has_hung_up, monotonic
from hawthornspoke.httpio._message import Request, encode_head, status_line

#: Bytes of further requests on a connection that are kept while one is answered.
PIPELINED_BYTES = 65536

#: Seconds between two looks at connections that are idle or slow.
SWEEP_EVERY = 0.5

#: Connections that wait to be accepted; a burst of new callers fits.
BACKLOG = 1024

#: Bytes that wait for a slow caller before the endpoint is read no further.
WRITE_HIGH_WATER = 65536


class CallerGone(Exception):
    """The caller closed the connection; nobody waits for the answer."""


class ServerLimits:
    """What callers may send; replaced as a whole when it changes.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_time, idle_time : float
        Seconds.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_time", "idle_time")

    def __init__(
        self, *, header_bytes=16384, body_bytes=4194304, header_time=3.0, idle_time=15.0
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_time = header_time
        self.idle_time = idle_time


class Reply:
    """The answer to one request; exactly one may be sent.

    Parameters
    ----------
    connection : ServerConnection
    keep_alive : bool
    """

    __slots__ = ("status", "started", "finished", "keep_alive", "_connection")

    def __init__(self, *, connection, keep_alive):
        self._connection = connection
        self.keep_alive = keep_alive
        self.status = None
        self.started = False
        self.finished = False

    def send(self, status, headers=(), body=b""):
        """Send a whole answer."""
        self.started = self.finished = True
        self.status = status
        fields = list(headers) + [("Content-Length", str(len(body)))]
        self._connection.write(self._head(status, fields) + body)

    def start(self, status, headers=()):
        """Begin an answer whose length is not known."""
        self.started = True
        self.status = status
        fields = list(headers) + [("Transfer-Encoding", "chunked")]
        self._connection.write(self._head(status, fields))

    async def write(self, data):
        """Send a part of it, and wait while the caller reads too slowly."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._connection.drained()

    def finish(self):
        """End the answer as complete."""
        self.finished = True
        self._connection.write(b"0\r\n\r\n")

    def caller_gone(self):
        """Tell whether the caller has closed, also if the loop has yet to see it."""
        return self._connection.caller_gone()

    def abort(self):
        """Close the connection, so that the answer can't look complete."""
        self.finished = True
        self._connection.abort()

    def _head(self, status, fields):
        if self._connection.server.draining:
            self.keep_alive = False
        if not self.keep_alive:
            fields.append(("Connection", "close"))
        return encode_head(status_line(status), fields)


class ServerConnection(asyncio.Protocol):
    """One caller's connection.

    Parameters
    ----------
    server : HttpServer
    """

    def __init__(self, *, server):
        self.server = server
        self.transport = None
        self.task = None
        self.idle_deadline = monotonic() + server.limits.idle_time
        self._parser = None
        self._pending = bytearray()
        self._pending_since = None
        self._came_at = None
        self._writable = None
        self._reset_message()

    def connection_made(self, transport):
        """Take the connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def connection_lost(self, exc):
        """Cancel the request's task: nobody waits for its answer."""
        self.server.connections.discard(self)
        self.transport = None
        if self._writable is not None and not self._writable.done():
            self._writable.set_exception(CallerGone())
        if self.task is not None:
            self.task.cancel()

    def eof_received(self):
        """Take a half-close as leaving: callers don't shut down one way.

        The transport is closed only when its bytes are sent, which may be never: the
        caller has left with an answer unread, and its host's reset is behind the same
        full link. Until then an endpoint would work on for nobody.
        """
        if self.task is not None:
            self.task.cancel()
        return False

    def pause_writing(self):
        """The caller reads too slowly."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """The caller has caught up."""
        waiting, self._writable = self._writable, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    async def drained(self):
        """Wait until the caller has read enough."""
        if self.transport is None:
            raise CallerGone()
        if self._writable is not None:
            await self._writable

    def write(self, data):
        """Hand bytes to the transport; nothing happens if the caller is gone."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self):
        """Close at once, unsent bytes are dropped."""
        if self.transport is not None:
            self.transport.abort()

    def caller_gone(self):
        """Tell whether the caller has closed, also if the loop has yet to see it."""
        if self.transport is None or self.transport.is_closing():
            return True
        return has_hung_up(self.transport.get_extra_info("socket"))

    def close(self):
        """Close after what was written has been sent."""
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data):
        """Read; further requests wait until this one is answered."""
        if self.task is not None:
            if not self._pending:
                self._pending_since = _now()
            self._pending += data
            if len(self._pending) > PIPELINED_BYTES:
                self.abort()
            return
        self._feed(data)

    def is_overdue(self, now):
        """Tell whether the caller has been idle or slow for too long."""
        return self.task is None and now >= self.idle_deadline

    # Callbacks of the parser.

    def on_message_begin(self):
        if self._complete:
            # The next request, in the bytes of this one. It would take this one's
            # place, and its answer be read as this one's. It is not looked at, and
            # the connection ends behind this one's answer: the caller then knows
            # that the rest has not run.
            self._overrun = True
            return
        self._reset_message()
        self._began_at, self._contact_began_at = self._came_at or _now()
        self.idle_deadline = monotonic() + self.server.limits.header_time

    def on_url(self, url):
        if self._overrun:
            return
        self._target += url
        self._count_header(len(url))

    def on_header(self, name, value):
        if self._overrun:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self):
        if self._overrun:
            return
        self._method = self._parser.get_method().decode("latin-1")
        names = [name.lower() for name, _ in self._headers]
        # Two lengths, or two hosts, are read differently by different programs;
        # a request hidden in the difference would reach an endpoint unseen.
        both = "content-length" in names and "transfer-encoding" in names
        if both or names.count("host") != 1 or names.count("content-length") > 1:
            self._refusal = 400
        self._keep_alive = self._parser.should_keep_alive()
        if "expect" in names and not self._refusal:
            self.write(encode_head(status_line(100), ()))
        self.idle_deadline = monotonic() + self.server.limits.idle_time

    def on_body(self, body):
        if self._overrun:
            return
        self._body += body
        if len(self._body) > self.server.limits.body_bytes:
            self._refusal = self._refusal or 413

    def on_message_complete(self):
        self._complete = True

    def _reset_message(self):
        self._method = ""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._refusal = None
        self._keep_alive = True
        self._complete = False
        self._overrun = False
        self._began_at = 0.0
        self._contact_began_at = 0.0

    def _count_header(self, size):
        self._header_bytes += size
        if self._header_bytes > self.server.limits.header_bytes:
            self._refusal = self._refusal or 431

    def _feed(self, data):
        # One parser a request; bytes that come while it is answered wait for the next.
        if self._parser is None:
            self._reset_message()
            self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refusal = 400
        except httptools.HttpParserError:
            self._refusal = self._refusal or 400
        if self._refusal:
            self._refuse()
        elif self._complete:
            self._begin_task()

    def _refuse(self):
        reply = Reply(connection=self, keep_alive=False)
        reply.send(self._refusal)
        self.close()

    def _begin_task(self):
        request = Request(
            method=self._method,
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            arrived_at=self._began_at,
            contact_arrived_at=self._contact_began_at,
        )
        self._parser = None
        keep_alive = self._keep_alive and not self._overrun
        reply = Reply(connection=self, keep_alive=keep_alive)
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.server.handler(request, reply))
        self.task.add_done_callback(lambda task: self._end_task(task, reply))

    def _end_task(self, task, reply):
        self.task = None
        self.idle_deadline = monotonic() + self.server.limits.idle_time
        if not task.cancelled() and task.exception() is not None:
            self.server.on_broken(task.exception())
        if self.transport is None:
            return
        if not reply.finished:
            self.abort()
        elif not reply.keep_alive or self.server.draining:
            self.close()
        elif self._pending:
            data, self._pending = bytes(self._pending), bytearray()
            # They came while this request was answered, and their caller has waited
            # since then.
            self._came_at = self._pending_since
            self.data_received(data)
            self._came_at = None


def _now():
    """Return this moment on the steady clock and on the one that goes on."""
    return monotonic(), contact_clock()


class HttpServer:
    """Listens on one address.

    Parameters
    ----------
    host : str
    port : int
    handler : coroutine function
        Called with a Request and its Reply.
    on_broken : callable
        Called with an exception that a handler let through.
    limits : ServerLimits or None, default=None
    """

    __slots__ = (
        "host",
        "port",
        "handler",
        "on_broken",
        "limits",
        "connections",
        "draining",
        "_server",
        "_sweeper",
    )

    def __init__(self, *, host, port, handler, on_broken, limits=None):
        self.host = host
        self.port = port
        self.handler = handler
        self.on_broken = on_broken
        self.limits = limits or ServerLimits()
        self.connections = set()
        self.draining = False
        self._server = None
        self._sweeper = None

    async def start(self):
        """Bind and listen.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(server=self),
            self.host,
            self.port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._sweeper = loop.create_task(self._sweep())

    @property
    def bound_port(self):
        """The port listened on, where 0 was asked for."""
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self):
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self):
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            if connection.task is None:
                connection.close()

    def running(self):
        """Return how many requests are in progress."""
        return sum(connection.task is not None for connection in self.connections)

    def close(self):
        """Close everything at once."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.abort()

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_EVERY)
            now = monotonic()
            for connection in list(self.connections):
                if connection.is_overdue(now):
                    connection.close()
