"""Tests of the quarantine evidence that entry hosts exchange."""

from types import SimpleNamespace

from hawthornspoke.entry._quarantine_sync import (
    MAX_ITEMS_PER_DATAGRAM,
    RESEND_PERIOD,
    QuarantineSync,
)
from hawthornspoke.metrics import Metrics
from hawthornspoke.protocol import Datagram, decode, encode


class Socket:
    """Delivers datagrams to the other hosts, except to addresses in ``partitioned``."""

    def __init__(self):
        self.host_by_address = {}
        self.partitioned = set()
        self.sent = 0

    def send(self, datagram, targets):
        data = encode(datagram)
        assert len(data) < 60_000
        for address, _ in targets:
            self.sent += 1
            if address not in self.partitioned:
                news = decode(Datagram, data).evidence
                self.host_by_address[address].merge_evidence(news, now=2.0)


def make_hosts(count=3):
    """Return entry hosts that know each other, and their shared socket."""
    socket = Socket()
    synced_hosts = []
    for number in range(count):
        others = [
            SimpleNamespace(address=str(other), port=1)
            for other in range(count)
            if other != number
        ]
        core = SimpleNamespace(
            reachable_entries=lambda others=others: others,
            holder=SimpleNamespace(heard_revision=1),
        )
        quarantine_sync = QuarantineSync(core=core, socket=socket, metrics=Metrics())
        socket.host_by_address[str(number)] = quarantine_sync
        synced_hosts.append(quarantine_sync)
    return synced_hosts, socket


def is_refused(host, fingerprint="f", *, now=2.0):
    return host.quarantine_failure(fingerprint, now=now) is not None


def test_engine_exits_of_all_hosts_are_combined():
    (first, second, third), _ = make_hosts()
    for number, host in enumerate((first, second, third)):
        host.record_engine_exit(f"e{number}", "f", in_use=9, now=1.0 + number)
    assert all(is_refused(host) for host in (first, second, third))


def test_lost_evidence_is_resent_at_next_heartbeat():
    (first, second), socket = make_hosts(2)
    socket.partitioned = {"1"}
    for number in range(3):
        first.record_engine_exit(f"e{number}", "f", in_use=9, now=1.0)
    assert not is_refused(second)
    socket.partitioned = set()
    first.resend_recent(now=2.0)
    assert is_refused(second)


def test_evidence_is_not_resent_after_resend_period():
    (first, _), socket = make_hosts(2)
    first.record_engine_exit("e1", "f", in_use=9, now=1.0)
    sent = socket.sent
    first.resend_recent(now=1.0 + RESEND_PERIOD)
    assert socket.sent == sent


def test_partitioned_host_gets_all_evidence_on_return():
    (first, second), socket = make_hosts(2)
    socket.partitioned = {"1"}
    for number in range(3):
        first.record_engine_exit(f"e{number}", "f", in_use=9, now=1.0)
    socket.partitioned = set()
    first.send_all(SimpleNamespace(address="1", port=1), now=60.0)
    assert is_refused(second, now=60.0)


def test_large_evidence_is_split_into_datagrams():
    (first, second), _ = make_hosts(2)
    for number in range(MAX_ITEMS_PER_DATAGRAM + 10):
        first.quarantine.evidence(now=1.0)
        first.record_engine_exit("e", f"f{number}", in_use=9, now=1.0)
    first.send_all(SimpleNamespace(address="1", port=1), now=1.0)
    assert len(second.quarantine.evidence(now=2.0)) == MAX_ITEMS_PER_DATAGRAM + 10


def test_completion_clears_quarantine_on_all_hosts():
    (first, second), _ = make_hosts(2)
    for number in range(3):
        first.record_engine_exit(f"e{number}", "f", in_use=9, now=1.0)
    second.record_completion("f", now=2.0)
    assert not is_refused(first) and not is_refused(second)
