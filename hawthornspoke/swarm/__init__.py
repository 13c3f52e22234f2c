"""Peer-to-peer distribution of weights: planner, strategies and chunk store."""

from hawthornspoke.swarm._link import LinkRateLimiter
from hawthornspoke.swarm._messages import (
    AllChunksVerified,
    AnnounceChunks,
    ChunkFailed,
    ChunkVerified,
    FetchFromOrigin,
    FetchFromPeer,
    ParticipantsChanged,
    PeerAnnounced,
    PeerUnreachable,
    QueryHoldings,
    Tick,
    TransferCancelled,
    TransferRequested,
)
from hawthornspoke.swarm._planner import Swarm
from hawthornspoke.swarm._seeders import (
    READERS_PER_DOMAIN,
    seeder_order,
    seeders_of,
    select_seeders,
)
from hawthornspoke.swarm._store import ChunkStore
from hawthornspoke.swarm._strategies import STRATEGIES

__all__ = [
    "READERS_PER_DOMAIN",
    "STRATEGIES",
    "AllChunksVerified",
    "AnnounceChunks",
    "ChunkFailed",
    "ChunkStore",
    "ChunkVerified",
    "FetchFromOrigin",
    "FetchFromPeer",
    "LinkRateLimiter",
    "ParticipantsChanged",
    "PeerAnnounced",
    "PeerUnreachable",
    "QueryHoldings",
    "Swarm",
    "Tick",
    "TransferCancelled",
    "TransferRequested",
    "seeder_order",
    "seeders_of",
    "select_seeders",
]
