"""Drivers for the engine or service on the agent's host, by kind."""

import contextlib
import json
import select
import socket
import threading
from urllib.parse import urlsplit

import urllib3

from hawthornspoke import fields
from hawthornspoke.base import Failure, Registry, is_closed_by_peer
from hawthornspoke.protocol import Event, EventKind
from hawthornspoke.store import BoundedResponse

ENGINES = Registry(kind="engine")

#: Failures which guarantee that the engine did not run the request: it received
#: nothing, or it rejected the request.
ENGINE_DOWN = Failure(code="engine_down")
ENGINE_BUSY = Failure(code="busy")
NOT_LOADED = Failure(code="wrong_digest")

#: The engine rejected a load or unload order because it has seen a newer fencing token,
#: so another agent has sent orders meanwhile.
FENCED = Failure(code="fenced")
ORDER_FAILED = Failure(code="order_failed")

#: The engine did not answer in time, but neither refused nor closed the connection.
ENGINE_SILENT = Failure(code="engine_silent")

CONNECT_TIMEOUT = 0.5

#: Seconds after the end of an answer without framing within which an engine that has
#: ended, or is ending, closes its other connections as well.
SETTLE_TIME = 0.05
STATE_TIMEOUT = 2.0
ORDER_TIMEOUT = 600.0
READ_BYTES = 64 * 1024

#: Maximum size, in bytes, of the engine's state, of its answer to an order and of an
#: event of a stream.
MAX_STATE_BYTES = 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024

EVENT_DELIMITER = b"\n\n"
DONE_EVENT = b"data: [DONE]"

#: Response headers that are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    ["connection", "keep-alive", "transfer-encoding", "content-length", "date"]
)


class IncompleteResponse(Exception):
    """The engine received a request, but its response is missing or incomplete.

    Raised to callers only while they iterate over :meth:`ModelEngine.stream_events`.
    """


class ResponseTimeout(IncompleteResponse):
    """The engine received a request, but sent nothing for as long as allowed."""


class _PrecheckFailed(Exception):
    """A request was not sent."""

    def __init__(self, failure):
        super().__init__(failure)
        self.failure = failure


class _CheckedConnection(urllib3.connection.HTTPConnection):
    """Connection that checks right before the first byte whether a request may be sent.

    The pool may have to connect first, and the process may be suspended meanwhile.

    Attributes
    ----------
    precheck_of_thread : threading.local
        Its ``call`` is the check of the request that the thread sends next, or None.
    """

    precheck_of_thread = threading.local()
    response_class = BoundedResponse

    def send(self, data):
        """Send data, after the check if it is the first of a request."""
        if self.sock is None:
            self.connect()
        precheck = getattr(self.precheck_of_thread, "call", None)
        self.precheck_of_thread.call = None
        failure = precheck() if precheck is not None else None
        if failure is not None:
            raise _PrecheckFailed(failure)
        super().send(data)

    def getresponse(self):
        """Return the response, with the socket that it is read from."""
        sock = self.sock
        response = super().getresponse()
        # A response without framing takes the socket from its connection.
        response.socket = sock
        return response


class _CheckedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _CheckedConnection


