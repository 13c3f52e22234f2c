"""Restarted peers that no longer hold the chunks they had announced."""

from hawthornspoke.store import HostEntry
from hawthornspoke.swarm import (
    AnnounceChunks,
    ChunkFailed,
    ChunkVerified,
    FetchFromPeer,
    PeerAnnounced,
    Swarm,
    Tick,
    TransferRequested,
)

CHUNKS = 6
NAMES = ("host-0", "host-1", "host-2")


def host(name):
    """Return the entry of a host."""
    return HostEntry(
        host=name,
        role="agent",
        failure_domain="a",
        address=name,
        port=1,
        leaving=False,
    )


def outcomes_of_type(outcomes, kind):
    """Return the outcomes of one type."""
    return [item for item in outcomes if isinstance(item, kind)]


def test_chunks_are_announced_to_restarted_peer():
    """A peer that reports an announced chunk as missing is no longer complete.

    While a restarted peer still counted as complete, no chunks were announced to it,
    and it fetched them from the origin and from other regions.
    """
    swarm = Swarm(node="host-0", announce_every=0.1)
    hosts = {name: host(name) for name in NAMES}
    request = TransferRequested(
        digest="d", chunks=CHUNKS, size=CHUNKS, participants=hosts
    )
    swarm.step(request, now=0.0)
    announcement = PeerAnnounced(
        digest="d", node="host-1", indices=tuple(range(CHUNKS)), held=CHUNKS
    )
    fetches = outcomes_of_type(swarm.step(announcement, now=0.1), FetchFromPeer)
    assert {fetch.node for fetch in fetches} == {"host-1"}
    missing = ChunkFailed(digest="d", index=fetches[0].index, cause="missing")
    swarm.step(missing, now=0.2)
    verified = ChunkVerified(digest="d", index=fetches[1].index)
    outcomes = swarm.step(verified, now=0.3) + swarm.step(Tick(), now=1.0)
    announced = outcomes_of_type(outcomes, AnnounceChunks)
    assert ("host-1", 1) in {target for item in announced for target in item.targets}


def test_chunk_regained_by_restarted_peer_is_fetched():
    """Announcements with a lower total than before are not discarded as stale.

    A peer announces all chunks, restarts, reports them as missing, fetches one again
    and announces it with a lower total. The transfer must not wait for another source.
    """
    swarm = Swarm(node="host-0", announce_every=0.1)
    hosts = {name: host(name) for name in NAMES}
    request = TransferRequested(
        digest="d", chunks=CHUNKS, size=CHUNKS, participants=hosts
    )
    swarm.step(request, now=0.0)
    announcement = PeerAnnounced(
        digest="d", node="host-1", indices=tuple(range(CHUNKS)), held=CHUNKS
    )
    fetches_in_flight = outcomes_of_type(
        swarm.step(announcement, now=0.1), FetchFromPeer
    )
    lost = []
    while fetches_in_flight:
        fetch = fetches_in_flight.pop()
        lost.append(fetch.index)
        missing = ChunkFailed(digest="d", index=fetch.index, cause="missing")
        fetches_in_flight += outcomes_of_type(
            swarm.step(missing, now=0.2), FetchFromPeer
        )
    again = PeerAnnounced(digest="d", node="host-1", indices=(lost[0],), held=1)
    fetches = outcomes_of_type(swarm.step(again, now=0.5), FetchFromPeer)
    assert [(fetch.index, fetch.node) for fetch in fetches] == [(lost[0], "host-1")]
