"""Base class of clients that keep a pool of connections."""

from hawthornspoke.base import Failure
from hawthornspoke.httpio._fetch import fetch
from hawthornspoke.httpio._pool import ConnectionPool


class PooledClient:
    """Sends requests over pooled connections, and reads their responses whole.

    Parameters
    ----------
    failure : Failure
        Returned, with a reason, if there is no response.
    connect_timeout : float
        Seconds.
    closes_idle : bool, default=False
        See ``ConnectionPool``.
    **defaults
        Options of ``fetch`` for requests that don't name them.
    """

    __slots__ = ("_pool", "_failure", "_defaults")

    def __init__(self, *, failure, connect_timeout, closes_idle=False, **defaults):
        self._pool = ConnectionPool(
            connect_timeout=connect_timeout, closes_idle=closes_idle
        )
        self._failure = failure
        self._defaults = defaults

    @property
    def metrics(self):
        """Counts the responses beyond a limit; None until it is set."""
        return self._pool.metrics

    @metrics.setter
    def metrics(self, metrics):
        self._pool.metrics = metrics

    async def _fetch(self, address, method, target, **options):
        """Return a response or a Failure; see ``fetch`` for the options."""
        options = {**self._defaults, **options}
        response = await fetch(
            self._pool, address, method=method, target=target, **options
        )
        if isinstance(response, Failure):
            return self._failure.with_reason(response.reason)
        return response