class _EngineClient:
    """HTTP client of one engine; each open response is read by one thread."""

    __slots__ = ("url", "pool")

    def __init__(self, *, url):
        self.url = url.rstrip("/")
        self.pool = urllib3.PoolManager(maxsize=64)
        self.pool.pool_classes_by_scheme = {
            **self.pool.pool_classes_by_scheme,
            "http": _CheckedPool,
        }

    def open(self, method, path, *, body, headers, timeout, precheck=None):
        """Send a request and return the response with its body unread.

        Parameters
        ----------
        method, path : str
        body : bytes or None
        headers : dict of str to str or None
        timeout : float
            Seconds.
        precheck : callable or None, default=None
            Called just before sending; returns a Failure if the request must not
            be sent any more, otherwise None.

        Returns
        -------
        urllib3.response.BaseHTTPResponse or Failure
            ``ENGINE_DOWN`` if nothing was sent.

        Raises
        ------
        IncompleteResponse
            If the request was sent, at least in part, and no response was received.
        """
        try:
            return self._request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=timeout,
                precheck=precheck,
            )
        except _PrecheckFailed as error:
            return error.failure
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return ENGINE_DOWN.with_reason(str(error), retry_after=1.0)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise IncompleteResponse(str(error))

    def connect(self):
        """Open a connection to the engine that carries no request.

        Returns
        -------
        socket.socket

        Raises
        ------
        OSError
        """
        parts = urlsplit(self.url)
        port = parts.port or (443 if parts.scheme == "https" else 80)
        return socket.create_connection((parts.hostname, port), timeout=CONNECT_TIMEOUT)

    def read_body(self, response):
        """Read the body of an answer that has no end mark of its own.

        Yields
        ------
        bytes

        Raises
        ------
        IncompleteResponse
        """
        if response.chunked or response.length_remaining is not None:
            yield from _iter_body(response)
            return
        # An https connection has another class.
        answer_socket = getattr(response, "socket", None)
        with _EndWitness(client=self, answer_socket=answer_socket) as witness:
            for part in _iter_body(response):
                witness.renew()
                yield part
            if not witness.is_open_after(SETTLE_TIME):
                raise IncompleteResponse(
                    "the answer has no length, and the engine closed other connections"
                )

    def has_ended(self):
        """Return whether no process listens at the engine's address."""
        try:
            self.connect().close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    def state(self):
        """Return the decoded JSON state, None if there is none, or ENGINE_SILENT."""
        try:
            response = self._request("GET", "/state", timeout=STATE_TIMEOUT)
            if response.status != 200:
                return None
            return fields.parse_object(_read_state(response))
        except urllib3.exceptions.NewConnectionError:
            # A subclass of ConnectTimeoutError, though no time has passed.
            return None
        except (urllib3.exceptions.TimeoutError, ResponseTimeout) as error:
            return ENGINE_SILENT.with_reason(str(error))
        except (IncompleteResponse, urllib3.exceptions.HTTPError, OSError, ValueError):
            return None

    def _request(
        self, method, path, *, timeout, body=None, headers=None, precheck=None
    ):
        _CheckedConnection.precheck_of_thread.call = precheck
        return self.pool.request(
            method,
            self.url + path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            preload_content=False,
            # A caller gets the body as it is, and the field that names its coding.
            decode_content=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=timeout),
        )


class _EndWitness:
    """A second connection to an engine, beside an answer without framing.

    Such an answer ends with its connection, as it also does if the engine's process
    ends; but that closes all connections of the engine.

    Parameters
    ----------
    client : _EngineClient
    answer_socket : socket.socket or None
        Of the answer; None if it isn't known.
    """

    __slots__ = ("_client", "_answer_socket", "_connection")

    def __init__(self, *, client, answer_socket):
        self._client = client
        self._answer_socket = answer_socket
        self._connection = None

    def __enter__(self):
        self._connect()
        return self

    def __exit__(self, *exc):
        if self._connection is not None:
            self._connection.close()

    def renew(self):
        """Connect again if the engine has closed the connection, as it was idle."""
        if self._connection is not None:
            if not is_closed_by_peer(self._connection):
                return
            self._connection.close()
            self._connection = None
        # Parts of an answer may be read after its engine has ended and started again.
        sock = self._answer_socket
        if sock is None or not is_closed_by_peer(sock):
            self._connect()

    def _connect(self):
        with contextlib.suppress(OSError):
            self._connection = self._client.connect()

    def is_open_after(self, seconds):
        """Wait; return whether the connection is still open."""
        if self._connection is None:
            return False
        poller = select.poll()
        poller.register(self._connection, select.POLLIN)
        return not poller.poll(seconds * 1000)


def _read_state(response):
    """Read a short response.

    Raises
    ------
    IncompleteResponse
        If it is too long or ends early; ``ResponseTimeout`` if it doesn't go on.
    """
    try:
        data = response.read(MAX_STATE_BYTES + 1, decode_content=True)
    except urllib3.exceptions.ReadTimeoutError as error:
        response.close()
        raise ResponseTimeout(str(error))
    except (urllib3.exceptions.HTTPError, OSError) as error:
        response.close()
        raise IncompleteResponse(str(error))
    if len(data) > MAX_STATE_BYTES:
        response.close()
        raise IncompleteResponse(f"a response of over {MAX_STATE_BYTES} bytes")
    response.release_conn()
    return data


