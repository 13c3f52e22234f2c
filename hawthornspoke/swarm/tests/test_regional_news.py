"""Who is told of pieces where hosts stand in several regions."""

import pytest

from hawthornspoke.base import rendezvous_order
from hawthornspoke.store import HostEntry
from hawthornspoke.swarm import (
    AnnounceChunks,
    Announced,
    AskHoldings,
    ChunkFailed,
    ChunkVerified,
    Complete,
    FetchFromOrigin,
    FetchFromPeer,
    Participants,
    Swarm,
    Tick,
    Want,
)
from hawthornspoke.swarm._strategies import Regional
from hawthornspoke.swarm.tests.test_exchange import NEWS_SECONDS, TICK, Network

REGIONS = 5
CHUNKS = 96

#: Seconds for one piece on a host's link, up and down, and on the origin's.
UP, DOWN, ORIGIN = 0.0627, 0.0539, 0.0449

#: Pieces that may wait at one host.
MOST_WAITING = 6


class LinkNetwork(Network):
    """Hosts of several regions, whose links carry one chunk after the other.

    Parameters
    ----------
    count : int
        Hosts.
    held_by : dict of str to iterable of int, default={}
        Chunks that some hosts have kept.
    """

    def __init__(self, count, *, held_by=None):
        self.up_free_at = {}
        self.down_free_at = {}
        self.waiting = {}
        self.crossed = 0
        self.cross_region_announcements = 0
        self.kept = held_by or {}
        super().__init__(0, CHUNKS, strategy="regional")
        for position in range(count):
            name = f"host-{position:03d}"
            self.names.append(name)
            self.entries[name] = HostEntry(
                host=name,
                role="agent",
                failure_domain=f"domain-{position % REGIONS}",
                address=name,
                port=1,
                leaving=False,
            )
        for position, name in enumerate(self.names):
            self.held[name] = set(self.kept.get(name, ()))
            self._begin(name)
            self.schedule(TICK * position / count, name, Tick())

    def _begin(self, name):
        self.by_name[name] = Swarm(
            node=name,
            stall_after=1.2,
            announce_every=0.1,
            avoid_for=0.4,
            peer_slots=6,
            origin_slots=1,
        )
        want = Want(
            digest="d",
            chunks=CHUNKS,
            size=CHUNKS,
            held=tuple(self.held[name]),
            participants=self.entries,
            strategy="regional",
            region_by_domain={
                f"domain-{position}": f"region-{position}"
                for position in range(REGIONS)
            },
        )
        self.schedule(0.0, name, want)

    def restart(self, name):
        """Start a host again with nothing."""
        self.held[name] = set()
        self.complete.discard(name)
        self._begin(name)

    def act(self, name, outcome):
        if isinstance(outcome, Complete):
            if len(self.held[name]) == CHUNKS:
                self.complete.add(name)
        elif isinstance(outcome, FetchFromOrigin) and name not in self.refused:
            self.origin_reads += 1
            self.origin_free_at = max(self.now, self.origin_free_at) + ORIGIN
            done = ChunkVerified(digest="d", index=outcome.index)
            self.schedule(self.origin_free_at - self.now, name, done)
        elif isinstance(outcome, FetchFromPeer):
            self.fetch(name, outcome)
        else:
            if isinstance(outcome, AnnounceChunks):
                here = self.entries[name].failure_domain
                self.cross_region_announcements += sum(
                    self.entries[target].failure_domain != here
                    for target, _ in outcome.targets
                )
            super().act(name, outcome)

    def fetch(self, name, fetch):
        answer = self.fetched(fetch)
        if isinstance(answer, ChunkVerified) and self._is_full(fetch.node):
            answer = ChunkFailed(digest="d", index=fetch.index, cause="busy")
        if isinstance(answer, ChunkFailed):
            self.schedule(NEWS_SECONDS, name, answer)
            return
        peer = self.entries[fetch.node]
        self.crossed += peer.failure_domain != self.entries[name].failure_domain
        sent_at = max(self.now, self.up_free_at.get(fetch.node, 0.0)) + UP
        self.up_free_at[fetch.node] = sent_at
        done_at = max(sent_at, self.down_free_at.get(name, 0.0) + DOWN)
        self.down_free_at[name] = done_at
        self.schedule(done_at - self.now, name, answer)

    def _is_full(self, name):
        return self.up_free_at.get(name, 0.0) > self.now + MOST_WAITING * UP

    def living(self):
        """Return the hosts that are up."""
        return set(self.names) - self.dead


