"""Agent that distributes weights to the engine on its host, on one event loop."""

from hawthornspoke.spread._ports import (
    ENGINE_CHANGED,
    ENGINE_UNREACHABLE,
    ORIGIN_FAILED,
    PIECE_MISSING,
    EngineSnapshot,
)
from hawthornspoke.spread._process import Agent
from hawthornspoke.spread._settings import SpreadSettings
from hawthornspoke.spread._upgrade import Upgrade

__all__ = [
    "ENGINE_CHANGED",
    "ENGINE_UNREACHABLE",
    "ORIGIN_FAILED",
    "PIECE_MISSING",
    "Agent",
    "EngineSnapshot",
    "SpreadSettings",
    "Upgrade",
]
