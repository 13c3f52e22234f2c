"""The response to one request of a caller."""

from hawthornspoke.httpio._ends import CUT_BY_REASON, CloseReason, RequestEnd
from hawthornspoke.httpio._message import encode_head, status_line


class Reply:
    """Sends the response to one request: whole, in parts or in chunks.

    Parameters
    ----------
    connection : ServerConnection
    keep_alive : bool
        Whether the connection stays open after the response.
    is_bodiless : bool, default=False
        Whether the response ends with its head, as that to a HEAD request.

    Attributes
    ----------
    is_whole : bool
        Whether the response was written to its end while the connection was open.
    declared_end : RequestEnd or None
        How the request has ended by what its handler knows.
    """

    __slots__ = (
        "status",
        "started",
        "finished",
        "is_whole",
        "keep_alive",
        "declared_end",
        "_is_bodiless",
        "_connection",
    )

    def __init__(self, *, connection, keep_alive, is_bodiless=False):
        self._connection = connection
        self._is_bodiless = is_bodiless
        self.keep_alive = keep_alive
        self.status = None
        self.started = False
        self.finished = False
        self.is_whole = False
        self.declared_end = None

    def send(self, status, headers=(), body=b""):
        """Send a complete response; only its head in answer to a HEAD request."""
        fields = list(headers) + [("Content-Length", str(len(body)))]
        self._send_whole(status, fields, b"" if self._is_bodiless else body)

    def send_head(self, status, headers, *, length):
        """Send the complete response to a HEAD request.

        Parameters
        ----------
        status : int
        headers : list of (str, str)
        length : int or None
            Of the body in the response to a GET request, None if it isn't known.
        """
        fields = list(headers)
        if length is not None:
            fields.append(("Content-Length", str(length)))
        self._send_whole(status, fields, b"")

    async def send_parts(self, status, headers, parts):
        """Send a complete response as the caller reads it.

        Parameters
        ----------
        status : int
        headers : list of (str, str)
        parts : collections.deque of bytes-like
            Of the body; emptied.
        """
        size = sum(map(len, parts))
        fields = list(headers) + [("Content-Length", str(size))]
        head = self._head(status, fields)
        self.started = True
        self.status = status
        self._connection.write(head)
        await self._connection.write_parts(parts, size)
        self.finished = True
        self.is_whole = self._connection.is_open

    def start(self, status, headers=()):
        """Start a chunked response of unknown length."""
        fields = list(headers) + [("Transfer-Encoding", "chunked")]
        head = self._head(status, fields)
        self.started = True
        self.status = status
        self._connection.write(head)

    async def write(self, data):
        """Send a chunk; wait while the write buffer of a slow caller is full."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._connection.drained()

    def finish(self):
        """Send the last chunk, which marks the response as complete."""
        self.finished = True
        self.is_whole = self._connection.is_open
        self._connection.write(b"0\r\n\r\n")

    @property
    def account(self):
        """MemoryAccount of the connection, None without a memory budget."""
        return self._connection.account

    @property
    def close_reason(self):
        """Why this side closes the connection, None if it doesn't."""
        return self._connection.close_reason

    @property
    def end(self):
        """How the request has ended, a RequestEnd.

        What happened to the connection goes before what the handler declares.
        """
        if self.is_whole:
            return self.declared_end or RequestEnd.ANSWERED
        reason = self._connection.close_reason
        if reason in CUT_BY_REASON:
            return CUT_BY_REASON[reason]
        if reason is None and not self._connection.is_open:
            return RequestEnd.CALLER_LEFT
        return self.declared_end or RequestEnd.CUT_BY_OWN_FAILURE

    def caller_gone(self):
        """Check whether the caller has closed the connection."""
        return self._connection.caller_gone()

    def abort(self):
        """Abort the connection, so that the caller sees an incomplete response."""
        self.finished = True
        self._connection.abort(CloseReason.HANDLER)

    def _send_whole(self, status, fields, body):
        head = self._head(status, fields)
        self.started = self.finished = True
        self.is_whole = self._connection.is_open
        self.status = status
        self._connection.write(head + body)

    def _head(self, status, fields):
        if self._connection.server.draining:
            self.keep_alive = False
        if not self.keep_alive:
            fields.append(("Connection", "close"))
        return encode_head(status_line(status), fields)
