"""An origin that was away, and the hosts that wait for its return."""

from hawthornspoke.swarm import (
    Announced,
    ChunkFailed,
    FetchFromOrigin,
    Swarm,
    Tick,
    Want,
)
from hawthornspoke.swarm.tests.test_restarted_peer import host

CHUNKS = 12
NAMES = ("host-0", "host-1", "host-2")
AVOID_FOR = 5.0


def origin_reads(outcomes):
    """Return the chunks that are to be read from the origin."""
    return [item.index for item in outcomes if isinstance(item, FetchFromOrigin)]


def refused_swarm():
    """Return a machine that the origin has just refused at 1.0."""
    swarm = Swarm(node=NAMES[0], origin_slots=1, origin_avoid_for=AVOID_FOR)
    want = Want(
        digest="d", chunks=CHUNKS, size=1, participants={n: host(n) for n in NAMES}
    )
    (first,) = origin_reads(swarm.step(want, now=0.0))
    failed = ChunkFailed(digest="d", index=first, cause="failed")
    assert origin_reads(swarm.step(failed, now=1.0)) == []
    assert origin_reads(swarm.step(Tick(), now=1.5)) == []
    return swarm, first


def test_chunk_that_nobody_had_shows_that_the_origin_is_back():
    """Six last chunks came half a second late to everybody.

    Symptom: the origin serves again, one host has read a chunk there, and the others
    go on waiting until their own pause is over.
    Events: the origin is away while a version spreads; each host asks it again after
    a pause of its own. Cause: what others have read there told nothing.
    """
    swarm, first = refused_swarm()
    other = (first + 1) % CHUNKS
    news = Announced(digest="d", node=NAMES[1], indices=(other,), held=1)
    assert len(origin_reads(swarm.step(news, now=1.6))) == 1


def test_chunk_that_others_had_already_shows_nothing():
    swarm, first = refused_swarm()
    other = (first + 1) % CHUNKS
    swarm.by_digest["d"].record_holdings(NAMES[1], (other,), 1, now=1.5)
    again = Announced(digest="d", node=NAMES[2], indices=(other,), held=1)
    assert origin_reads(swarm.step(again, now=1.6)) == []
    assert len(origin_reads(swarm.step(Tick(), now=1.0 + AVOID_FOR))) == 1
