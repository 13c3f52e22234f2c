"""Connection of one caller: reads requests, runs the handler, and ends responses."""

import asyncio
import socket

import httptools

from hawthornspoke.base import (
    boottime_clock,
    discard_unsent_bytes,
    has_unread_bytes,
    is_closed_by_peer,
    monotonic,
    unacknowledged_bytes,
)
from hawthornspoke.fields import parse_digits
from hawthornspoke.httpio._ends import CloseReason, RequestEnd
from hawthornspoke.httpio._framing import BoundedFeed
from hawthornspoke.httpio._message import (
    HEAD_METHOD,
    Request,
    encode_head,
    has_unknown_coding,
    status_line,
)
from hawthornspoke.httpio._reply import Reply
from hawthornspoke.memory_budget import ANSWER, BODY, PENDING, SENT, WRITTEN

#: Maximum bytes of pipelined requests buffered while a request is handled.
MAX_PIPELINED_BYTES = 65536

#: Maximum size of a request's head on the wire, as a multiple of ``header_bytes``;
#: these don't include the method and spaces.
MAX_HEAD_FACTOR = 2

#: Status of the response to a request whose handler fails before it responds.
HANDLER_FAILED_STATUS = 500

#: Maximum bytes of a whole response that are written at once.
PIECE_BYTES = 32768

#: Bytes buffered for a slow caller before reading from the endpoint pauses.
WRITE_HIGH_WATER = 65536

#: The same if there is a memory budget, which doesn't count buffers below this.
BUDGET_WRITE_HIGH_WATER = 16384


class CallerGone(Exception):
    """The caller closed the connection before the response was sent."""


