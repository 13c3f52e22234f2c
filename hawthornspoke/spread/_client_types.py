"""Types and failures returned by an agent's clients of the engine and the origin.

The origin is the server that weights are downloaded from. An order is the call that
makes an engine load weights.
"""

from dataclasses import dataclass

from hawthornspoke.base import Failure
from hawthornspoke.catalog import UNKNOWN_START, Incarnation

#: The engine rejected an order because its state is not the one the order expects.
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
        The run of the engine that this snapshot describes; differs after a restart.
    """

    version: int | None
    layers: tuple | None
    busy: bool
    sequence: int
    running: int
    waiting: int
    pace: float
    incarnation: Incarnation = UNKNOWN_START