def test_piece_crosses_into_a_region_once_and_news_of_it_goes_where_it_is_needed():
    """Links between regions carried each piece seven times at 133 hosts.

    Symptom: 0.3 GB between regions on a day with two versions, 25,000 announcements a
    second while one spreads. Sequence: each host tells each other host of each piece,
    gathered over a time that grows with the hosts; the others of a region have not
    heard of their reader's piece when they give up waiting for it, and read from
    afar, where all hosts are known to hold it. Cause: news went to all.
    Figures: 4.8 crossings of a piece into a region and 71,000 announcements between
    regions before at 78 hosts, 1.1 and 1,800 after.
    """
    network = LinkNetwork(60)
    network.run(20)
    assert network.complete == network.living()
    assert network.origin_reads == CHUNKS
    assert network.crossed <= 1.25 * (REGIONS - 1) * CHUNKS
    readers = Regional.ORIGIN_READERS + REGIONS
    told = Regional.REMOTE_RECIPIENTS * (REGIONS - 1)
    assert network.cross_region_announcements <= CHUNKS * (readers + told)


def test_region_whose_readers_of_a_piece_are_dead_gets_it_all_the_same():
    """A piece came to no host of a region.

    Events: the two hosts that read a piece for their region die before it is there.
    Cause to be avoided: only these two were told who holds it.
    """
    network = LinkNetwork(30)
    region = [name for name in network.names if int(name[-3:]) % REGIONS == 0]
    order = rendezvous_order(key="d/0/far", nodes=region)
    network.dead.update(order[:2])
    network.run(30)
    assert network.complete == network.living()
    assert network.origin_reads <= 1.5 * CHUNKS


def test_pieces_that_a_host_has_kept_reach_all_regions():
    """Hosts of other regions never heard of pieces that one had found staged.

    Events: all but one host have restarted with nothing, and the origin is away.
    """
    kept = {"host-007": range(CHUNKS)}
    network = LinkNetwork(30, held_by=kept)
    network.refused = set(network.names)
    network.run(60)
    assert network.complete == network.living()


@pytest.mark.parametrize("at", [1.0, 3.0])
def test_region_that_loses_power_gets_all_again(at):
    """A region's hosts start again with nothing while the others are complete or not.

    What was told to them before is lost, and nobody tells it again.
    """
    network = LinkNetwork(30)
    network.run(at)
    for name in network.names:
        if int(name[-3:]) % REGIONS == 2:
            network.restart(name)
    network.run(60)
    assert network.complete == network.living()


def test_stand_in_asks_for_holdings():
    """The stand-in answers what the planner asks, or the tests above show nothing."""
    network = LinkNetwork(5, held_by={"host-001": (3,)})
    ask = AskHoldings(digest="d", node="host-001", address="x", port=1)
    answer = network.holdings(ask)
    assert answer == Announced(digest="d", node="host-001", indices=(3,), held=1)


def test_host_that_leaves_from_another_group_ends_no_transfer():
    """A transfer ended with a KeyError.

    Events: the origin sends two copies, each to a group of hosts; a host of the other
    group leaves the list, and a piece comes that hosts afar are told of. Cause: whom
    to tell was kept for as long as the own group stayed the same.
    """
    network = LinkNetwork(10)
    hosts = network.entries
    regions = {
        f"domain-{position}": f"region-{position}" for position in range(REGIONS)
    }
    shared = {"digest": "d", "region_by_domain": regions}
    swarm = Swarm(node="host-000", announce_every=0.0, origin_slots=CHUNKS)
    want = Want(
        chunks=CHUNKS,
        size=CHUNKS,
        participants=hosts,
        strategy="regional",
        origin_copies=2,
        **shared,
    )
    swarm.step(want, now=0.0)
    group = swarm.by_digest["d"].group_nodes()
    for index in range(CHUNKS):
        swarm.step(ChunkVerified(digest="d", index=index), now=0.1)
    leaving = next(name for name in hosts if name not in group)
    left = {name: entry for name, entry in hosts.items() if name != leaving}
    swarm.step(Participants(participants=left, **shared), now=0.2)
    assert swarm.by_digest["d"].group_nodes() == group
    swarm.by_digest["d"].injected = set(range(CHUNKS))
    swarm.by_digest["d"].fresh = list(range(CHUNKS))
    told = swarm.step(Tick(), now=0.3)
    addresses = {address for item in told for address, _ in item.targets}
    assert leaving not in addresses
