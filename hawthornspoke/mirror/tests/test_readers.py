"""Selection of the host that reads the platform."""

from hawthornspoke.mirror import NeighbourListReceived, ReaderFailed, ReaderSelector
from hawthornspoke.mirror._readers import (
    RETRY_INTERVAL,
    ReaderCandidate,
    SelectedReader,
    select_reader,
)


def test_host_without_neighbours_reads_the_platform():
    assert ReaderSelector(address="10.0.0.2").reader(0.0) is None


def test_all_hosts_choose_the_same_reader():
    hosts = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    chosen = []
    for host in hosts:
        readers = ReaderSelector(address=host)
        readers.step(NeighbourListReceived(agent="a", addresses=hosts), now=0.0)
        chosen.append(readers.reader(0.0))
    assert chosen == [None, "10.0.0.1", "10.0.0.1"]


def test_failed_reader_is_avoided_temporarily():
    readers = ReaderSelector(address="10.0.0.3", avoid_for=3.0)
    hosts = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    readers.step(NeighbourListReceived(agent="a", addresses=hosts), now=0.0)
    readers.step(ReaderFailed(address="10.0.0.1"), now=1.0)
    assert readers.reader(1.0) == "10.0.0.2"
    readers.step(ReaderFailed(address="10.0.0.2"), now=2.0)
    assert readers.reader(2.0) is None
    assert readers.reader(4.0) == "10.0.0.1"


def test_lost_agent_removes_its_neighbour_list():
    readers = ReaderSelector(address="10.0.0.3")
    readers.step(NeighbourListReceived(agent="a", addresses=("10.0.0.1",)), now=0.0)
    readers.step(NeighbourListReceived(agent="b", addresses=("10.0.0.2",)), now=0.0)
    readers.step(NeighbourListReceived(agent="a", addresses=()), now=1.0)
    assert readers.reader(1.0) == "10.0.0.2"


def candidate(address, *, reads=False, failed_age=None):
    return ReaderCandidate(address=address, reads=reads, failed_age=failed_age)


def test_search_prefers_a_host_that_reads():
    """Guards against waiting for a host that is only first in order."""
    selected = select_reader(
        [candidate("10.0.0.1"), candidate("10.0.0.2", reads=True, failed_age=0.1)]
    )
    assert selected == SelectedReader(address="10.0.0.2", is_retry=False, is_due=True)


def test_two_hosts_that_read_select_the_same_one():
    """Guards against hosts that wait on each other, each with the other as reader."""
    first = candidate("10.0.0.1", reads=True)
    first_as_seen_by_itself = candidate("10.0.0.1", reads=True, failed_age=0.1)
    second = candidate("10.0.0.2", reads=True)
    for candidates in ([first, second], [second, first_as_seen_by_itself]):
        assert select_reader(candidates).address == "10.0.0.1"


def test_next_host_takes_over_after_a_single_failure():
    selected = select_reader(
        [candidate("10.0.0.1", failed_age=0.0), candidate("10.0.0.2")]
    )
    assert selected == SelectedReader(address="10.0.0.2", is_retry=False, is_due=True)


def test_failing_platform_is_read_by_one_host_after_the_other():
    """Guards against attempts that grow with the number of hosts of an outage."""
    hosts = [f"10.0.0.{number}" for number in range(13)]
    failed_at = dict.fromkeys(hosts, -10.0)
    attempts = []
    now = 0.0
    while now < 9.0:
        for host in hosts:
            candidates = [
                candidate(address, failed_age=now - at)
                for address, at in failed_at.items()
            ]
            selected = select_reader(candidates)
            if selected.address == host and selected.is_due:
                attempts.append(host)
                failed_at[host] = now
        now += 0.1
    assert set(attempts) == set(hosts)
    assert len(attempts) <= 9.0 / RETRY_INTERVAL + 1
