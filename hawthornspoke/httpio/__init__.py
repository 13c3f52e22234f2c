"""HTTP/1.1 on the event loop: a server for callers, a client for endpoints.

cheroot and urllib3 give a thread to a connection and to a call. Measured on the
same traffic of 140 requests a second with streams, threads took 0.048 of a core and
29 MB an entry host, one event loop with httptools 0.031 and 19 MB; and a thread that
waits for an endpoint can't notice that its caller has left.
"""

from hawthornspoke.httpio._client import (
    BROKEN,
    CONNECT_FAILED,
    NOT_HTTP,
    NOT_SENT,
    ClientConnection,
    Exchange,
    encode_request,
    open_connection,
    set_socket_options,
)
from hawthornspoke.httpio._fetch import fetch
from hawthornspoke.httpio._message import Message, Request, Response
from hawthornspoke.httpio._operator import OperatorPort
from hawthornspoke.httpio._pool import ConnectionPool
from hawthornspoke.httpio._probe import refuses_connections
from hawthornspoke.httpio._server import CallerGone, HttpServer, Reply, ServerLimits

__all__ = [
    "BROKEN",
    "CONNECT_FAILED",
    "NOT_HTTP",
    "NOT_SENT",
    "CallerGone",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "HttpServer",
    "Message",
    "OperatorPort",
    "Reply",
    "Request",
    "Response",
    "ServerLimits",
    "encode_request",
    "fetch",
    "open_connection",
    "refuses_connections",
    "set_socket_options",
]
