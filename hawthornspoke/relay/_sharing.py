"""Sends evidence of poison requests to agents, which combine it.

A poison request crashes the endpoints that run it. Evidence is that a request was
running at an endpoint when the endpoint's process ended.
"""

from hawthornspoke.base import is_failure, monotonic, rendezvous_order
from hawthornspoke.protocol import Frame
from hawthornspoke.quarantine import (
    GRANT_TIME,
    RetrialGranted,
    encode_claim,
    encode_evidence,
)

#: Agents per failure domain that combine the evidence of a request. One may fail, and
#: a failure domain that is cut off still has its own.
AGENTS_PER_DOMAIN = 2

#: Timeout in seconds of a claim.
CLAIM_TIMEOUT = 0.5


class EvidenceSharing:
    """Sends evidence to the agents that combine it with that of other entry hosts.

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
        "_domain_by_address",
        "_assigned_domain_by_address",
    )

    def __init__(self, *, quarantine, failure_domain_at):
        self._quarantine = quarantine
        self._failure_domain_at = failure_domain_at
        self._link_by_address = {}
        self._domain_by_address = {}
        # Failure domains of the agents among which ``rebalance`` last divided evidence.
        self._assigned_domain_by_address = {}

    def add_agent(self, address, link):
        """Add a connected agent, and ask it for its evidence.

        Parameters
        ----------
        address : str
            Address of its endpoint.
        link : PeerConnection
        """
        self._link_by_address[address] = link
        self._domain_by_address[address] = self._failure_domain_at(address)
        # The agent may have restarted and lost its evidence.
        self._assigned_domain_by_address.pop(address, None)
        # An agent answers the first evidence on a connection with all that it has.
        link.send(Frame(evidence=[]))

    def remove_agent(self, address):
        """Remove an agent; ``rebalance`` assigns its evidence to others."""
        self._link_by_address.pop(address, None)
        self._domain_by_address.pop(address, None)

    def share(self, items):
        """Send evidence to the agents that combine it.

        Parameters
        ----------
        items : iterable of Evidence or Retrial
        """
        for address, outgoing in self._assign(items, self._domain_by_address).items():
            self._send(address, outgoing)

    async def claim_retrial(self, feature):
        """Ask the agent that grants retrials of a feature to all hosts for one.

        Parameters
        ----------
        feature : str

        Returns
        -------
        RetrialGranted or None
            None if it denies it, or if no agent is reached: then no host sends one.
        """
        order = rendezvous_order(key=feature, nodes=self._link_by_address)
        if not order:
            return None
        claimed_at = monotonic()
        known = self._quarantine.retrial(feature, now=claimed_at)
        claim = Frame(retrial_claim=encode_claim(known, now=claimed_at))
        link = self._link_by_address[order[0]]
        answer = await link.ask(claim, timeout=CLAIM_TIMEOUT)
        if is_failure(answer) or answer.retrial_grant is None:
            return None
        if not answer.retrial_grant.is_granted:
            return None
        return RetrialGranted(fingerprint=feature, expires_at=claimed_at + GRANT_TIME)

    def rebalance(self):
        """Send evidence that is assigned to other agents since agents came or left."""
        if self._domain_by_address == self._assigned_domain_by_address:
            return
        items = self._quarantine.evidence(now=monotonic())
        before = self._assign(items, self._assigned_domain_by_address)
        for address, assigned in self._assign(items, self._domain_by_address).items():
            known = {id(item) for item in before.get(address, ())}
            self._send(address, [item for item in assigned if id(item) not in known])
        self._assigned_domain_by_address = dict(self._domain_by_address)

    def _send(self, address, items):
        if items:
            outgoing = Frame(evidence=encode_evidence(items, now=monotonic()))
            self._link_by_address[address].send(outgoing)

    @staticmethod
    def _assign(items, domain_by_address):
        """Return the evidence assigned to each agent, as items by address."""
        addresses_by_domain = {}
        for address, domain in domain_by_address.items():
            addresses_by_domain.setdefault(domain, []).append(address)
        items_by_fingerprint = {}
        for item in items:
            items_by_fingerprint.setdefault(item.fingerprint, []).append(item)
        items_by_address = {}
        for fingerprint, known in items_by_fingerprint.items():
            for addresses in addresses_by_domain.values():
                order = rendezvous_order(key=fingerprint, nodes=addresses)
                for address in order[:AGENTS_PER_DOMAIN]:
                    items_by_address.setdefault(address, []).extend(known)
        return items_by_address
