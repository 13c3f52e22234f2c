"""Asyncio HTTP/1.1 server for callers and client for endpoints.

Written instead of using cheroot and urllib3, which need a thread per connection and
per call. At 140 requests per second including streams, threads used 0.048 of a core and
29 MB per entry host; a single event loop with httptools used 0.031 of a core and 19 MB.
A thread that waits for an endpoint also can't detect that its caller has disconnected.
"""

from hawthornspoke.httpio._client import (
    CONNECT_FAILED,
    CONNECTION_BROKEN,
    NOT_HTTP,
    NOT_SENT,
    UNREADABLE,
    ClientConnection,
    open_connection,
)
from hawthornspoke.httpio._ends import CloseReason, EndCause, EndKind, RequestEnd
from hawthornspoke.httpio._exchange import MAX_UNREAD_BYTES, TOO_LARGE, Exchange
from hawthornspoke.httpio._fetch import fetch
from hawthornspoke.httpio._losses import ConnectionEnds
from hawthornspoke.httpio._message import (
    HOP_BY_HOP,
    Message,
    Request,
    Response,
    encode_request,
)
from hawthornspoke.httpio._operator import OperatorHandler
from hawthornspoke.httpio._options import set_socket_options
from hawthornspoke.httpio._pool import ConnectionPool
from hawthornspoke.httpio._pooled import PooledClient
from hawthornspoke.httpio._probe import refuses_connections
from hawthornspoke.httpio._reply import Reply
from hawthornspoke.httpio._server import HttpServer, ServerLimits
from hawthornspoke.httpio._server_connection import CallerGone

__all__ = [
    "CONNECTION_BROKEN",
    "CONNECT_FAILED",
    "HOP_BY_HOP",
    "MAX_UNREAD_BYTES",
    "NOT_HTTP",
    "NOT_SENT",
    "TOO_LARGE",
    "UNREADABLE",
    "CallerGone",
    "ClientConnection",
    "CloseReason",
    "ConnectionEnds",
    "ConnectionPool",
    "EndCause",
    "EndKind",
    "Exchange",
    "HttpServer",
    "Message",
    "OperatorHandler",
    "PooledClient",
    "Reply",
    "Request",
    "RequestEnd",
    "Response",
    "ServerLimits",
    "encode_request",
    "fetch",
    "open_connection",
    "refuses_connections",
    "set_socket_options",
]
