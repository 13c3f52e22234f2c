"""HTTP server that passes each request to one handler, based on cheroot."""

import contextlib
import threading
from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded
from cheroot.server import (
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
    SizeCheckWrapper,
)
from cheroot.wsgi import Gateway_10, Server
from loguru import logger

from hawthornspoke.base import discard_unsent_bytes
from hawthornspoke.web._types import Request, json_response

CONNECTION_KEY = "hawthornspoke.connection"
CONTENT_LENGTH = b"Content-Length"
TRANSFER_ENCODING = b"Transfer-Encoding"
SHUTDOWN_TIMEOUT_SECONDS = 1.0

#: Statuses of responses that never have a body.
BODILESS_STATUSES = (204, 304)

#: Maximum size of a request's head in bytes.
MAX_HEAD_BYTES = 65536

#: Maximum bytes of a chunked body on the wire, as a multiple of ``max_body``.
MAX_CHUNKED_FACTOR = 2

#: Interval in seconds at which the number of idle worker threads is checked.
POOL_CHECK_SECONDS = 0.2

#: If fewer than MIN_IDLE_WORKERS threads are idle, POOL_GROWTH more are started.
MIN_IDLE_WORKERS = 8
POOL_GROWTH = 16


class _BodyCut(Exception):
    """The caller closed its connection inside the body of a request."""


class _FieldsOnce(dict):
    """Header fields that refuse a second length."""

    def __setitem__(self, name, value):
        if name == CONTENT_LENGTH and name in self:
            raise ValueError("Several Content-Length fields.")
        super().__setitem__(name, value)


class _HeaderReader(HeaderReader):
    """Refuses heads by which the body may end at different places.

    cheroot takes the last of several lengths, and the length of a body in chunks for
    its size.
    """

    def __call__(self, rfile, hdict=None):
        fields = super().__call__(rfile, _FieldsOnce())
        length = fields.get(CONTENT_LENGTH)
        if length is not None:
            if TRANSFER_ENCODING in fields:
                raise ValueError("Both Content-Length and Transfer-Encoding.")
            if not length.isdigit():
                raise ValueError("Malformed Content-Length Header.")
        hdict = {} if hdict is None else hdict
        hdict.update(fields)
        return hdict


class _Request(HTTPRequest):
    header_reader = _HeaderReader()


class _Connection(HTTPConnection):
    """Connection that is reset after a response that only its end would complete.

    Attributes
    ----------
    is_incomplete : bool
        Whether such a response ends early.
    """

    RequestHandlerClass = _Request
    is_incomplete = False

    def close(self):
        """Close the connection."""
        if not self.is_incomplete:
            super().close()
            return
        # A shutdown would end the response in the usual way before the reset.
        discard_unsent_bytes(self.socket)
        self.rfile.close()
        with contextlib.suppress(OSError):
            # Bytes that the caller can't receive any more.
            self.wfile.close()
        self.socket.close()


