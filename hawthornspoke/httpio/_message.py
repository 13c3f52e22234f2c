"""Requests and responses as plain objects."""

#: Fields that concern one connection only (RFC 9110, section 7.6.1).
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
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Message:
    """Fields that requests and responses share.

    Parameters
    ----------
    headers : list of (str, str)
        As received, in order.
    body : bytes
    """

    __slots__ = ("headers", "body", "_value_by_name")

    def __init__(self, *, headers, body=b""):
        self.headers = headers
        self.body = body
        self._value_by_name = {name.lower(): value for name, value in headers}

    def get(self, name, default=None):
        """Return a field's value; names are compared without case."""
        return self._value_by_name.get(name.lower(), default)

    def end_to_end(self, *, without=()):
        """Return the fields that are passed on.

        Parameters
        ----------
        without : collection of str
            Names in lower case that are left out besides.

        Returns
        -------
        list of (str, str)
        """
        named = self.get("connection", "")
        dropped = {token.strip().lower() for token in named.split(",")}
        return [
            (name, value)
            for name, value in self.headers
            if (lower := name.lower()) not in HOP_BY_HOP
            and lower not in dropped
            and lower not in without
        ]


class Request(Message):
    """One request, read whole.

    Parameters
    ----------
    method, target : str
        As on the request line.
    headers : list of (str, str)
    body : bytes
    arrived_at : float
        Monotonic time of its first byte.
    contact_arrived_at : float
        The same on the clock that goes on while the host is suspended.
    """

    __slots__ = ("method", "target", "arrived_at", "contact_arrived_at")

    def __init__(
        self,
        *,
        method,
        target,
        headers,
        body=b"",
        arrived_at=0.0,
        contact_arrived_at=0.0,
    ):
        super().__init__(headers=headers, body=body)
        self.method = method
        self.target = target
        self.arrived_at = arrived_at
        self.contact_arrived_at = contact_arrived_at


class Response(Message):
    """A response, whole or only its head.

    Parameters
    ----------
    status : int
    headers : list of (str, str)
    body : bytes
    """

    __slots__ = ("status",)

    def __init__(self, *, status, headers, body=b""):
        super().__init__(headers=headers, body=body)
        self.status = status


def encode_head(first_line, headers):
    """Return a message's head as bytes.

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
    """Return the first line of a response."""
    return f"HTTP/1.1 {status} {REASON_BY_STATUS.get(status, 'Status')}"
