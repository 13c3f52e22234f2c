"""A cheroot server that hands typed requests to one handler."""

import threading
from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded
from cheroot.wsgi import Gateway_10, Server
from loguru import logger

from hawthornspoke.web._types import Request, json_response

SOCKET_KEY = "hawthornspoke.connection"
STOP_SECONDS = 1.0

#: Seconds between two looks at how many workers are idle.
GROW_SECONDS = 0.2

#: Idle workers below which more are started, and how many.
IDLE_LOW = 8
GROW_BY = 16


class _Gateway(Gateway_10):
    """Adds the connection to the environ, to see whether the caller is there."""

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
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
        Requests handled at once.
    max_body : int, default=0
        Bytes of a body at most; 0 for no limit.
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
        """Bind and start to serve.

        Raises
        ------
        OSError
            If the address is taken.
        """
        server = Server(
            (self.address, self.port),
            self._application,
            numthreads=min(self.threads, 10),
            max=self.threads,
            request_queue_size=512,
            shutdown_timeout=STOP_SECONDS,
        )
        server.gateway = _Gateway
        server.error_log = _log_error
        server.timeout = 30
        server.prepare()
        self._server = server
        name = f"http-{self.port}"
        threading.Thread(target=server.serve, name=name, daemon=True).start()
        if self.threads > 10:
            threading.Thread(target=self._grow, name="http-grow", daemon=True).start()

    def close(self):
        """Stop serving; answers on their way are cut."""
        if self._server is not None:
            self._server.stop()

    def _grow(self):
        """Keep a few idle workers: cheroot starts no more by itself."""
        pool = self._server.requests
        stop = threading.Event()
        while self._server.ready:
            if pool.idle < IDLE_LOW and len(pool._threads) < self.threads:
                pool.grow(GROW_BY)
            stop.wait(GROW_SECONDS)

    def _application(self, environ, start_response):
        request, refusal = self._read(environ)
        response = refusal or self._answer(request)
        headers = list(response.headers.items())
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(_status_line(response.status), headers)
        if isinstance(response.body, bytes):
            return [response.body]
        return response.body

    def _read(self, environ):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if self.max_body and length > self.max_body:
            return None, _too_large(self.max_body)
        try:
            body = self._body(environ, length)
        except MaxSizeExceeded:
            return None, _too_large(self.max_body)
        request = Request(
            method=environ["REQUEST_METHOD"],
            path=environ.get("PATH_INFO", "/"),
            query=environ.get("QUERY_STRING", ""),
            headers=_headers(environ),
            body=body,
            connection=environ.get(SOCKET_KEY),
        )
        return request, None

    def _body(self, environ, length):
        stream = environ["wsgi.input"]
        if length:
            return stream.read(length)
        if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
            return stream.read()
        return b""

    def _answer(self, request):
        try:
            return self.handler(request)
        except Exception:
            # A handler that raises has met a broken invariant; this request
            # gets an error and the process goes on for all the others.
            logger.exception("handler failed on {} {}", request.method, request.path)
            return json_response({"error": {"code": "internal"}}, status=500)


def _too_large(limit):
    error = {"code": "body_too_large", "message": f"at most {limit} bytes"}
    return json_response({"error": {**error, "outcome": "not_run"}}, status=413)


def _headers(environ):
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
