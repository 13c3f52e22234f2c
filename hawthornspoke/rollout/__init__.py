"""Order in which hosts switch to new weights."""

from hawthornspoke.rollout._changeover import (
    CHANGING,
    NEW,
    OLD,
    WAITING,
    HostState,
    may_swap_weights,
)

__all__ = ["CHANGING", "NEW", "OLD", "WAITING", "HostState", "may_swap_weights"]
