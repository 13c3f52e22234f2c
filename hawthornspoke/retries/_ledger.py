"""State machine that remembers, for entry hosts, what they used before a restart."""

import math
from collections import deque
from dataclasses import dataclass, field

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Seconds for which retries and requests are remembered.
MEMORY = 10.0

#: Seconds without a connection after which a host isn't assumed to have been down all
#: the while; if it was cut off, what it has used meanwhile isn't known.
MAX_GAP = 3.0

#: Seconds for which a retry may be on its way after its charge was reported.
SEND_TIME = 1.0

#: Seconds for which a host that isn't connected is remembered.
HOST_MEMORY = 30.0

#: Maximum number of hosts that are remembered.
MAX_HOSTS = 2000


@dataclass(slots=True, kw_only=True, frozen=True)
class RetriesReported:
    """An entry host has used, or is about to use, retries.

    Parameters
    ----------
    host : str
        Name of the host; the same for all its processes.
    connection : object
        On which it reports. The first report there is answered.
    entry_hosts : int
        Number of hosts, in all failure domains, that were connected with this agent at
        the same time in the recent past.
    count_by_service, requests_by_service : dict of str to int
        Retries and requests since the start of its process.
    """

    host: str
    connection: object
    entry_hosts: int
    count_by_service: dict
    requests_by_service: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True, frozen=True)
class ConnectionLost:
    """The connection of an entry host has ended.

    Parameters
    ----------
    connection : object
    """

    connection: object


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryHistory:
    """What processes at an entry host have used.

    Parameters
    ----------
    covered : float
        Seconds until now in which nothing that they used was missed.
    is_known : bool
        Whether there were any.
    entry_hosts : int
        Number of entry hosts in the recent past, in all failure domains.
    counts_by_service : dict of str to list of int
        Retries of the last window: of the last second, of the one before, and so on.
        At least as many as were used.
    requests_by_service : dict of str to list of int
        Requests likewise; at most as many as there were.
    received_at : float, default=0.0
        When the host received it, by its own clock.
    """

    covered: float
    is_known: bool
    entry_hosts: int
    counts_by_service: dict = field(default_factory=dict)
    requests_by_service: dict = field(default_factory=dict)
    received_at: float = 0.0


class _Host:
    """What is remembered of one host."""

    __slots__ = ("connections", "covered_since", "lost_at", "uses", "requests")

    def __init__(self, *, covered_since):
        # Retries and requests by service as last reported, by connection.
        self.connections = {}
        self.covered_since = covered_since
        self.lost_at = -math.inf
        # (time, service, number), by increasing time.
        self.uses = deque()
        self.requests = deque()

    def is_recent(self, now):
        return bool(self.connections) or now < self.lost_at + HOST_MEMORY


@MACHINES.register("retry_ledger")
class RetryLedger(Machine):
    """Remembers the retries that entry hosts have used, over their restarts.

    Parameters
    ----------
    window : float, default=MEMORY
        Seconds for which retries count.

    Notes
    -----
    A process that starts doesn't know what the one before it has used. Hosts report to
    all agents before they use a retry, so that each agent which was connected with a
    host knows of at least as many as the host has used.
    """

    __slots__ = ("window", "_started_at", "_host_by_name", "_name_by_connection")
    PARAMS = {"window": Bounds(kind=(int, float), low=0)}

    def __init__(self, *, window=MEMORY):
        self.window = window
        self._started_at = None
        self._host_by_name = {}
        self._name_by_connection = {}

    def start(self, now):
        """Begin to remember; whatever was before isn't known."""
        self._started_at = now

    def on_retries_reported(self, message, *, now):
        """Record what a host has used, and tell a new connection what it had before.

        Returns
        -------
        list of RetryHistory
        """
        outcomes = []
        if message.connection not in self._name_by_connection:
            self._drop_outdated(now)
            if len(self._host_by_name) >= MAX_HOSTS:
                return []
            outcomes.append(self._connect(message, now))
        name = self._name_by_connection[message.connection]
        host = self._host_by_name[name]
        counts, requests = host.connections[message.connection]
        _add_new(host.uses, counts, message.count_by_service, now)
        _add_new(host.requests, requests, message.requests_by_service, now)
        self._drop_outdated_uses(host, now)
        return outcomes

    def on_connection_lost(self, message, *, now):
        """Record that a connection has ended."""
        name = self._name_by_connection.pop(message.connection, None)
        if name is not None:
            host = self._host_by_name[name]
            del host.connections[message.connection]
            host.lost_at = now
        return []

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "hosts": len(self._host_by_name),
            "connections": len(self._name_by_connection),
        }

    def _connect(self, message, now):
        """Add a connection; return the history of its host until now."""
        host = self._host_by_name.get(message.host)
        is_known = host is not None
        if host is None:
            since = now if self._started_at is None else self._started_at
            host = self._host_by_name[message.host] = _Host(covered_since=since)
        elif not host.connections and now > host.lost_at + MAX_GAP:
            host.covered_since = now
        self._drop_outdated_uses(host, now)
        # Requests that were reported on another connection must not count twice.
        host.connections[message.connection] = {}, dict(message.requests_by_service)
        self._name_by_connection[message.connection] = message.host
        return RetryHistory(
            covered=now - host.covered_since,
            is_known=is_known,
            entry_hosts=message.entry_hosts,
            counts_by_service=self._by_age(host.uses, now),
            requests_by_service=self._by_age(host.requests, now),
        )

    def _by_age(self, events, now):
        """Return the numbers of events by service, for each second before now."""
        seconds = math.ceil(self.window + SEND_TIME)
        counts_by_service = {}
        for at, service, number in events:
            counts = counts_by_service.setdefault(service, [0] * seconds)
            counts[min(seconds - 1, int(now - at))] += number
        return counts_by_service

    def _drop_outdated_uses(self, host, now):
        for events in (host.uses, host.requests):
            while events and events[0][0] <= now - self.window - SEND_TIME:
                events.popleft()

    def _drop_outdated(self, now):
        outdated = [
            name for name, host in self._host_by_name.items() if not host.is_recent(now)
        ]
        for name in outdated:
            del self._host_by_name[name]


def _add_new(events, last_by_service, count_by_service, now):
    """Append what the counts of a connection exceed its last ones by."""
    for service, count in count_by_service.items():
        number = count - last_by_service.get(service, 0)
        if number > 0:
            last_by_service[service] = count
            events.append((now, service, number))
