"""HTTP requests and responses, and the encoding of their heads."""

#: Header fields that are not forwarded: hop-by-hop fields (RFC 9110, section 7.6.1) and
#: fields that are set anew for each hop.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

#: Method of requests whose responses have no body.
HEAD_METHOD = "HEAD"

#: Transfer codings of bodies that can be read; an empty list element means nothing.
KNOWN_CODINGS = ("chunked", "identity", "")

REASON_BY_STATUS = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Message:
    """Base class of requests and responses.

    Parameters
    ----------
    headers : list of (str, str)
        In the order received.
    body : bytes
    """

    __slots__ = ("headers", "body", "_value_by_name")

    def __init__(self, *, headers, body=b""):
        self.headers = headers
        self.body = body
        self._value_by_name = {name.lower(): value for name, value in headers}

    def get(self, name, default=None):
        """Return the value of a header field; names are case-insensitive."""
        return self._value_by_name.get(name.lower(), default)

    def end_to_end(self, *, without=()):
        """Return the end-to-end header fields, which are forwarded.

        Parameters
        ----------
        without : collection of str
            Additional lower-case names to leave out.

        Returns
        -------
        list of (str, str)
        """
        connection_options = self.get("connection", "")
        dropped = {token.strip().lower() for token in connection_options.split(",")}
        return [
            (name, value)
            for name, value in self.headers
            if (lower := name.lower()) not in HOP_BY_HOP
            and lower not in dropped
            and lower not in without
        ]


class Request(Message):
    """A complete request.

    Parameters
    ----------
    method, target : str
        As on the request line.
    headers : list of (str, str)
    body : bytes
    arrived_at : float
        Time of its first byte on the monotonic clock.
    boottime_arrived_at : float
        The same on the boot-time clock, which includes suspensions.
    lacks_memory : bool
        Whether this host had no memory for the body, which is left out then.
    """

    __slots__ = (
        "method",
        "target",
        "arrived_at",
        "boottime_arrived_at",
        "lacks_memory",
    )

    def __init__(
        self,
        *,
        method,
        target,
        headers,
        body=b"",
        arrived_at=0.0,
        boottime_arrived_at=0.0,
        lacks_memory=False,
    ):
        super().__init__(headers=headers, body=body)
        self.method = method
        self.target = target
        self.arrived_at = arrived_at
        self.boottime_arrived_at = boottime_arrived_at
        self.lacks_memory = lacks_memory


class Response(Message):
    """A response; only its head if the body is read separately.

    Parameters
    ----------
    status : int
    headers : list of (str, str)
    body : bytes
    parts : collection of bytes-like, default=()
        In place of the body if that is large.
    """

    __slots__ = ("status", "parts")

    def __init__(self, *, status, headers, body=b"", parts=()):
        super().__init__(headers=headers, body=body)
        self.status = status
        self.parts = parts

    @property
    def body_size(self):
        """Number of bytes of the body."""
        return len(self.body) + sum(map(len, self.parts))


def encode_head(first_line, headers):
    """Encode the head of a message.

    Parameters
    ----------
    first_line : str
    headers : iterable of (str, str)

    Returns
    -------
    bytes
    """
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def status_line(status):
    """Return the status line of a response."""
    return f"HTTP/1.1 {status} {REASON_BY_STATUS.get(status, 'Status')}"


def has_framing(head):
    """Return whether a response with a body says where it ends."""
    return (
        head.get("content-length") is not None
        or "chunked" in head.get("transfer-encoding", "").lower()
    )


def has_unknown_coding(headers):
    """Return whether a body is in a transfer coding that isn't decoded here.

    Parameters
    ----------
    headers : iterable of (str, str)

    Returns
    -------
    bool
    """
    return any(
        coding.strip().lower() not in KNOWN_CODINGS
        for name, value in headers
        if name.lower() == "transfer-encoding"
        for coding in value.split(",")
    )


def encode_request(*, method, target, headers, body=b""):
    """Encode a request.

    Parameters
    ----------
    method, target : str
    headers : list of (str, str)
        Header fields; hop-by-hop fields are left out.
    body : bytes

    Returns
    -------
    bytes
    """
    fields = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
    if body or method not in ("GET", HEAD_METHOD, "DELETE"):
        fields.append(("Content-Length", str(len(body))))
    return encode_head(f"{method} {target} HTTP/1.1", fields) + body
