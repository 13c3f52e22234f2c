"""Hedged requests: when another attempt is made, and which one answers."""

from hawthornspoke.hedging._race import (
    AttemptAbandoned,
    AttemptDenied,
    AttemptEnded,
    AttemptRace,
    AttemptSilent,
    AttemptStarted,
    AttemptWanted,
    DataReceived,
    ProgressMade,
    RequestLost,
    TimePassed,
)

__all__ = [
    "AttemptAbandoned",
    "AttemptDenied",
    "AttemptEnded",
    "AttemptRace",
    "AttemptSilent",
    "AttemptStarted",
    "AttemptWanted",
    "DataReceived",
    "ProgressMade",
    "RequestLost",
    "TimePassed",
]
