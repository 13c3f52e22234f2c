"""Asyncio HTTP/1.1 server for callers.

Each request is handled by its own task. A thread per connection, as in cheroot, can't
detect that a caller disconnects while the thread waits for an endpoint; here the event
loop detects it and cancels the task.
"""

import asyncio

from hawthornspoke.base import monotonic
from hawthornspoke.httpio._ends import CloseReason
from hawthornspoke.httpio._server_connection import ServerConnection

#: Seconds between checks for idle or slow connections.
SWEEP_INTERVAL = 0.5

#: Length of the accept queue, large enough for a burst of new connections.
BACKLOG = 1024


class ServerLimits:
    """Size and time limits of requests; a change replaces the whole object.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum sizes of a request.
    header_time, idle_time : float
        Maximum times in seconds: ``header_time`` to receive the headers, ``idle_time``
        to receive a body and for a connection without a request.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_time", "idle_time")

    def __init__(
        self, *, header_bytes=16384, body_bytes=4194304, header_time=3.0, idle_time=15.0
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_time = header_time
        self.idle_time = idle_time


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    host : str
    port : int
    handler : coroutine function
        Called with a Request and its Reply.
    on_handler_error : callable
        Called with an exception that the handler raised, and the request.
    limits : ServerLimits or None, default=None
    memory : MemoryGuard or None, default=None
        None if the memory of connections has no limit.
    metrics : Metrics or None, default=None
        Counts how requests end and why connections are closed, if not None.
    """

    __slots__ = (
        "host",
        "port",
        "handler",
        "on_handler_error",
        "limits",
        "connections",
        "draining",
        "memory",
        "metrics",
        "_earlier_idle_times",
        "_server",
        "_sweeper",
    )

    def __init__(
        self,
        *,
        host,
        port,
        handler,
        on_handler_error,
        limits=None,
        memory=None,
        metrics=None,
    ):
        self.host = host
        self.port = port
        self.handler = handler
        self.on_handler_error = on_handler_error
        self.limits = limits or ServerLimits()
        self._earlier_idle_times = []
        self.connections = set()
        self.draining = False
        self.memory = memory
        self.metrics = metrics
        self._server = None
        self._sweeper = None

    def set_limits(self, limits):
        """Apply new limits, and extend the deadlines of connections if they grow.

        Parameters
        ----------
        limits : ServerLimits
        """
        now = monotonic()
        previous, self.limits = self.limits, limits
        self._earlier_idle_times = [
            (until, seconds)
            for until, seconds in self._earlier_idle_times
            if now < until
        ]
        if limits.idle_time < previous.idle_time:
            until = now + previous.idle_time
            self._earlier_idle_times.append((until, previous.idle_time))
        for connection in self.connections:
            connection.extend_deadline(previous, limits, now)

    def idle_time(self, now):
        """Return the longest time for which callers may leave a connection idle.

        Callers may still go by a longer time that was in force before.

        Parameters
        ----------
        now : float

        Returns
        -------
        float
            Seconds.
        """
        idle_time = self.limits.idle_time
        for until, seconds in self._earlier_idle_times:
            if now < until:
                idle_time = max(idle_time, seconds)
        return idle_time

    async def start(self):
        """Bind and listen.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(server=self),
            self.host,
            self.port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._sweeper = loop.create_task(self._sweep())

    @property
    def bound_port(self):
        """The bound port; differs from ``port`` if that is 0."""
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self):
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self):
        """Close the connections without a request, also a half-received one."""
        for connection in list(self.connections):
            if not connection.holds_request():
                connection.close(CloseReason.SHUTDOWN)

    def running_count(self):
        """Return the number of requests in progress."""
        return sum(connection.task is not None for connection in self.connections)

    def close_overdue(self, now):
        """Close the connections whose idle or receive deadline has passed.

        Parameters
        ----------
        now : float
        """
        for connection in list(self.connections):
            if connection.is_overdue(now):
                connection.close_overdue(now)

    def unfinished_count(self):
        """Return the number of requests in progress, half received or half answered."""
        return sum(
            connection.holds_request() or connection.write_buffer_size() > 0
            for connection in self.connections
        )

    def close(self):
        """Stop listening and abort all connections."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.abort(CloseReason.SHUTDOWN)

    async def cut_requests(self, *, timeout):
        """Close, and wait until the handlers of requests in progress have ended.

        Parameters
        ----------
        timeout : float
            Maximum time in seconds.
        """
        tasks = [item.task for item in self.connections if item.task is not None]
        self.close()
        if tasks:
            await asyncio.wait(tasks, timeout=timeout)

    def count_end(self, end):
        """Count the end of a request.

        Parameters
        ----------
        end : RequestEnd
        """
        if self.metrics is not None:
            self.metrics.count("request_ends_total", end=end.kind, cause=end.cause)

    def count_close(self, reason, *, unanswered):
        """Count a connection that this side closes.

        Parameters
        ----------
        reason : CloseReason
        unanswered : str
            Whether it holds bytes of a request that isn't handled: ``read`` or
            ``unread`` by this process, or ``none``.
        """
        if self.metrics is not None:
            self.metrics.count(
                "connections_closed_total", reason=reason, unanswered=unanswered
            )

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self.close_overdue(monotonic())
