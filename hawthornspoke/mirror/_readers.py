"""Selection of the host that reads the platform, as a pure state machine."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine


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

    def neighbour_addresses(self):
        """Return the addresses of the other hosts of this failure domain, ordered."""
        return sorted(self._failure_domain_addresses() - {self.address})

    def is_avoided(self, address, now):
        """Return whether a host failed within the last ``avoid_for`` seconds."""
        return now < self._avoid_deadline_by_address.get(address, 0.0)

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
