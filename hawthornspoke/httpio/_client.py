"""Asyncio HTTP/1.1 client for connections to endpoints."""

import asyncio
import socket

import httptools

from hawthornspoke.base import (
    Failure,
    SocketState,
    StallTolerantTimeout,
    boottime_clock,
    monotonic,
    socket_state,
)
from hawthornspoke.fields import parse_digits
from hawthornspoke.httpio._exchange import MAX_UNREAD_BYTES, TOO_LARGE, Exchange
from hawthornspoke.httpio._framing import (
    BODY,
    DISCARDED,
    FRAMING,
    HEAD,
    MAX_HEAD_FIELDS,
    BoundedFeed,
)
from hawthornspoke.httpio._losses import LostState
from hawthornspoke.httpio._matching import (
    HIDDEN,
    STATUS_LINE_START_BYTES,
    ResponseMatcher,
    contains_status_line,
)
from hawthornspoke.httpio._message import Response, has_framing, has_unknown_coding
from hawthornspoke.httpio._options import set_socket_options
from hawthornspoke.memory_budget import SENDING

#: Fraction of an endpoint's idle timeout for which an idle connection may be reused.
#: Later, the endpoint may close the connection while a request is in transit to it.
IDLE_TIMEOUT_FRACTION = 0.7

#: Idle timeout, in seconds, that is assumed for an endpoint that announces none.
#: ``Keep-Alive`` holds whole seconds, so a timeout below one second can't be announced.
DEFAULT_IDLE_TIMEOUT = 0.3

#: Maximum bytes of the bodies of late responses to earlier requests, which are
#: discarded.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024

RESPONSE_STATUSES = range(100, 600)

#: Final statuses of responses that never have a body.
BODILESS_STATUSES = (204, 304)

CONNECT_FAILED = Failure(code="connect_failed")
CONNECTION_BROKEN = Failure(code="connection_broken")
NOT_SENT = Failure(code="not_sent")
NOT_HTTP = Failure(code="not_http")
UNREADABLE = Failure(code="unreadable")


