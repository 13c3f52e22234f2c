"""Connections that are kept between requests."""

import asyncio

from hawthornspoke.base import contact_clock
from hawthornspoke.httpio._client import open_connection


class _Idle:
    """An idle connection and the start of the endpoint that it leads to."""

    __slots__ = ("connection", "start")

    def __init__(self, *, connection, start):
        self.connection = connection
        self.start = start


class ConnectionPool:
    """Idle connections by key, the last used first.

    Parameters
    ----------
    id_header : str or None, default=None
    connect_timeout : float, default=0.3
        Seconds. A round trip between regions is some milliseconds, and 0.2 s where
        a link is full; an endpoint that is dark doesn't answer at all.
    closes_idle : bool, default=False
        Whether connections are closed by themselves once they are idle for too long
        to be used again. Without it whoever holds the pool calls ``sweep``; a pool
        of many requests a second does so for all of them at once.
    """

    __slots__ = (
        "id_header",
        "connect_timeout",
        "closes_idle",
        "opened",
        "_idle_by_key",
    )

    def __init__(self, *, id_header=None, connect_timeout=0.3, closes_idle=False):
        self.id_header = id_header
        self.connect_timeout = connect_timeout
        self.closes_idle = closes_idle
        self.opened = 0
        self._idle_by_key = {}

    async def acquire(self, key, address, *, start=None, fresh=False, timeout=None):
        """Return a connection.

        Parameters
        ----------
        key : str
            Connections are shared only under one key: an address can pass to
            another endpoint.
        address : str
        start : object, default=None
            Which start of the endpoint is meant. Connections to others are closed:
            one whose host lost power looks open, and a request that is sent on it
            may have run for all that is known.
        fresh : bool, default=False
            Whether to open a new one in any case.
        timeout : float or None, default=None
            Seconds to connect, if other than the pool's.

        Returns
        -------
        ClientConnection or Failure
        """
        idle = self._idle_at(key, start)
        now = contact_clock()
        while idle and not fresh:
            connection = idle.pop().connection
            if now < connection.idle_deadline and connection.is_open:
                return connection
            connection.abort()
        self.opened += 1
        return await open_connection(
            address, timeout=timeout or self.connect_timeout, id_header=self.id_header
        )

    def put_back(self, key, connection, *, start=None):
        """Keep a connection whose answer is complete; see ``acquire``."""
        if connection.release():
            kept = _Idle(connection=connection, start=start)
            self._idle_by_key.setdefault(key, []).append(kept)
            if self.closes_idle:
                delay = max(0.0, connection.idle_deadline - contact_clock())
                asyncio.get_running_loop().call_later(delay, self.sweep)

    def drop(self, key):
        """Close the idle connections of an endpoint that is gone."""
        for item in self._idle_by_key.pop(key, ()):
            item.connection.abort()

    def sweep(self):
        """Close connections that are idle for too long to be used again."""
        now = contact_clock()
        for idle in self._idle_by_key.values():
            over = [item for item in idle if now >= item.connection.idle_deadline]
            for item in over:
                idle.remove(item)
                item.connection.abort()

    def _idle_at(self, key, start):
        """Return the idle connections to one start, and close those to others."""
        idle = self._idle_by_key.get(key)
        if not idle:
            return idle
        for item in [item for item in idle if item.start != start]:
            idle.remove(item)
            item.connection.abort()
        return idle

    def close(self):
        """Close all idle connections."""
        for key in list(self._idle_by_key):
            self.drop(key)