class ServerConnection(asyncio.Protocol):
    """Connection of one caller.

    Parameters
    ----------
    server : HttpServer

    Attributes
    ----------
    close_reason : CloseReason or None
        Why this side closes the connection, None if it doesn't.
    """

    def __init__(self, *, server):
        self.server = server
        self.transport = None
        self.task = None
        self.account = (
            None if server.memory is None else server.memory.open_account(self)
        )
        self.close_reason = None
        # While no request is handled: time by which the next request has to begin, or
        # by which the header, and then the body, of one that began has to be received.
        self.idle_deadline = monotonic() + server.idle_time(monotonic())
        self._parser = None
        self._bounded_feed = None
        self._pending = bytearray()
        self._pending_since = None
        self._drops_pipelined = False
        self._received_at = None
        self._drain_waiter = None
        self._is_discarding = False
        self._unreceived_at_close = None
        # Bytes of a whole response that weren't written yet.
        self._unwritten_bytes = 0
        self._reset_message()

    def connection_made(self, transport):
        """Configure the transport and register the connection."""
        self.transport = transport
        has_budget = self.account is not None
        transport.set_write_buffer_limits(
            high=BUDGET_WRITE_HIGH_WATER if has_budget else WRITE_HIGH_WATER
        )
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if sock is not None and has_budget:
            size = self.server.memory.send_buffer
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        self.server.connections.add(self)

    def connection_lost(self, exc):
        """Cancel the task of the request, as its response can't be delivered."""
        self.server.connections.discard(self)
        self.transport = None
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_exception(CallerGone())
        self._release_buffers()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self):
        """Treat a half-close as a disconnect; callers don't half-close.

        asyncio closes the transport only after its write buffer is sent. If the caller
        disconnected without reading a response over a saturated link, the buffer can't
        be sent, and the reset by the caller's host is delayed by that link as well. The
        endpoint would keep working meanwhile.
        """
        if self.task is not None:
            self.task.cancel()
        return False

    def pause_writing(self):
        """Make ``drained`` wait while the write buffer is full."""
        if self._drain_waiter is None:
            self._drain_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Let ``drained`` return, as the write buffer has room again."""
        waiter, self._drain_waiter = self._drain_waiter, None
        if self.account is not None:
            self.account.hold(WRITTEN, 0)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def drained(self):
        """Wait until the write buffer has room."""
        if self.transport is None:
            raise CallerGone()
        if self._drain_waiter is not None:
            await self._drain_waiter

    def write(self, data):
        """Write to the transport; no effect after the caller has disconnected."""
        if self.transport is None:
            return
        self.transport.write(data)
        if self.account is None:
            return
        self.account.record_write(len(data))
        if self._drain_waiter is not None:
            self.account.hold(WRITTEN, max(1, self.write_buffer_size()))

    async def write_parts(self, parts, size):
        """Write a whole response as far as the write buffer has room, and so on.

        What isn't written yet is counted. A caller that reads nothing of it for the
        idle time is disconnected, as it is once all has been written.

        Parameters
        ----------
        parts : collections.deque of bytes-like
        size : int
            Bytes of all parts.

        Raises
        ------
        CallerGone
        """
        self._unwritten_bytes = size
        self._unreceived_at_close = None
        self.idle_deadline = monotonic() + self.server.idle_time(monotonic())
        try:
            while parts:
                part = memoryview(parts.popleft())
                for start in range(0, len(part), PIECE_BYTES):
                    await self.drained()
                    self._write_piece(part[start : start + PIECE_BYTES])
                # A part takes its memory until all of it is written.
                self._count_unwritten()
        finally:
            self._unwritten_bytes = 0
            self._unreceived_at_close = None
            self._count_unwritten()

    def _write_piece(self, piece):
        # A piece that outlives this call would keep its whole part in memory.
        self._unwritten_bytes -= len(piece)
        self.write(piece)

    def _count_unwritten(self):
        if self.account is not None:
            self.account.hold(ANSWER, self._unwritten_bytes)

    def write_buffer_size(self):
        """Return the number of bytes in the write buffer."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def unreceived_size(self):
        """Return the number of bytes that the caller hasn't received yet."""
        if self.transport is None:
            return 0
        sock = self.transport.get_extra_info("socket")
        return self.write_buffer_size() + unacknowledged_bytes(sock)

    @property
    def is_open(self):
        """Whether neither side has closed the connection."""
        return self.transport is not None and not self.transport.is_closing()

    def abort(self, reason):
        """Close immediately and drop unsent data.

        Parameters
        ----------
        reason : CloseReason
        """
        if self.transport is not None:
            self._record_close(reason)
            self.transport.abort()

    def cut(self):
        """Reset the connection of a caller that reads too slowly."""
        if self.transport is not None:
            discard_unsent_bytes(self.transport.get_extra_info("socket"))
        self.abort(CloseReason.MEMORY)

    def caller_gone(self):
        """Check the socket itself for a close that the event loop hasn't seen yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        return is_closed_by_peer(self.transport.get_extra_info("socket"))

    def close(self, reason):
        """Close after buffered data has been sent.

        Parameters
        ----------
        reason : CloseReason
        """
        if self.transport is not None:
            self._record_close(reason)
            self.transport.close()

    def close_overdue(self, now):
        """Close an overdue connection, even if its caller reads nothing any more.

        A transport that is closed still waits until all has been sent.

        Parameters
        ----------
        now : float
        """
        before = self._unreceived_at_close
        unreceived = self.unreceived_size() + self._unwritten_bytes
        if before is not None and unreceived >= before:
            discard_unsent_bytes(self.transport.get_extra_info("socket"))
            self.abort(CloseReason.UNREAD_RESPONSE)
            return
        self._unreceived_at_close = unreceived
        self.idle_deadline = now + self.server.idle_time(now)
        if self._unwritten_bytes:
            return
        is_receiving = self._is_receiving()
        self.close(CloseReason.RECEIVE_TIMEOUT if is_receiving else CloseReason.IDLE)

    def extend_deadline(self, previous, limits, now):
        """Extend the deadline of a connection if its time limit has grown.

        Parameters
        ----------
        previous, limits : ServerLimits
        now : float
        """
        if self._is_receiving_header:
            before, after = previous.header_time, limits.header_time
        else:
            before, after = previous.idle_time, limits.idle_time
        if after > before:
            extended = min(self.idle_deadline + after - before, now + after)
            self.idle_deadline = max(self.idle_deadline, extended)

    def data_received(self, data):
        """Parse request data, or buffer it while a request is handled."""
        if self._is_discarding:
            self._discard(data)
            return
        if self._drops_pipelined:
            return
        if self.task is not None:
            self._buffer_pipelined(data)
            return
        self._feed(data)

    def _buffer_pipelined(self, data):
        if not self._pending:
            self._pending_since = _current_times()
        room = MAX_PIPELINED_BYTES - len(self._pending)
        self._pending += data[:room]
        # The rest is dropped, and the connection closed after the responses to what is
        # buffered. Reading goes on, as a disconnect wouldn't be detected otherwise.
        self._drops_pipelined = len(data) > room
        if self.account is not None:
            self.account.hold(PENDING, len(self._pending))

    def is_overdue(self, now):
        """Check whether the idle or receive deadline has passed."""
        is_handled = self.task is not None and not self._unwritten_bytes
        if is_handled or now < self.idle_deadline:
            return False
        if self._unwritten_bytes:
            return True
        # After a stall of this process, data that arrived in time is still unread.
        return not self._has_unread_request()

    def holds_request(self):
        """Check whether a request is handled, or has arrived in part."""
        if self.task is not None:
            return True
        return self._is_receiving() or self._has_unread_request()

    # httptools parser callbacks.

    def on_message_begin(self):
        if self._complete:
            # A pipelined request in the same data. Parsing it would overwrite the
            # current request, and the caller would match the response to the wrong
            # request. The pipelined request is ignored and the connection is closed
            # after the current response, so the caller knows that it was not executed.
            self._has_pipelined = True
            return
        self._reset_message()
        self._started_at, self._boottime_started_at = (
            self._received_at or _current_times()
        )
        self._is_receiving_header = True
        self.idle_deadline = monotonic() + self.server.limits.header_time

    def on_url(self, url):
        if self._has_pipelined:
            return
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name, value):
        # Trailers are no header fields.
        if self._has_pipelined or self._bounded_feed.is_in_body:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self._add_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self):
        if self._has_pipelined:
            return
        self._is_receiving_header = False
        self._bounded_feed.record_progress()
        self._method = self._parser.get_method().decode("latin-1")
        names = [name.lower() for name, _ in self._headers]
        # HTTP implementations disagree on ambiguous framing or duplicate Host fields,
        # which allows request smuggling to an endpoint.
        has_both = "content-length" in names and "transfer-encoding" in names
        if has_both or names.count("host") != 1 or names.count("content-length") > 1:
            self._error_status = 400
        elif "transfer-encoding" in names and has_unknown_coding(self._headers):
            self._error_status = self._error_status or 501
        self._keep_alive = self._parser.should_keep_alive()
        if self.account is not None and "content-length" in names:
            self._reserve_body(self._announced_size())
        if "expect" in names and not (self._error_status or self._lacks_memory):
            self.write(encode_head(status_line(100), ()))
        self.idle_deadline = monotonic() + self.server.idle_time(monotonic())

    def on_body(self, body):
        if self._has_pipelined:
            return
        self._bounded_feed.record_progress()
        self._body_bytes += len(body)
        if self._lacks_memory:
            return
        self._body += body
        if len(self._body) > self.server.limits.body_bytes:
            self._error_status = self._error_status or 413
        elif self.account is not None and len(self._body) > self._reserved_bytes:
            self._reserve_body(len(self._body))

    def on_message_complete(self):
        self._complete = True

    def _reset_message(self):
        self._method = ""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._reserved_bytes = 0
        self._lacks_memory = False
        self._error_status = None
        self._keep_alive = True
        self._complete = False
        self._is_receiving_header = False
        self._has_pipelined = False
        self._started_at = 0.0
        self._boottime_started_at = 0.0

    def _add_header_bytes(self, size):
        self._header_bytes += size
        if self._header_bytes > self.server.limits.header_bytes:
            self._error_status = self._error_status or 431

    def _announced_size(self):
        """Return the size of the body, at most the one that is accepted."""
        for name, value in self._headers:
            if name.lower() == "content-length":
                return min(parse_digits(value) or 0, self.server.limits.body_bytes)
        return 0

    def _reserve_body(self, size):
        """Reserve memory for a body; without it the request is refused.

        Reading bodies isn't paused instead: paused bodies would hold the memory that
        each of them waits for.
        """
        if self.account.admits_body(size):
            self.account.hold(BODY, size)
            self._reserved_bytes = size
            return
        self._lacks_memory = True
        self._body = bytearray()
        self.account.hold(BODY, 0)

    def _discard(self, data):
        """Receive the rest of a refused request, so that its caller gets the refusal.

        Closing a connection with unread data would reset it.
        """
        try:
            is_within_limits = self._bounded_feed.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Nothing of it is handled, whatever it is.
            self._complete = is_within_limits = True
        if not self._complete and (
            not is_within_limits or self._body_bytes > self.server.limits.body_bytes
        ):
            self.abort(CloseReason.INVALID_REQUEST)
            return
        if self._complete and self.task is None:
            self.close(CloseReason.LAST_RESPONSE)

    def _answer_unfinished(self, reply):
        """End a response that its handler has left unfinished."""
        if not self.is_open:
            return
        if reply.started:
            self.abort(CloseReason.HANDLER)
            return
        reply.declared_end = RequestEnd.FAILED_BY_OWN_FAILURE
        reply.keep_alive = False
        reply.send(HANDLER_FAILED_STATUS)

    def _record_close(self, reason):
        if self.close_reason is None:
            self.close_reason = reason
            self.server.count_close(reason, unanswered=self._unanswered_bytes())

    def _is_receiving(self):
        """Check whether a request was received in part and isn't refused yet."""
        is_refused = self._is_discarding or self._error_status is not None
        # Line breaks before a request line are no part of a request.
        has_begun = self._parser is not None and self._started_at > 0.0
        return has_begun and not is_refused

    def _has_unread_request(self):
        """Check whether data has arrived that will be read as a request."""
        is_refused = self._is_discarding or self._error_status is not None
        if not self.is_open or is_refused:
            return False
        return has_unread_bytes(self.transport.get_extra_info("socket"))

    def _unanswered_bytes(self):
        """Return where bytes of a request are that has not been handled."""
        has_pipelined = self._pending or self._has_pipelined or self._drops_pipelined
        if has_pipelined or self._is_receiving():
            return "read"
        sock = self.transport.get_extra_info("socket")
        return "unread" if has_unread_bytes(sock) else "none"

    def _release_buffers(self):
        """Release what is held for a connection that has ended."""
        if self.account is None:
            return
        if self.task is None:
            self.account.release()
        else:
            # The rest is released when the task has ended.
            for use in (WRITTEN, PENDING, SENT):
                self.account.hold(use, 0)

    def _feed(self, data):
        # One parser per request; data received while a request is handled is buffered.
        if self._parser is None:
            self._reset_message()
            self._parser = httptools.HttpRequestParser(self)
            self._bounded_feed = BoundedFeed(
                parser=self._parser,
                max_head_bytes=MAX_HEAD_FACTOR * self.server.limits.header_bytes,
            )
        try:
            if not self._bounded_feed.feed(data) and not self._complete:
                self._error_status = self._error_status or 431
        except httptools.HttpParserUpgrade:
            self._error_status = 400
        except httptools.HttpParserError:
            self._error_status = self._error_status or 400
        if self._error_status:
            self._send_error()
        elif self._complete or self._lacks_memory:
            self._begin_task()

    def _send_error(self):
        reply = Reply(connection=self, keep_alive=False)
        reply.declared_end = RequestEnd.REFUSED_FOR_CALLER
        reply.send(self._error_status)
        self.server.count_end(reply.end)
        self.close(CloseReason.INVALID_REQUEST)

    def _begin_task(self):
        request = Request(
            method=self._method,
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            arrived_at=self._started_at,
            boottime_arrived_at=self._boottime_started_at,
            lacks_memory=self._lacks_memory,
        )
        self._body = bytearray()
        self._is_discarding = not self._complete
        if not self._is_discarding:
            self._parser = None
        is_last = self._has_pipelined or self._drops_pipelined or self._is_discarding
        keep_alive = self._keep_alive and not is_last
        reply = Reply(
            connection=self,
            keep_alive=keep_alive,
            is_bodiless=request.method == HEAD_METHOD,
        )
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.server.handler(request, reply))
        self.task.add_done_callback(lambda task: self._end_task(task, request, reply))

    def _end_task(self, task, request, reply):
        self.task = None
        if not reply.finished:
            self._answer_unfinished(reply)
        self.server.count_end(reply.end)
        self.idle_deadline = monotonic() + self.server.idle_time(monotonic())
        if self.account is not None:
            self.account.release_request()
        if not task.cancelled() and task.exception() is not None:
            self.server.on_handler_error(task.exception(), request)
        if self.transport is None:
            return
        if self._is_discarding and not self._complete:
            return
        elif not reply.keep_alive:
            self.close(
                CloseReason.PIPELINED
                if self._has_pipelined or self._drops_pipelined
                else CloseReason.LAST_RESPONSE
            )
        elif self._pending:
            self._feed_pending()
        elif self._drops_pipelined:
            self.close(CloseReason.PIPELINED)
        elif self.server.draining and not self._has_unread_request():
            self.close(CloseReason.LAST_RESPONSE)

    def _feed_pending(self):
        data, self._pending = bytes(self._pending), bytearray()
        if self.account is not None:
            self.account.hold(PENDING, 0)
        # The arrival time of a pipelined request is that of its data, not the time at
        # which it is parsed.
        self._received_at = self._pending_since
        self._feed(data)
        self._received_at = None
        if self._drops_pipelined and self.task is None:
            self.close(CloseReason.PIPELINED)


def _current_times():
    """Return the current time on the monotonic clock and on the boot-time clock."""
    return monotonic(), boottime_clock()
