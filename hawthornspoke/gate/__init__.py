"""Admission control of an agent: starts, queues or refuses each request."""

from hawthornspoke.gate._failures import (
    BUSY,
    DEADLINE_PASSED,
    DRAINING,
    DUPLICATE,
    OUTRANKED,
    WRONG_DIGEST,
)
from hawthornspoke.gate._gate import (
    Admit,
    Cancel,
    Drain,
    Drained,
    Finish,
    Gate,
    Refuse,
    SetLive,
    Start,
    Tick,
)

__all__ = [
    "BUSY",
    "DEADLINE_PASSED",
    "DRAINING",
    "DUPLICATE",
    "OUTRANKED",
    "WRONG_DIGEST",
    "Admit",
    "Cancel",
    "Drain",
    "Drained",
    "Finish",
    "Gate",
    "Refuse",
    "SetLive",
    "Start",
    "Tick",
]
