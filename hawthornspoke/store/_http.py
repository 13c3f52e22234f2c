"""HTTP to the platform, with outcomes for what went wrong."""

import urllib3

from hawthornspoke.base import PARTITION
from hawthornspoke.store._failures import UNAVAILABLE, UNSURE

DEFAULT_TIMEOUT = 2.0
RETRY_AFTER = 1.0
CONNECT_TIMEOUT = 0.5


class HttpClient:
    """One base URL.

    Parameters
    ----------
    url : str
    timeout : float, default=2.0
        Seconds without a byte after which an answer is given up.
    connections : int, default=4
    """

    __slots__ = ("url", "timeout", "connections", "_host", "_pool")

    def __init__(self, *, url, timeout=DEFAULT_TIMEOUT, connections=4):
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.connections = connections
        self._host = urllib3.util.parse_url(url).host or ""
        self._pool = urllib3.PoolManager(num_pools=4, maxsize=connections)

    def request(self, method, path, *, body=None, headers=None, timeout=None):
        """Make one request, never repeated by itself.

        Parameters
        ----------
        method : str
        path : str
        body : bytes or None, default=None
        headers : dict or None, default=None
        timeout : float or None, default=None

        Returns
        -------
        urllib3.BaseHTTPResponse or Failure
            ``UNAVAILABLE`` if nothing was sent, ``UNSURE`` if the answer is lost.
        """
        if PARTITION.blocks(self._host):
            return UNAVAILABLE.because(f"{self.url} is cut off", retry_after=1.0)
        read = self.timeout if timeout is None else timeout
        try:
            return self._pool.request(
                method,
                self.url + path,
                body=body,
                headers=headers,
                retries=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=read),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            reason = f"{self.url}: {error}"
            return UNAVAILABLE.because(reason, retry_after=RETRY_AFTER)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return UNSURE.because(f"{self.url}: {error}", retry_after=RETRY_AFTER)
