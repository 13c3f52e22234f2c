"""A peer that has restarted, and holds nothing of what it had announced."""

from hawthornspoke.store import HostEntry
from hawthornspoke.swarm import (
    AnnounceChunks,
    Announced,
    ChunkFailed,
    ChunkVerified,
    FetchFromPeer,
    Swarm,
    Tick,
    Want,
)

CHUNKS = 6
NAMES = ("host-0", "host-1", "host-2")


def host(name):
    """Return a host's entry."""
    return HostEntry(
        host=name,
        role="agent",
        failure_domain="a",
        address=name,
        port=1,
        leaving=False,
    )


def of_kind(outcomes, kind):
    """Return the outcomes of one kind."""
    return [item for item in outcomes if isinstance(item, kind)]


def test_restarted_peer_is_told_of_pieces_again():
    """A restarted host got its pieces from the origin and from other regions.

    Events: a host has announced all pieces; it restarts, and another one that still
    fetches is told that a piece is missing there. Cause: the peer counted as complete
    for good, so that nothing was announced to it any more.
    """
    swarm = Swarm(node="host-0", announce_every=0.1)
    hosts = {name: host(name) for name in NAMES}
    want = Want(digest="d", chunks=CHUNKS, size=CHUNKS, participants=hosts)
    swarm.step(want, now=0.0)
    news = Announced(
        digest="d", node="host-1", indices=tuple(range(CHUNKS)), held=CHUNKS
    )
    fetches = of_kind(swarm.step(news, now=0.1), FetchFromPeer)
    assert {fetch.node for fetch in fetches} == {"host-1"}
    missing = ChunkFailed(digest="d", index=fetches[0].index, cause="missing")
    swarm.step(missing, now=0.2)
    verified = ChunkVerified(digest="d", index=fetches[1].index)
    outcomes = swarm.step(verified, now=0.3) + swarm.step(Tick(), now=1.0)
    told = of_kind(outcomes, AnnounceChunks)
    assert ("host-1", 1) in {target for item in told for target in item.targets}


def test_piece_that_a_restarted_peer_has_again_is_asked_of_it():
    """A transfer waited for a piece that a restarted host had got once more.

    Events: a host has announced all pieces and restarts; it is asked for some, which
    are missing; it gets them anew and announces them with a lower total than before.
    Cause to be ruled out: that a lower total is passed over as an old word.
    """
    swarm = Swarm(node="host-0", announce_every=0.1)
    hosts = {name: host(name) for name in NAMES}
    want = Want(digest="d", chunks=CHUNKS, size=CHUNKS, participants=hosts)
    swarm.step(want, now=0.0)
    news = Announced(
        digest="d", node="host-1", indices=tuple(range(CHUNKS)), held=CHUNKS
    )
    begun = of_kind(swarm.step(news, now=0.1), FetchFromPeer)
    lost = []
    while begun:
        fetch = begun.pop()
        lost.append(fetch.index)
        missing = ChunkFailed(digest="d", index=fetch.index, cause="missing")
        begun += of_kind(swarm.step(missing, now=0.2), FetchFromPeer)
    again = Announced(digest="d", node="host-1", indices=(lost[0],), held=1)
    fetches = of_kind(swarm.step(again, now=0.5), FetchFromPeer)
    assert [(fetch.index, fetch.node) for fetch in fetches] == [(lost[0], "host-1")]
