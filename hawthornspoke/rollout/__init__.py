"""Order in which hosts switch to new weights."""

from hawthornspoke.rollout._changeover import (
    CHANGING,
    NEW,
    OLD,
    WAITING,
    HostState,
    may_change_over,
)

__all__ = ["CHANGING", "NEW", "OLD", "WAITING", "HostState", "may_change_over"]
