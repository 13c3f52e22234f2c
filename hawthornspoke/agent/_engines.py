"""Drivers of what runs beside the agent, by kind."""

import json
import socket
from urllib.parse import urlsplit

import urllib3

from hawthornspoke.base import Failure, Registry
from hawthornspoke.protocol import Event, EventKind

ENGINES = Registry(kind="engine")

#: Proof that the engine did not run a request: nothing reached it, or it said so.
ENGINE_DOWN = Failure(code="engine_down")
ENGINE_BUSY = Failure(code="busy")
NOT_LOADED = Failure(code="wrong_digest")

#: An order was refused for its fencing number.
FENCED = Failure(code="fenced")
ORDER_FAILED = Failure(code="order_failed")

CONNECT_TIMEOUT = 0.5
STATE_TIMEOUT = 2.0
ORDER_TIMEOUT = 600.0
READ_BYTES = 64 * 1024

EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]"

#: Headers of an answer that belong to one connection (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    ["connection", "keep-alive", "transfer-encoding", "content-length", "date"]
)


class CutAnswer(Exception):
    """The engine's answer broke off; only used inside a driver's iteration."""


class _Http:
    """Requests to one engine; each open answer belongs to one task."""

    __slots__ = ("url", "pool")

    def __init__(self, *, url):
        self.url = url.rstrip("/")
        self.pool = urllib3.PoolManager(maxsize=64)

    def open(self, method, path, *, body, headers, timeout, objection=None):
        """Return an open answer, ``ENGINE_DOWN`` if nothing was sent.

        Parameters
        ----------
        method, path : str
        body : bytes or None
        headers : dict of str to str or None
        timeout : float
            Seconds.
        objection : callable or None, default=None
            Looked at last; returns a Failure if nothing may be sent any more.

        Returns
        -------
        urllib3.response.BaseHTTPResponse or Failure

        Raises
        ------
        CutAnswer
            If bytes left and no answer came.
        """
        failure = objection() if objection is not None else None
        if failure is not None:
            return failure
        try:
            return self.pool.request(
                method,
                self.url + path,
                body=body,
                headers=headers,
                retries=False,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=timeout),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return ENGINE_DOWN.because(str(error), retry_after=1.0)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise CutAnswer(str(error))

    def has_ended(self):
        """Tell whether no process listens at the engine's address."""
        parts = urlsplit(self.url)
        try:
            address = (parts.hostname, parts.port or 80)
            socket.create_connection(address, timeout=CONNECT_TIMEOUT).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    def state(self):
        """Return the engine's state as JSON, or None."""
        try:
            answer = self.open(
                "GET", "/state", body=None, headers=None, timeout=STATE_TIMEOUT
            )
            if isinstance(answer, Failure) or answer.status != 200:
                return None
            return json.loads(answer.read())
        except (CutAnswer, urllib3.exceptions.HTTPError, OSError, ValueError):
            return None


def _read_pieces(answer):
    try:
        while True:
            piece = answer.read1(READ_BYTES)
            if not piece:
                return
            yield piece
    except (urllib3.exceptions.HTTPError, OSError, ValueError, AttributeError) as error:
        # AttributeError: urllib3 meets it when the answer is shut down by a
        # cancel while another thread reads it.
        raise CutAnswer(repr(error))


def _head(answer, digest):
    headers = {
        name.lower(): value
        for name, value in answer.headers.items()
        if name.lower() not in HOP_HEADERS
    }
    return Event(
        kind=EventKind.HEAD, status=answer.status, headers=headers, digest=digest
    )