def _discard(response):
    """Read a short response that isn't needed, so that its connection is reused."""
    # A response that is too long or ends early has been closed.
    with contextlib.suppress(IncompleteResponse):
        _read_state(response)


def _iter_body(response):
    try:
        while True:
            part = response.read1(READ_BYTES)
            if not part:
                return
            yield part
    except (urllib3.exceptions.HTTPError, OSError, ValueError, AttributeError) as error:
        # urllib3 raises AttributeError when a cancel shuts the response down while
        # another thread reads it.
        raise IncompleteResponse(repr(error))


def _head_event(response, digest):
    headers = {
        name.lower(): value
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }
    return Event(
        kind=EventKind.HEAD, status=response.status, headers=headers, digest=digest
    )


@ENGINES.register("model")
class ModelEngine:
    """An engine with an OpenAI-style API and calls to load and unload weights.

    Parameters
    ----------
    url : str
    """

    __slots__ = ("_client",)

    def __init__(self, *, url):
        self._client = _EngineClient(url=url)

    def state(self):
        """Return the engine's state.

        Returns
        -------
        dict, None or Failure
            None if the engine refuses or breaks the connection or its answer is no
            state; ``ENGINE_SILENT`` if it doesn't answer in time.
        """
        return self._client.state()

    def has_ended(self):
        """Return whether no process listens at the engine's address.

        Returns
        -------
        bool
        """
        return self._client.has_ended()

    def stream_events(self, run, *, timeout):
        """Run a request.

        Parameters
        ----------
        run : Run
        timeout : float

        Yields
        ------
        Event or Failure
            A failure guarantees that the request was not run.

        Raises
        ------
        IncompleteResponse
            If the request may have run and the response is incomplete.
        """
        submit = run.submit
        payload = fields.parse_object(submit.body)
        payload["model"] = submit.digest
        if submit.resume_from:
            payload["resume_from"] = submit.resume_from
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": submit.request_id,
        }
        response = self._client.open(
            "POST",
            submit.path,
            body=json.dumps(payload).encode(),
            headers=headers,
            timeout=timeout,
            precheck=run.precheck,
        )
        if isinstance(response, Failure):
            yield response
            return
        run.attach(response)
        rejection = self._rejection(response)
        if rejection is not None:
            _discard(response)
            yield rejection
            return
        if response.status >= 500:
            raise IncompleteResponse(f"engine answered {response.status}")
        yield _head_event(response, submit.digest)
        if payload.get("stream") is True:
            yield from self._events(response)
        else:
            for part in self._client.read_body(response):
                yield Event(kind=EventKind.TOKENS, data=part, count=0)
        response.release_conn()

    def stage(self, digest, index, data):
        """Send one chunk to the engine, which keeps it until :meth:`load` is called.

        Parameters
        ----------
        digest : str
        index : int
        data : bytes

        Returns
        -------
        None or Failure
        """
        return self._put(f"/weights/{digest}/{index}", data)

    def drop_staged(self, digest):
        """Make the engine discard staged chunks.

        Parameters
        ----------
        digest : str
        """
        try:
            response = self._client.open(
                "DELETE",
                f"/weights/{digest}",
                body=None,
                headers=None,
                timeout=STATE_TIMEOUT,
            )
        except IncompleteResponse:
            # The engine discards the remaining staged chunks at its next load anyway.
            return
        if not isinstance(response, Failure):
            _discard(response)

    def load(self, manifest, *, base, fence):
        """Order the engine to load weights whose chunks are all staged.

        Parameters
        ----------
        manifest : Manifest
        base : str
            Digest of the base weights if these are adapter weights, else empty.
        fence : int
            Fencing token, by which the engine rejects orders of an earlier agent.

        Returns
        -------
        None or Failure
        """
        order = {
            "kind": "load",
            "digest": manifest.digest,
            "chunk_size": manifest.chunk_size,
            "base": base,
            "fence": fence,
        }
        return self._order(order)

    def unload(self, digest, *, fence):
        """Order the engine to unload weights.

        Parameters
        ----------
        digest : str
        fence : int

        Returns
        -------
        None or Failure
        """
        return self._order({"kind": "unload", "digest": digest, "fence": fence})

    def _rejection(self, response):
        if response.status == 404:
            return NOT_LOADED.with_reason("the engine has not loaded these weights")
        if response.status == 429:
            return ENGINE_BUSY.with_reason("the engine is full", retry_after=1.0)
        return None

    def _events(self, response):
        """Yield complete server-sent events; the last must be ``[DONE]``."""
        rest = b""
        ended = False
        for part in _iter_body(response):
            complete, delimiter, rest = (rest + part).rpartition(EVENT_DELIMITER)
            if len(rest) > MAX_EVENT_BYTES:
                raise IncompleteResponse(f"an event of over {MAX_EVENT_BYTES} bytes")
            if not delimiter:
                continue
            complete += delimiter
            ended = complete.rstrip().endswith(DONE_EVENT)
            count = complete.count(EVENT_DELIMITER) - (1 if ended else 0)
            yield Event(kind=EventKind.TOKENS, data=complete, count=count)
        if rest or not ended:
            # Otherwise a stream cut off between two events would pass for a complete,
            # short response.
            raise IncompleteResponse("the stream ended without its end mark")

    def _put(self, path, data):
        try:
            response = self._client.open(
                "PUT", path, body=data, headers=None, timeout=STATE_TIMEOUT * 5
            )
        except IncompleteResponse as error:
            return ORDER_FAILED.with_reason(str(error))
        if isinstance(response, Failure):
            return response
        _discard(response)
        if response.status >= 300:
            return ORDER_FAILED.with_reason(f"engine answered {response.status}")
        return None

    def _order(self, order):
        try:
            response = self._client.open(
                "POST",
                "/orders",
                body=json.dumps(order).encode(),
                headers={"Content-Type": "application/json"},
                timeout=ORDER_TIMEOUT,
            )
            if isinstance(response, Failure):
                return response
            text = _read_state(response).decode(errors="replace")
        except IncompleteResponse as error:
            return ORDER_FAILED.with_reason(str(error))
        if response.status == 409 and "fenc" in text:
            return FENCED.with_reason(text)
        if response.status >= 300:
            return ORDER_FAILED.with_reason(
                f"engine answered {response.status}: {text}"
            )
        return None


