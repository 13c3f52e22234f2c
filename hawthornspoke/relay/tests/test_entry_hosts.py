"""The number of entry hosts that share a limit."""

from types import SimpleNamespace

from hawthornspoke.relay._entry_hosts import (
    ASSUMED_ENTRY_HOSTS,
    COUNT_MEMORY,
    EntryHostCount,
)
from hawthornspoke.relay._sink import Sink


class Reports:
    """Reports a number of hosts every half second."""

    def __init__(self):
        self.number = None
        self.now = 0.0
        self.count = EntryHostCount(reported=lambda: self.number)

    def pass_time(self, seconds, *, number, is_view_whole=True):
        """Report a number for some seconds; return what the hosts rely on then."""
        self.number = number
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.count.update(is_view_whole=is_view_whole, now=self.now)
        return self.count.settled(self.now)


def test_number_is_not_relied_on_while_hosts_connect():
    """Guards against shares of one or two hosts as all of them start."""
    reports = Reports()
    assert reports.pass_time(2.0, number=1) is None
    assert reports.pass_time(3.0, number=7) == 7


def test_larger_number_holds_at_once_and_smaller_one_later():
    """Guards against a share of the hosts that are there after one has ended."""
    reports = Reports()
    reports.pass_time(5.0, number=7)
    assert reports.pass_time(0.5, number=9) == 9
    assert reports.pass_time(COUNT_MEMORY - 1.0, number=5) == 9
    assert reports.pass_time(2.0, number=5) == 5


def test_cut_does_not_lower_the_number():
    """Guards against sides of a cut that each use the whole of a limit."""
    reports = Reports()
    reports.pass_time(5.0, number=7)
    assert reports.pass_time(300.0, number=3, is_view_whole=False) == 7
    assert reports.pass_time(0.5, number=8, is_view_whole=False) == 8
    assert reports.pass_time(COUNT_MEMORY + 1.0, number=7) == 7


def test_host_that_starts_in_a_cut_relies_on_no_number():
    """Guards against new hosts that take a share of those that they see."""
    reports = Reports()
    assert reports.pass_time(60.0, number=3, is_view_whole=False) is None
    assert reports.pass_time(2.0, number=7) is None
    assert reports.pass_time(2.0, number=7) == 7


def test_part_of_a_limit_stays_small_as_agents_are_lost():
    """Guards against hosts that lose all agents and share among too few."""
    reports = Reports()
    assert reports.count.largest(reports.now) == ASSUMED_ENTRY_HOSTS
    reports.pass_time(5.0, number=45)
    for number in (3, None):
        reports.pass_time(60.0, number=number, is_view_whole=False)
        assert reports.count.largest(reports.now) == 45


def sees_all(*, listed, connected):
    """Return whether a host sees all failure domains.

    Parameters
    ----------
    listed, connected : str
        Failure domains of the endpoints that have an agent, and of those with which it
        is connected; ``x`` is the domain of an endpoint without an agent.
    """
    entries = [
        SimpleNamespace(address=f"{domain}{number}", failure_domain=domain)
        for number, domain in enumerate(listed)
    ]
    sink = SimpleNamespace(
        entries=entries,
        agents=SimpleNamespace(
            is_listed=lambda address: address[0] != "x",
            is_connected=lambda address: address[0] in connected,
        ),
    )
    return Sink.sees_all_failure_domains(sink)


def test_view_is_whole_with_an_agent_in_each_failure_domain():
    """Guards against cuts that look like hosts that have ended."""
    assert sees_all(listed="aabb", connected="ab")
    assert sees_all(listed="aabx", connected="ab")
    assert not sees_all(listed="aabb", connected="a")
    assert not sees_all(listed="aabb", connected="")
    assert not sees_all(listed="x", connected="")
