"""What an entry host of the own interface tells others of poison requests."""

from types import SimpleNamespace

from hawthornspoke.entry._suspects import MOST_ITEMS, TELL_FOR, Suspects
from hawthornspoke.metrics import Metrics
from hawthornspoke.protocol import Datagram, decode, encode


class Socket:
    """Delivers datagrams to other hosts' suspects, unless they are cut off."""

    def __init__(self):
        self.host_by_address = {}
        self.cut_off = set()
        self.sent = 0

    def send(self, datagram, targets):
        data = encode(datagram)
        assert len(data) < 60_000
        for address, _ in targets:
            self.sent += 1
            if address not in self.cut_off:
                news = decode(Datagram, data).evidence
                self.host_by_address[address].hear(news, now=2.0)


def hosts(count=3):
    """Return entry hosts that know each other, and their network."""
    socket = Socket()
    made = []
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
        suspects = Suspects(core=core, socket=socket, metrics=Metrics())
        socket.host_by_address[str(number)] = suspects
        made.append(suspects)
    return made, socket


def is_refused(host, fingerprint="f", *, now=2.0):
    return host.refusal(fingerprint, now=now) is not None


def test_ends_seen_by_different_hosts_count_together():
    (first, second, third), _ = hosts()
    for number, host in enumerate((first, second, third)):
        host.engine_ended(f"e{number}", "f", in_use=9, now=1.0 + number)
    assert all(is_refused(host) for host in (first, second, third))


def test_lost_datagram_is_told_again_at_the_next_heartbeat():
    (first, second), socket = hosts(2)
    socket.cut_off = {"1"}
    for number in range(3):
        first.engine_ended(f"e{number}", "f", in_use=9, now=1.0)
    assert not is_refused(second)
    socket.cut_off = set()
    first.tell_all(now=2.0)
    assert is_refused(second)


def test_nothing_is_told_once_all_had_time_to_hear():
    (first, _), socket = hosts(2)
    first.engine_ended("e1", "f", in_use=9, now=1.0)
    sent = socket.sent
    first.tell_all(now=1.0 + TELL_FOR)
    assert socket.sent == sent


def test_host_that_was_cut_off_for_long_is_told_when_it_is_back():
    (first, second), socket = hosts(2)
    socket.cut_off = {"1"}
    for number in range(3):
        first.engine_ended(f"e{number}", "f", in_use=9, now=1.0)
    socket.cut_off = set()
    first.tell_new(SimpleNamespace(address="1", port=1), now=60.0)
    assert is_refused(second, now=60.0)


def test_much_evidence_fits_into_datagrams():
    (first, second), _ = hosts(2)
    for number in range(MOST_ITEMS + 10):
        first.quarantine.evidence(now=1.0)
        first.engine_ended("e", f"f{number}", in_use=9, now=1.0)
    first.tell_new(SimpleNamespace(address="1", port=1), now=1.0)
    assert len(second.quarantine.evidence(now=2.0)) == MOST_ITEMS + 10


def test_answer_clears_a_request_at_all_hosts():
    (first, second), _ = hosts(2)
    for number in range(3):
        first.engine_ended(f"e{number}", "f", in_use=9, now=1.0)
    second.answered("f", now=2.0)
    assert not is_refused(first) and not is_refused(second)
