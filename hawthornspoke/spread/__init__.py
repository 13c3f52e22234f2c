"""Agent that transfers weights between hosts and installs them on its engine."""

from hawthornspoke.spread._client_types import (
    ENGINE_CHANGED,
    ENGINE_UNREACHABLE,
    ORIGIN_FAILED,
    PIECE_MISSING,
    EngineSnapshot,
)
from hawthornspoke.spread._direct_reader import DirectReader
from hawthornspoke.spread._exchange import PieceExchange
from hawthornspoke.spread._limits import (
    MAX_MANIFEST_BYTES,
    MAX_PIECE_BYTES,
    MAX_PIECES,
    MAX_REPORT_BYTES,
)
from hawthornspoke.spread._manifests import Manifests
from hawthornspoke.spread._peers import Peer
from hawthornspoke.spread._piece_store import Weights
from hawthornspoke.spread._process import Agent
from hawthornspoke.spread._settings import SpreadSettings
from hawthornspoke.spread._upgrade import SUPERSEDE_WINDOW_SHARE, Upgrade

__all__ = [
    "ENGINE_CHANGED",
    "ENGINE_UNREACHABLE",
    "MAX_MANIFEST_BYTES",
    "MAX_PIECES",
    "MAX_PIECE_BYTES",
    "MAX_REPORT_BYTES",
    "ORIGIN_FAILED",
    "PIECE_MISSING",
    "SUPERSEDE_WINDOW_SHARE",
    "Agent",
    "DirectReader",
    "EngineSnapshot",
    "Manifests",
    "Peer",
    "PieceExchange",
    "SpreadSettings",
    "Upgrade",
    "Weights",
]
