"""At most one run for a caller's idempotency key."""

from hawthornspoke.claims._claim import (
    Answered,
    Begin,
    Claim,
    GiveStored,
    NotRun,
    ReadClaim,
    ReadDone,
    RefuseNow,
    ReleaseClaim,
    RowState,
    RunNow,
    StoreAnswer,
    Unknown,
    WriteClaim,
    WriteDone,
)

__all__ = [
    "Answered",
    "Begin",
    "Claim",
    "GiveStored",
    "NotRun",
    "ReadClaim",
    "ReadDone",
    "RefuseNow",
    "ReleaseClaim",
    "RowState",
    "RunNow",
    "StoreAnswer",
    "Unknown",
    "WriteClaim",
    "WriteDone",
]
