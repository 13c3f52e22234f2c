"""Shutdown of a host: which requests it may still pass on."""

from hawthornspoke.shutdown._gate import (
    STOPPING,
    RunAllowed,
    RunEnded,
    RunRefused,
    RunRequested,
    ShutdownBegun,
    ShutdownGate,
)

__all__ = [
    "STOPPING",
    "RunAllowed",
    "RunEnded",
    "RunRefused",
    "RunRequested",
    "ShutdownBegun",
    "ShutdownGate",
]