class _Gateway(Gateway_10):
    """Adds the client socket to the WSGI environ, to detect disconnects."""

    def respond(self):
        """Send the response; mark one that fails and has no framing as incomplete."""
        try:
            super().respond()
        except Exception:
            if self.req.sent_headers and not self.req.chunked_write:
                self.req.conn.is_incomplete = True
            raise

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class HttpServer:
    """Serves HTTP on one address.

    Parameters
    ----------
    address : str
    port : int
    handler : callable
        Takes a :class:`Request`, returns a :class:`Response`.
    threads : int, default=16
        Maximum number of requests handled concurrently.
    max_body : int, default=0
        Maximum size of a request body in bytes; 0 for no limit.
    """

    __slots__ = ("address", "port", "handler", "threads", "max_body", "_server")

    def __init__(self, *, address, port, handler, threads=16, max_body=0):
        self.address = address
        self.port = port
        self.handler = handler
        self.threads = threads
        self.max_body = max_body
        self._server = None

    def open(self):
        """Bind the address and start serving in a background thread.

        Raises
        ------
        OSError
            If the address is already in use.
        """
        server = Server(
            (self.address, self.port),
            self._wsgi_app,
            numthreads=min(self.threads, 10),
            max=self.threads,
            request_queue_size=512,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        server.gateway = _Gateway
        server.ConnectionClass = _Connection
        server.error_log = _log_error
        server.timeout = 30
        server.max_request_header_size = MAX_HEAD_BYTES
        server.prepare()
        self._server = server
        name = f"http-{self.port}"
        threading.Thread(target=server.serve, name=name, daemon=True).start()
        if self.threads > 10:
            threading.Thread(
                target=self._grow_pool, name="http-grow", daemon=True
            ).start()

    def close(self):
        """Stop serving; abort responses still unfinished after the shutdown timeout."""
        if self._server is not None:
            self._server.stop()

    def _grow_pool(self):
        """Grow the thread pool on demand; cheroot does not do so by itself."""
        pool = self._server.requests
        timer = threading.Event()
        while self._server.ready:
            if pool.idle < MIN_IDLE_WORKERS and len(pool._threads) < self.threads:
                pool.grow(POOL_GROWTH)
            timer.wait(POOL_CHECK_SECONDS)

    def _wsgi_app(self, environ, start_response):
        request, error_response = self._read_request(environ)
        response = error_response or self._run_handler(request)
        headers = list(response.headers.items())
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(_status_line(response.status), headers)
        body = response.body
        if isinstance(body, bytes):
            body = [body]
        if environ["REQUEST_METHOD"] == "HEAD" or response.status in BODILESS_STATUSES:
            # Read all the same: the end of a request may hang on the end of its body.
            return (b"" for _ in body)
        return body

    def _read_request(self, environ):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if self.max_body and length > self.max_body:
            return None, _body_too_large(self.max_body)
        try:
            body = self._read_body(environ, length)
        except MaxSizeExceeded:
            return None, _body_too_large(self.max_body)
        except _BodyCut:
            return None, _body_cut()
        request = Request(
            method=environ["REQUEST_METHOD"],
            path=environ.get("PATH_INFO", "/"),
            query=environ.get("QUERY_STRING", ""),
            headers=_parse_headers(environ),
            body=body,
            connection=environ.get(CONNECTION_KEY),
        )
        return request, None

    def _read_body(self, environ, length):
        stream = environ["wsgi.input"]
        if length:
            body = stream.read(length)
            if len(body) < length:
                raise _BodyCut
            return body
        if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
            return self._read_chunked(stream)
        return b""

    def _read_chunked(self, stream):
        if not self.max_body:
            return stream.read()
        # cheroot has no limit for the extensions of a chunk.
        limit = MAX_HEAD_BYTES + MAX_CHUNKED_FACTOR * self.max_body
        stream.rfile = SizeCheckWrapper(stream.rfile, limit)
        stream.maxlen = limit
        try:
            body = stream.read(self.max_body + 1)
        except OSError as error:
            raise MaxSizeExceeded("body", self.max_body) from error
        if len(body) > self.max_body:
            raise MaxSizeExceeded("body", self.max_body)
        return body

    def _run_handler(self, request):
        try:
            return self.handler(request)
        except Exception:
            # Handlers return failures as values, so an exception means a broken
            # invariant. Only this request fails; the server keeps running.
            logger.exception(
                "unhandled exception in handler of {} {}", request.method, request.path
            )
            return json_response({"error": {"code": "internal"}}, status=500)


def _body_too_large(limit):
    error = {"code": "body_too_large", "message": f"at most {limit} bytes"}
    return json_response({"error": {**error, "outcome": "not_run"}}, status=413)


def _body_cut():
    error = {"code": "bad_request", "message": "the body is incomplete"}
    return json_response({"error": {**error, "outcome": "not_run"}}, status=400)


def _parse_headers(environ):
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def _status_line(status):
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _log_error(message="", level=20, traceback=False):
    logger.debug("http server: {}", message)
