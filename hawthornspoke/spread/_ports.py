"""What an adapter gives to an agent: engine and origin, in the product's words."""

from dataclasses import dataclass

from hawthornspoke.base import Failure
from hawthornspoke.catalog import UNKNOWN_START, Incarnation

#: The engine is in another state than the order expects.
ENGINE_CHANGED = Failure(code="engine_changed")
ENGINE_UNREACHABLE = Failure(code="engine_unreachable")
PIECE_MISSING = Failure(code="piece_missing")
ORIGIN_FAILED = Failure(code="origin_failed")


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineSnapshot:
    """An engine's own word on its state, fresh.

    Parameters
    ----------
    version : int or None
        Of the weights it holds.
    layers : tuple of (int, int) or None
    busy : bool
        An order is in progress.
    sequence : int
        Orders that it has begun; the next one names it, so that an order of
        another, older agent can't be taken up. Each start counts anew.
    running, waiting : int
    pace : float
        How many times slower than usual it works.
    incarnation : Incarnation
        The start that all of this is about.
    """

    version: int | None
    layers: tuple | None
    busy: bool
    sequence: int
    running: int
    waiting: int
    pace: float
    incarnation: Incarnation = UNKNOWN_START
