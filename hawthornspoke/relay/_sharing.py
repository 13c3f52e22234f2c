"""Evidence of requests that end endpoints, told to agents, which join it."""

from hawthornspoke.base import monotonic, rendezvous_order
from hawthornspoke.protocol import Frame
from hawthornspoke.quarantine import read_evidence, write_evidence

#: Agents of each failure domain that join the evidence of a request. One may be lost,
#: and a failure domain that is cut off has its own.
AGENTS_PER_DOMAIN = 2


class EvidenceSharing:
    """Sends evidence to the agents at which other entry hosts' meets it.

    Parameters
    ----------
    quarantine : Quarantine
    failure_domain_at : callable
        Returns the failure domain of the endpoint at an address.
    """

    __slots__ = (
        "_quarantine",
        "_failure_domain_at",
        "_link_by_address",
        "_told_by_address",
        "_is_stale",
    )

    def __init__(self, *, quarantine, failure_domain_at):
        self._quarantine = quarantine
        self._failure_domain_at = failure_domain_at
        self._link_by_address = {}
        self._told_by_address = {}
        self._is_stale = False

    def connected(self, address, link):
        """Greet an agent with what it has to know; it answers with what it knows.

        Parameters
        ----------
        address : str
            Of its endpoint.
        link : PeerConnection
        """
        self._link_by_address[address] = link
        self._told_by_address[address] = set()
        link.send(Frame(evidence=[]))
        self._is_stale = True

    def lost(self, address):
        """Forget an agent; others take its part at the next ``catch_up``."""
        if self._link_by_address.pop(address, None) is not None:
            self._told_by_address.pop(address)
            self._is_stale = True

    def heard(self, address, frame):
        """Return the evidence that an agent told.

        Parameters
        ----------
        address : str
        frame : Frame

        Returns
        -------
        tuple of Evidence
        """
        items = read_evidence(frame.evidence, now=monotonic())
        told = self._told_by_address.get(address)
        if told is not None:
            told.update(_key(item) for item in items)
        return items

    def tell(self, items):
        """Send evidence to the agents that join it.

        Parameters
        ----------
        items : iterable of Evidence
        """
        addresses_by_fingerprint = {}
        items_by_address = {}
        for item in items:
            addresses = addresses_by_fingerprint.get(item.fingerprint)
            if addresses is None:
                addresses = self._agents_for(item.fingerprint)
                addresses_by_fingerprint[item.fingerprint] = addresses
            for address in addresses:
                if _key(item) not in self._told_by_address[address]:
                    items_by_address.setdefault(address, []).append(item)
        now = monotonic()
        for address, untold in items_by_address.items():
            self._told_by_address[address].update(_key(item) for item in untold)
            told = Frame(evidence=write_evidence(untold, now=now))
            self._link_by_address[address].send(told)

    def catch_up(self):
        """Tell agents what they have to know since others came or went."""
        if not self._is_stale:
            return
        self._is_stale = False
        items = self._quarantine.evidence(now=monotonic())
        held = {_key(item) for item in items}
        for told in self._told_by_address.values():
            told &= held
        self.tell(items)

    def _agents_for(self, fingerprint):
        addresses_by_domain = {}
        for address in self._link_by_address:
            domain = self._failure_domain_at(address)
            addresses_by_domain.setdefault(domain, []).append(address)
        return [
            address
            for addresses in addresses_by_domain.values()
            for address in rendezvous_order(key=fingerprint, nodes=addresses)[
                :AGENTS_PER_DOMAIN
            ]
        ]


def _key(item):
    return item.fingerprint, item.start, item.cleared
