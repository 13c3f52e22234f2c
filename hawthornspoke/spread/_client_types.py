"""Types and failures that the clients of engine and origin return to an agent."""

from dataclasses import dataclass

from hawthornspoke.base import Failure
from hawthornspoke.catalog import UNKNOWN_START, Incarnation

#: The engine's state differs from the one that the order expects.
ENGINE_CHANGED = Failure(code="engine_changed")
ENGINE_UNREACHABLE = Failure(code="engine_unreachable")
PIECE_MISSING = Failure(code="piece_missing")
ORIGIN_FAILED = Failure(code="origin_failed")


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineSnapshot:
    """State of an engine as reported by the engine itself.

    Parameters
    ----------
    version : int or None
        Version of the loaded weights.
    layers : tuple of (int, int) or None
        Range of the loaded layers.
    busy : bool
        Whether an order is in progress.
    sequence : int
        Number of orders that the engine has begun since it started. The next order
        carries it, so that the engine rejects an order of an agent with an outdated
        snapshot.
    running, waiting : int
        Number of running and of queued requests.
    pace : float
        Factor by which the engine is slower than usual.
    incarnation : Incarnation
        The incarnation of the engine that this snapshot describes.
    """

    version: int | None
    layers: tuple | None
    busy: bool
    sequence: int
    running: int
    waiting: int
    pace: float
    incarnation: Incarnation = UNKNOWN_START
