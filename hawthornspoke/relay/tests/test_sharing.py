"""Assignment of evidence of poison requests to agents."""

from hawthornspoke.base import monotonic
from hawthornspoke.protocol import EndEvidence, Frame, decode, encode
from hawthornspoke.quarantine import (
    EVIDENCE_LIFETIME,
    EndpointEnded,
    Evidence,
    EvidenceReceived,
    Quarantine,
    decode_evidence,
)
from hawthornspoke.relay._sharing import AGENTS_PER_DOMAIN, EvidenceSharing

DOMAINS = ("a", "b", "c")


class RecordingLink:
    """Link that decodes and records the evidence sent on it."""

    def __init__(self):
        self.received_items = []

    def send(self, frame):
        received = decode(Frame, encode(frame))
        self.received_items += decode_evidence(received.evidence, now=monotonic())
        return True


class FakeHost:
    """An entry host with links to some agents of each failure domain."""

    def __init__(self, *, agents=4):
        self.quarantine = Quarantine()
        self.sharing = EvidenceSharing(
            quarantine=self.quarantine,
            failure_domain_at=lambda address: address.partition("/")[0],
        )
        self.link_by_address = {}
        for domain in DOMAINS:
            for number in range(agents):
                self.connect(f"{domain}/{number}")

    def connect(self, address):
        self.link_by_address[address] = RecordingLink()
        self.sharing.add_agent(address, self.link_by_address[address])
        self.sharing.rebalance()

    def observe_end(self, incarnation_id, fingerprint="f"):
        ended = EndpointEnded(
            incarnation_id=incarnation_id,
            fingerprints=(fingerprint,),
            other_endpoints_in_use=9,
        )
        for update in self.quarantine.step(ended, now=monotonic()):
            self.sharing.share(update.items)

    def notified_addresses(self):
        return {
            address
            for address, link in self.link_by_address.items()
            if link.received_items
        }


def test_hosts_send_evidence_to_the_same_agents_of_each_failure_domain():
    hosts = [FakeHost() for _ in range(3)]
    for number, host in enumerate(hosts):
        host.observe_end(f"e{number}")
    notified = hosts[0].notified_addresses()
    assert all(host.notified_addresses() == notified for host in hosts)
    for domain in DOMAINS:
        assert sum(name.startswith(domain) for name in notified) == AGENTS_PER_DOMAIN


def test_agent_that_replaces_a_lost_one_receives_evidence():
    host = FakeHost()
    host.observe_end("e1")
    for address in host.notified_addresses():
        host.sharing.remove_agent(address)
        del host.link_by_address[address]
    host.sharing.rebalance()
    assert len(host.notified_addresses()) == AGENTS_PER_DOMAIN * len(DOMAINS)


def test_failure_domain_receives_evidence_after_reconnecting():
    host = FakeHost(agents=0)
    host.connect("a/1")
    host.observe_end("e1")
    assert host.notified_addresses() == {"a/1"}
    for address in ("b/1", "c/1"):
        host.connect(address)
    host.sharing.rebalance()
    assert host.notified_addresses() == {"a/1", "b/1", "c/1"}


def test_restarted_agent_receives_evidence_again():
    host = FakeHost(agents=1)
    host.observe_end("e1")
    host.sharing.remove_agent("a/0")
    host.connect("a/0")
    assert len(host.link_by_address["a/0"].received_items) == 1
    assert len(host.link_by_address["b/0"].received_items) == 1


def test_evidence_is_sent_to_an_agent_once():
    host = FakeHost()
    host.observe_end("e1")
    host.sharing.rebalance()
    host.sharing.rebalance()
    assert all(len(link.received_items) <= 1 for link in host.link_by_address.values())


def test_evidence_from_agents_is_not_sent_back():
    host = FakeHost(agents=1)
    item = Evidence(fingerprint="f", incarnation_id="e1", deadline=monotonic() + 50)
    host.quarantine.step(EvidenceReceived(items=(item,)), now=monotonic())
    host.sharing.rebalance()
    assert host.notified_addresses() == set()


def test_invalid_evidence_is_skipped():
    good = EndEvidence(fingerprint="f", endpoint_start="e", left_ms=10**9)
    bad = [
        EndEvidence(),
        EndEvidence(fingerprint="f", endpoint_start="e"),
        EndEvidence(fingerprint="", endpoint_start="e", left_ms=1),
        EndEvidence(fingerprint="f" * 1000, endpoint_start="e", left_ms=1),
        EndEvidence(fingerprint="f", endpoint_start="e", left_ms=-1),
    ]
    (item,) = decode_evidence([*bad, good], now=5.0)
    assert item.deadline == 5.0 + EVIDENCE_LIFETIME
    assert item.cleared is False
