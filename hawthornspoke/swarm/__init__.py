"""Peer-to-peer distribution of weights: planner, strategies and chunk store."""

from hawthornspoke.swarm._link import Link
from hawthornspoke.swarm._messages import (
    AnnounceChunks,
    Announced,
    AskHoldings,
    ChunkFailed,
    ChunkVerified,
    Complete,
    Drop,
    FetchFromOrigin,
    FetchFromPeer,
    Participants,
    PeerUnreachable,
    Tick,
    Want,
)
from hawthornspoke.swarm._planner import Swarm
from hawthornspoke.swarm._store import ChunkStore
from hawthornspoke.swarm._strategies import STRATEGIES

__all__ = [
    "STRATEGIES",
    "AnnounceChunks",
    "Announced",
    "AskHoldings",
    "ChunkFailed",
    "ChunkStore",
    "ChunkVerified",
    "Complete",
    "Drop",
    "FetchFromOrigin",
    "FetchFromPeer",
    "Link",
    "Participants",
    "PeerUnreachable",
    "Swarm",
    "Tick",
    "Want",
]