@ENGINES.register("plain")
class PlainEngine:
    """A service without managed weights; requests are only forwarded to it.

    Parameters
    ----------
    url : str
    """

    __slots__ = ("_client",)

    def __init__(self, *, url):
        self._client = _EngineClient(url=url)

    def state(self):
        """Return the service's state.

        Returns
        -------
        dict, None or Failure
            None if the service does not respond with JSON and status 200;
            ``ENGINE_SILENT`` if it doesn't answer in time.
        """
        return self._client.state()

    def has_ended(self):
        """Return whether no process listens at the service's address.

        Returns
        -------
        bool
        """
        return self._client.has_ended()

    def stream_events(self, run, *, timeout):
        """Run a request; see :meth:`ModelEngine.stream_events`."""
        submit = run.submit
        headers = dict(submit.headers or {})
        headers["x-request-id"] = submit.request_id
        response = self._client.open(
            submit.method,
            submit.path,
            body=submit.body or None,
            headers=headers,
            timeout=timeout,
            precheck=run.precheck,
        )
        if isinstance(response, Failure):
            yield response
            return
        run.attach(response)
        yield _head_event(response, "")
        for part in self._client.read_body(response):
            yield Event(kind=EventKind.TOKENS, data=part, count=0)
        response.release_conn()

    def stage(self, digest, index, data):
        """Return a failure: a plain service has no weights."""
        return ORDER_FAILED.with_reason("a plain service takes no weights")

    def drop_staged(self, digest):
        """Do nothing: a plain service has no weights."""

    def load(self, manifest, *, base, fence):
        """Return a failure: a plain service has no weights."""
        return ORDER_FAILED.with_reason("a plain service takes no weights")

    def unload(self, digest, *, fence):
        """Return a failure: a plain service has no weights."""
        return ORDER_FAILED.with_reason("a plain service takes no weights")
