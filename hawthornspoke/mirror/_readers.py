"""Selection of the host that reads the platform, as a pure state machine."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine

#: Minimum seconds between attempts of different hosts to read a failing platform.
RETRY_INTERVAL = 0.3


@dataclass(slots=True, kw_only=True, frozen=True)
class NeighbourListReceived:
    """An agent has reported the entry hosts of this failure domain that it knows.

    Parameters
    ----------
    agent : str
        ``IP:PORT`` of its endpoint.
    addresses : tuple of str
        IPs of the entry hosts; empty if the connection to the agent is lost.
    """

    agent: str
    addresses: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class ReaderFailed:
    """A host, possibly this one, could not provide the platform's current state.

    Parameters
    ----------
    address : str
        IP of the host.
    """

    address: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReaderFound:
    """A search has found the host that reads the platform or has to try next.

    Parameters
    ----------
    address : str
        IP of the host, possibly this one.
    """

    address: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReaderCandidate:
    """What a host of this failure domain answers during a search for the reader.

    Parameters
    ----------
    address : str
        IP of the host, possibly this one.
    reads : bool
        Whether it reads the platform and gets answers in time.
    failed_age : float or None
        Seconds since it last failed to read the platform; None if it could read it or
        has not tried lately.
    """

    address: str
    reads: bool
    failed_age: float | None

    def rank(self):
        """Return a sort key; the first candidate is selected."""
        if self.reads or self.failed_age is None:
            return (not self.reads, float("-inf"), self.address)
        return (True, -self.failed_age, self.address)


@dataclass(slots=True, kw_only=True, frozen=True)
class SelectedReader:
    """Result of a search for the reader.

    Parameters
    ----------
    address : str
        IP of the host, possibly this one.
    is_retry : bool
        Whether the platform fails for several hosts and this one has the next attempt,
        so that there is nothing to query it for yet.
    is_due : bool
        Whether the host may read the platform now.
    """

    address: str
    is_retry: bool
    is_due: bool


def select_reader(candidates):
    """Select the host that reads the platform or has to try next.

    While the platform fails, the host whose last attempt is the longest ago has the
    next one. So the number of attempts does not grow with the number of hosts, and a
    host that stays partitioned does not keep others from trying.

    Parameters
    ----------
    candidates : list of ReaderCandidate
        At least one.

    Returns
    -------
    SelectedReader
    """
    selected = min(candidates, key=ReaderCandidate.rank)
    other_ages = [
        candidate.failed_age
        for candidate in candidates
        if candidate.failed_age is not None and candidate is not selected
    ]
    # After a single failure the next host takes over and can be queried immediately.
    is_retry = not selected.reads and (
        selected.failed_age is not None or len(other_ages) > 1
    )
    is_due = not is_retry or min(other_ages, default=RETRY_INTERVAL) >= RETRY_INTERVAL
    return SelectedReader(address=selected.address, is_retry=is_retry, is_due=is_due)


class ReaderHistory:
    """Which host provided a table last, and which ones did not read since.

    Attributes
    ----------
    not_reading : set of str
        IPs of neighbours that answered since that they do not read the platform.
    """

    __slots__ = ("not_reading", "_has_answer", "_last_reader", "_is_search_due")

    def __init__(self):
        self.not_reading = set()
        self._has_answer = False
        self._last_reader = None
        self._is_search_due = False

    def needs_search(self, reader):
        """Return whether to ask all neighbours before a host is queried.

        A host that reads the platform or has a reader first asks whether another host
        reads: otherwise its neighbours would wait for the changes that it lacks.

        Parameters
        ----------
        reader : str or None
            The neighbour to query; None if this host would read the platform.
        """
        is_other = self._has_answer and reader != self._last_reader
        return self._is_search_due or (is_other and not self.not_reading)

    def record_answer(self, reader):
        """Record that a neighbour, or the platform if None, has provided the table."""
        self._has_answer, self._last_reader = True, reader
        self._is_search_due = False
        self.not_reading.clear()

    def record_not_reading(self, reader, *, answered):
        """Record that a neighbour does not read; after a second answer all are asked.

        Parameters
        ----------
        reader : str
        answered : bool
            Whether it answered so; False if it did not answer.
        """
        self._is_search_due = answered and bool(self.not_reading)
        self.not_reading.add(reader)

    def record_platform_failure(self):
        """Record that this host could not read the platform."""
        self._is_search_due = True
        self.not_reading.clear()


@MACHINES.register("readers")
class ReaderSelector(Machine):
    """Selects the host that reads the platform for all hosts of its failure domain.

    If every entry host read the platform itself, each configuration would be
    transferred into their region once per host: with eleven hosts and 100 KB a
    configuration was in force 3.3 s after it was accepted, and requests queued behind
    it on the link were late. Therefore the first host, ordered by address, reads the
    platform and the others query it; the next one takes over when it fails. A host that
    the platform refuses, or that is partitioned from it, queries its neighbours.

    Parameters
    ----------
    address : str, default=""
        IP of this host.
    avoid_for : float, default=3.0
        Seconds for which a failed host is not selected. A host that is frozen or
        partitioned usually stays so for some seconds.
    """

    __slots__ = (
        "address",
        "avoid_for",
        "_neighbour_addresses_by_agent",
        "_avoid_deadline_by_address",
    )
    PARAMS = {
        "address": Bounds(kind=str),
        "avoid_for": Bounds(kind=(int, float), low=0),
    }

    def __init__(self, *, address="", avoid_for=3.0):
        self.address = address
        self.avoid_for = avoid_for
        self._neighbour_addresses_by_agent = {}
        self._avoid_deadline_by_address = {}

    def on_neighbour_list_received(self, message, *, now):
        """Replace an agent's list of entry hosts; an empty list removes it."""
        if message.addresses:
            self._neighbour_addresses_by_agent[message.agent] = frozenset(
                message.addresses
            )
        else:
            self._neighbour_addresses_by_agent.pop(message.agent, None)
        return []

    def on_reader_failed(self, message, *, now):
        """Don't select a host as the reader for ``avoid_for`` seconds."""
        self._avoid_deadline_by_address[message.address] = now + self.avoid_for
        return []

    def on_reader_found(self, message, *, now):
        """Select a host, and don't select those before it for ``avoid_for`` seconds."""
        self._avoid_deadline_by_address.pop(message.address, None)
        for address in self._failure_domain_addresses():
            if address < message.address:
                self._avoid_deadline_by_address[address] = now + self.avoid_for
        return []

    def reader(self, now):
        """Return the neighbour to query.

        Parameters
        ----------
        now : float

        Returns
        -------
        str or None
            An IP; None if this host has to read the platform itself.
        """
        for address in sorted(self._failure_domain_addresses()):
            if self.is_avoided(address, now):
                continue
            return None if address == self.address else address
        return None

    def is_avoided(self, address, now):
        """Return whether a host failed within the last ``avoid_for`` seconds."""
        return now < self._avoid_deadline_by_address.get(address, 0.0)

    def neighbour_addresses(self):
        """Return the IPs of the other known hosts of this failure domain."""
        return self._failure_domain_addresses() - {self.address}

    def host_count(self):
        """Return the number of known hosts of this failure domain, with this one."""
        return len(self._failure_domain_addresses())

    def has_neighbour_list(self):
        """Return whether an agent has reported the hosts of this failure domain."""
        return bool(self._neighbour_addresses_by_agent)

    def position(self):
        """Return the 0-based position of this host, ordered by address."""
        return sorted(self._failure_domain_addresses()).index(self.address)

    def _failure_domain_addresses(self):
        return {self.address}.union(*self._neighbour_addresses_by_agent.values())

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "reader": self.reader(now),
            "neighbours": sorted(
                set().union(*self._neighbour_addresses_by_agent.values())
            ),
            "avoided_for": {
                address: round(deadline - now, 3)
                for address, deadline in self._avoid_deadline_by_address.items()
                if deadline > now
            },
        }