class ClientConnection(asyncio.Protocol):
    """Connection to one endpoint that carries one request at a time.

    Parameters
    ----------
    id_header : str or None, default=None
        Header by which a response is matched to its request.
    receive_buffer : int or None, default=None
        Bytes of the socket's receive buffer; None leaves it to the operating system.
    max_unread_bytes : int, default=MAX_UNREAD_BYTES
        Maximum bytes of a response that are held unread without a memory budget.
    on_oversized : callable or None, default=None
        Called with ``part``, what the endpoint sent too much of.
    on_unmatched : callable or None, default=None
        Called with the kind of a response that may not belong to the request, or that
        hides the response to it.
    on_lost : callable or None, default=None
        Called with the LostState and ``opened_at`` if the peer ends the connection and
        nothing was due to end it.
    on_unframed_end : callable or None, default=None
        Called when a response without framing ends with the connection.

    Attributes
    ----------
    opened_at : float or None
        When the connection was established, on the monotonic clock.
    """

    def __init__(
        self,
        *,
        id_header=None,
        receive_buffer=None,
        max_unread_bytes=MAX_UNREAD_BYTES,
        on_oversized=None,
        on_unmatched=None,
        on_lost=None,
        on_unframed_end=None,
    ):
        self.id_header = id_header
        self.receive_buffer = receive_buffer
        self.max_unread_bytes = max_unread_bytes
        self.on_oversized = on_oversized
        self.on_unmatched = on_unmatched
        self.on_lost = on_lost
        self.on_unframed_end = on_unframed_end
        self.transport = None
        self.exchange = None
        self.opened_at = None
        self.idle_deadline = 0.0
        self.requests = 0
        self.reusable = True
        self._parser = None
        self._feed = None
        self._matcher = None
        self._headers = []
        self._reason = b""
        self._is_cut_head = False
        self._head = None
        self._discarding = False
        self._discarded_bytes = 0
        self._is_trailer = False
        self._excess = None
        self._has_framing = False
        self._is_bodiless = False
        self._idle_timeout = DEFAULT_IDLE_TIMEOUT
        self._is_paused = False
        # From then on the peer may have closed the connection: what it had sent still
        # waits at its own system after reading goes on.
        self._first_paused_at = None
        self._wanted_bytes = 0
        self._is_aborted = False
        self._is_broken = False
        self._is_ended_by_peer = False
        self._is_ended_while_idle = False

    @property
    def is_open(self):
        """Whether the transport is open, as far as the event loop knows."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def reuse_time(self):
        """Seconds for which the connection may be reused once it is idle."""
        return self._idle_timeout * IDLE_TIMEOUT_FRACTION

    def is_socket_closed(self):
        """Check the socket itself for a close that the event loop hasn't seen yet."""
        if not self.is_open:
            return True
        return self._look().has_ended

    def connection_made(self, transport):
        """Store the transport and set the socket options."""
        self.transport = transport
        self.opened_at = monotonic()
        self.idle_deadline = boottime_clock() + self.reuse_time
        sock = transport.get_extra_info("socket")
        set_socket_options(sock)
        if self.receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)

    def connection_lost(self, exc):
        """Fail the exchange in progress."""
        self.transport = None
        self.reusable = False
        is_reset = self._is_broken or exc is not None
        lost_state = self._lost_state(is_reset=is_reset)
        exchange, self.exchange = self.exchange, None
        if lost_state is not None and self.on_lost is not None:
            self.on_lost(lost_state, self.opened_at)
        if exchange is not None:
            reason = "reset" if self._is_broken else str(exc or "closed")
            exchange.end(CONNECTION_BROKEN.with_reason(reason))

    def eof_received(self):
        """Complete a response whose body ends with its connection.

        Only EOF completes such a response: after a reset, bytes may be missing.
        """
        self._record_end_by_peer()
        exchange = self.exchange
        if exchange is None or self._is_broken:
            return False
        if exchange.head is not None and not self._has_framing:
            exchange.ended_with_connection = True
            exchange.end(since=self._first_paused_at)
            if self.on_unframed_end is not None:
                self.on_unframed_end()
        return False

    def pause_writing(self):
        """Count a request that the endpoint receives slowly."""
        if self.exchange is not None and self.exchange.account is not None:
            size = self.transport.get_write_buffer_size()
            self.exchange.account.hold(SENDING, size)

    def resume_writing(self):
        """Count the request as sent; the rest in the write buffer is small."""
        if self.exchange is not None and self.exchange.account is not None:
            self.exchange.account.hold(SENDING, 0)

    def has_unread_data(self):
        """Check whether reading is paused, or the socket holds unread data."""
        if self._is_paused:
            return True
        if not self.is_open:
            return False
        return self._look() is SocketState.UNREAD

    def resume_reading(self):
        """Read on after a pause."""
        if self.exchange is not None and self._wanted_bytes:
            self.exchange.reserve(self._wanted_bytes)
        self._wanted_bytes = 0
        if self._is_paused:
            self._is_paused = False
            if self.is_open:
                self.transport.resume_reading()

    def send(
        self,
        data,
        *,
        expected_id,
        account=None,
        max_unread_bytes=None,
        is_bodiless=False,
    ):
        """Send a request.

        Parameters
        ----------
        data : bytes
            Encoded head and body.
        expected_id : str or None
        account : MemoryAccount or None, default=None
            Of the caller for whom the request is sent.
        max_unread_bytes : int or None, default=None
            None for the limit of the connection.
        is_bodiless : bool, default=False
            Whether the response ends with its head, as that to a HEAD request.

        Returns
        -------
        Exchange
        """
        self.exchange = Exchange(
            expected_id=expected_id,
            account=account,
            max_unread_bytes=max_unread_bytes or self.max_unread_bytes,
        )
        self.requests += 1
        self._parser = httptools.HttpResponseParser(self)
        self._feed = BoundedFeed(parser=self._parser)
        self._matcher = ResponseMatcher(
            id_header=self.id_header,
            expected_id=expected_id,
            is_first=self.requests == 1,
        )
        self._head = None
        self._is_bodiless = is_bodiless
        self._discarding = False
        self._discarded_bytes = 0
        self._excess = None
        self._first_paused_at = None
        self.transport.write(data)
        return self.exchange

    def data_received(self, data):
        """Parse response data; unsolicited data aborts the connection."""
        if self.exchange is None or self.exchange.complete:
            # Data after the end of a response would be parsed as the start of the
            # response to the next request.
            self.abort()
            return
        try:
            is_within_limits = self._feed.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            exchange, self.exchange = self.exchange, None
            if exchange is not None:
                exchange.end(NOT_HTTP.with_reason(str(error)))
            self.abort()
            return
        if not is_within_limits and self._excess is None:
            self._excess = FRAMING if self._feed.is_in_body else HEAD
        if self._excess is not None:
            self._fail_too_large(self._excess)
        elif self.exchange.failure is not None:
            self.abort()
        else:
            self._limit_reading()

    def release(self, *, idle_since):
        """End the use by the current exchange; abort a connection that can't be reused.

        Parameters
        ----------
        idle_since : float
            Lower bound on the time at which the response ended, in seconds of
            ``boottime_clock``.

        Returns
        -------
        bool
            Whether the connection can carry another request.
        """
        self.exchange = None
        self.resume_reading()
        if not self.reusable or not self.is_open:
            self.abort()
            return False
        self.idle_deadline = idle_since + self.reuse_time
        return True

    def abort(self):
        """Close the connection immediately; the endpoint then cancels the request."""
        self.reusable = False
        # One that is only closed because its peer has ended it is lost.
        self._is_aborted = self._is_aborted or not self._is_ended_while_idle
        if self.transport is not None:
            self.transport.abort()

    # httptools parser callbacks.

    def on_message_begin(self):
        if self._head is not None and not self._discarding:
            # The endpoint sent a second response to one request. What it sends next
            # can't be matched to a request.
            self.reusable = False
        self._headers = []
        self._reason = b""
        self._is_cut_head = False
        self._is_trailer = False

    def on_status(self, reason):
        # A reason phrase arrives in parts.
        reason = self._reason + reason
        self._is_cut_head = self._is_cut_head or contains_status_line(reason)
        self._reason = reason[-STATUS_LINE_START_BYTES:]

    def on_header(self, name, value):
        if self._is_trailer:
            if self._discarding:
                self._find_own_response(name + b":" + value)
            return
        if len(self._headers) == MAX_HEAD_FIELDS:
            self._excess = self._excess or HEAD
            return
        self._is_cut_head = self._is_cut_head or contains_status_line(value)
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        self._is_trailer = True
        if self._has_failed:
            return
        status = self._parser.get_status_code()
        head = Response(status=status, headers=self._headers)
        if self._head is not None and not self._discarding:
            return
        if self._is_cut_head:
            self._fail_unreadable("inside the head of another response")
            return
        if status not in RESPONSE_STATUSES:
            self.reusable = False
            self.exchange.end(NOT_HTTP.with_reason(f"status {status:03}"))
            return
        if status < 200:
            self._discarding = True
            return
        self._matcher.start_body()
        kind = self._matcher.mismatch(head)
        if kind is not None:
            self._start_discarding(kind, head)
            return
        is_coded = head.get("transfer-encoding") is not None and not self._is_bodiless
        if is_coded and has_unknown_coding(self._headers):
            self.reusable = False
            self.exchange.end(NOT_HTTP.with_reason("an unknown transfer coding"))
            return
        self._head = head
        self._feed.record_progress()
        self._has_framing = self._is_bodiless or has_framing(head)
        self._update_keep_alive(head)
        self.exchange.receive_head(head, is_framed=self._has_framing)
        if self._is_bodiless:
            self.exchange.end()
        elif self.exchange.account is not None:
            self._reserve_body(parse_digits(head.get("content-length", "")) or 0)

    def on_body(self, body):
        if self._discarding:
            self._discard(body)
        elif self._is_bodiless:
            # More of it may follow in the place of the next response.
            self.reusable = False
        elif not self._has_failed and not self.exchange.complete:
            self._feed.record_progress()
            if self._matcher.contains_head(body):
                self._fail_unreadable("cut short, and followed by another one")
            elif not self.exchange.receive_body(body):
                self._excess = BODY

    def on_message_complete(self):
        if self._discarding:
            self._discarding = False
            self._head = None
            return
        if self._excess is None:
            self.exchange.end()

    def _look(self):
        """Look at the socket; remember an error, which is not reported again."""
        state = socket_state(self.transport.get_extra_info("socket"))
        self._is_broken = self._is_broken or state is SocketState.BROKEN
        if state.has_ended:
            self._record_end_by_peer()
        return state

    def _record_end_by_peer(self):
        self._is_ended_by_peer = True
        self._is_ended_while_idle |= self.exchange is None

    def _lost_state(self, *, is_reset):
        """Return the state of a connection that ends, None if it isn't lost."""
        # The event loop closes a connection whose opening is cancelled.
        is_own_close = not (is_reset or self._is_ended_by_peer)
        if self._is_aborted or is_own_close:
            return None
        exchange = self.exchange
        if is_reset and self.requests == 0:
            # Endpoints reset new connections beyond their limit.
            return None
        if exchange is None:
            is_due = boottime_clock() >= self.idle_deadline
            return None if is_due else LostState.IDLE
        # An endpoint that breaks off an answer, or has too many connections, resets.
        if exchange.has_ended or is_reset:
            return None
        is_waiting = exchange.head is None
        return LostState.WAITING if is_waiting else LostState.ANSWERED_IN_PART

    @property
    def _has_failed(self):
        return self._excess is not None or self.exchange.failure is not None

    def _start_discarding(self, kind, head):
        self._discarding = True
        self._count_unmatched(kind)
        if "close" in head.get("connection", "").lower():
            self._fail_unreadable("behind one that closes the connection")
        elif head.status not in BODILESS_STATUSES and not has_framing(head):
            self._fail_unreadable("behind one without a length")

    def _find_own_response(self, data):
        if self._matcher.hides_own_response(data):
            self._fail_unreadable("inside a response to another request")

    def _fail_unreadable(self, place):
        if not self._has_failed:
            self.reusable = False
            self._count_unmatched(HIDDEN)
            self.exchange.end(UNREADABLE.with_reason(f"the response is {place}"))

    def _count_unmatched(self, kind):
        if self.on_unmatched is not None:
            self.on_unmatched(kind)

    def _discard(self, body):
        self._discarded_bytes += len(body)
        self._feed.record_discarded(len(body))
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._excess = self._excess or DISCARDED
        self._find_own_response(body)

    def _reserve_body(self, size):
        account = self.exchange.account
        is_within_limit = size <= self.exchange.max_unread_bytes
        if not is_within_limit or not account.may_ever_hold(size):
            self._excess = BODY
        elif account.reserve_response(size):
            self.exchange.reserve(size)
        else:
            self._wanted_bytes = size

    def _fail_too_large(self, part):
        size = self.exchange.received_bytes
        reason = f"{part} beyond its limit, after {size} bytes of the body"
        self.exchange.end(TOO_LARGE.with_reason(reason))
        if self.on_oversized is not None:
            self.on_oversized(part)
        self.abort()

    def _limit_reading(self):
        """Pause reading if the budget has no room for more of the response."""
        exchange = self.exchange
        if exchange is None or exchange.account is None or exchange.complete:
            self._wanted_bytes = 0
            return
        if self._is_paused or not self.is_open:
            return
        if self._wanted_bytes or exchange.account.must_pause():
            self._first_paused_at = self._first_paused_at or monotonic()
            self._is_paused = True
            self.transport.pause_reading()
            exchange.account.pause(self, wanted=self._wanted_bytes)

    def _update_keep_alive(self, head):
        if "close" in head.get("connection", "").lower():
            self.reusable = False
        if not self._has_framing or not self._matcher.is_identified(head):
            self.reusable = False
        announced = head.get("keep-alive", "")
        for part in announced.split(","):
            name, _, value = part.strip().partition("=")
            seconds = parse_digits(value)
            if name.lower() == "timeout" and seconds:
                self._idle_timeout = float(seconds)


async def open_connection(address, *, timeout, **options):
    """Connect to an endpoint.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : float
        Seconds.
    **options : dict
        Parameters of ``ClientConnection``.

    Returns
    -------
    ClientConnection or Failure
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    connecting = loop.create_connection(
        lambda: ClientConnection(**options),
        host,
        int(port),
    )
    try:
        async with StallTolerantTimeout(timeout):
            _, connection = await connecting
    except (OSError, TimeoutError) as error:
        return CONNECT_FAILED.with_reason(f"{address}: {error or type(error).__name__}")
    return connection