@ENGINES.register("model")
class ModelEngine:
    """An OpenAI-style engine that takes weight orders.

    Parameters
    ----------
    url : str
    """

    __slots__ = ("_http",)

    def __init__(self, *, url):
        self._http = _Http(url=url)

    def state(self):
        """Return the engine's state.

        Returns
        -------
        dict or None
            None if it does not answer.
        """
        return self._http.state()

    def has_ended(self):
        """Tell whether the engine's process is gone.

        Returns
        -------
        bool
        """
        return self._http.has_ended()

    def answer(self, run, *, timeout):
        """Run a request.

        Parameters
        ----------
        run : Run
        timeout : float

        Yields
        ------
        Event or Failure
            A failure proves that the request was not run.

        Raises
        ------
        CutAnswer
            If it may have run and the answer is not whole.
        """
        submit = run.submit
        tree = json.loads(submit.body)
        tree["model"] = submit.digest
        if submit.resume_from:
            tree["resume_from"] = submit.resume_from
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": submit.request_id,
        }
        answer = self._http.open(
            "POST",
            submit.path,
            body=json.dumps(tree).encode(),
            headers=headers,
            timeout=timeout,
            objection=run.objection,
        )
        if isinstance(answer, Failure):
            yield answer
            return
        run.attach(answer)
        refusal = self._refusal(answer)
        if refusal is not None:
            answer.read()
            yield refusal
            return
        if answer.status >= 500:
            raise CutAnswer(f"engine answered {answer.status}")
        yield _head(answer, submit.digest)
        if tree.get("stream") is True:
            yield from self._events(answer)
        else:
            for piece in _read_pieces(answer):
                yield Event(kind=EventKind.TOKENS, data=piece, count=0)
        answer.release_conn()

    def stage(self, digest, index, data):
        """Stream one chunk to the engine, which keeps it until the load order.

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
        """Let the engine throw away staged chunks.

        Parameters
        ----------
        digest : str
        """
        try:
            answer = self._http.open(
                "DELETE",
                f"/weights/{digest}",
                body=None,
                headers=None,
                timeout=STATE_TIMEOUT,
            )
        except CutAnswer:
            # Staged chunks that stay are thrown away by the next load order.
            return
        if not isinstance(answer, Failure):
            answer.read()

    def load(self, manifest, *, base, fence):
        """Order the engine to load weights whose chunks are all staged.

        Parameters
        ----------
        manifest : Manifest
        base : str
        fence : int

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
        """Order the engine to drop some weights.

        Parameters
        ----------
        digest : str
        fence : int

        Returns
        -------
        None or Failure
        """
        return self._order({"kind": "unload", "digest": digest, "fence": fence})

    def _refusal(self, answer):
        if answer.status == 404:
            return NOT_LOADED.because("the engine has not loaded these weights")
        if answer.status == 429:
            return ENGINE_BUSY.because("the engine is full", retry_after=1.0)
        return None

    def _events(self, answer):
        """Yield whole server-sent events; the last one has to be the end mark."""
        rest = b""
        ended = False
        for piece in _read_pieces(answer):
            whole, mark, rest = (rest + piece).rpartition(EVENT_END)
            if not mark:
                continue
            whole += mark
            ended = whole.rstrip().endswith(STREAM_END)
            count = whole.count(EVENT_END) - (1 if ended else 0)
            yield Event(kind=EventKind.TOKENS, data=whole, count=count)
        if rest or not ended:
            # A stream cut at an event's edge reads like a short answer.
            raise CutAnswer("the stream ended without its end mark")

    def _put(self, path, data):
        try:
            answer = self._http.open(
                "PUT", path, body=data, headers=None, timeout=STATE_TIMEOUT * 5
            )
        except CutAnswer as error:
            return ORDER_FAILED.because(str(error))
        if isinstance(answer, Failure):
            return answer
        answer.read()
        if answer.status >= 300:
            return ORDER_FAILED.because(f"engine answered {answer.status}")
        return None

    def _order(self, order):
        try:
            answer = self._http.open(
                "POST",
                "/orders",
                body=json.dumps(order).encode(),
                headers={"Content-Type": "application/json"},
                timeout=ORDER_TIMEOUT,
            )
        except CutAnswer as error:
            return ORDER_FAILED.because(str(error))
        if isinstance(answer, Failure):
            return answer
        text = answer.read().decode(errors="replace")
        if answer.status == 409 and "fenc" in text:
            return FENCED.because(text)
        if answer.status >= 300:
            return ORDER_FAILED.because(f"engine answered {answer.status}: {text}")
        return None


@ENGINES.register("plain")
class PlainEngine:
    """A service that is only routed to.

    Parameters
    ----------
    url : str
    """

    __slots__ = ("_http",)

    def __init__(self, *, url):
        self._http = _Http(url=url)

    def state(self):
        """Return the service's state.

        Returns
        -------
        dict or None
            Any HTTP answer shows that it is there.
        """
        return self._http.state()

    def has_ended(self):
        """Tell whether the engine's process is gone.

        Returns
        -------
        bool
        """
        return self._http.has_ended()

    def answer(self, run, *, timeout):
        """Run a request; see :meth:`ModelEngine.answer`."""
        submit = run.submit
        headers = dict(submit.headers or {})
        headers["x-request-id"] = submit.request_id
        answer = self._http.open(
            submit.method,
            submit.path,
            body=submit.body or None,
            headers=headers,
            timeout=timeout,
            objection=run.objection,
        )
        if isinstance(answer, Failure):
            yield answer
            return
        run.attach(answer)
        yield _head(answer, "")
        for piece in _read_pieces(answer):
            yield Event(kind=EventKind.TOKENS, data=piece, count=0)
        answer.release_conn()

    def stage(self, digest, index, data):
        """Refuse: a plain service has no weights."""
        return ORDER_FAILED.because("a plain service takes no weights")

    def drop_staged(self, digest):
        """Do nothing: a plain service has no weights."""

    def load(self, manifest, *, base, fence):
        """Refuse: a plain service has no weights."""
        return ORDER_FAILED.because("a plain service takes no weights")

    def unload(self, digest, *, fence):
        """Refuse: a plain service has no weights."""
        return ORDER_FAILED.because("a plain service takes no weights")
