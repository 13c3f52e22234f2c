"""HTTP client for the platform; transport errors are returned as failures."""

import urllib3

from hawthornspoke.base import PARTITION
from hawthornspoke.store._bounded_response import BoundedResponse
from hawthornspoke.store._failures import UNAVAILABLE, WRITE_UNCONFIRMED

READ_TIMEOUT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5

#: Maximum size of a response's body in bytes: a chunk of weights, or rows of a table.
MAX_BODY_BYTES = 64 * 1024 * 1024


class _Response(BoundedResponse):
    max_body_bytes = MAX_BODY_BYTES


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _Response


class _SecureConnection(urllib3.connection.HTTPSConnection):
    response_class = _Response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


class HttpClient:
    """Sends requests to one base URL through a connection pool.

    Parameters
    ----------
    url : str
    timeout : float, default=2.0
        Read timeout in seconds.
    connections : int, default=4
        Maximum number of idle connections kept open.
    """

    __slots__ = ("url", "timeout", "connections", "_host", "_pool")

    def __init__(self, *, url, timeout=READ_TIMEOUT_SECONDS, connections=4):
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.connections = connections
        self._host = urllib3.util.parse_url(url).host or ""
        self._pool = urllib3.PoolManager(num_pools=4, maxsize=connections)
        self._pool.pool_classes_by_scheme = {"http": _Pool, "https": _SecurePool}

    def request(self, method, path, *, body=None, headers=None, timeout=None):
        """Send one request, without automatic retries.

        Parameters
        ----------
        method : str
        path : str
        body : bytes or None, default=None
        headers : dict or None, default=None
        timeout : float or None, default=None
            Read timeout in seconds; None for the client's default.

        Returns
        -------
        urllib3.BaseHTTPResponse or Failure
            ``UNAVAILABLE`` if nothing was sent, ``WRITE_UNCONFIRMED`` if the request
            may have been sent but no response was received, or one beyond a limit.
        """
        if PARTITION.blocks(self._host):
            return UNAVAILABLE.with_reason(
                f"{self.url} is blocked by a simulated network partition",
                retry_after=1.0,
            )
        read_timeout = self.timeout if timeout is None else timeout
        try:
            return self._pool.request(
                method,
                self.url + path,
                body=body,
                headers=headers,
                retries=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=read_timeout
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            reason = f"{self.url}: {error}"
            return UNAVAILABLE.with_reason(reason, retry_after=RETRY_AFTER_SECONDS)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return WRITE_UNCONFIRMED.with_reason(
                f"{self.url}: {error}", retry_after=RETRY_AFTER_SECONDS
            )
