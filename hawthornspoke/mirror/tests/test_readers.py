"""Selection of the host that reads the platform."""

from hawthornspoke.mirror import NeighbourListReceived, ReaderFailed, ReaderSelector


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
