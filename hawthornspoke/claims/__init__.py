"""Claims on idempotency keys, by which a request runs at most once per key."""

from hawthornspoke.claims._claim import (
    BeginClaim,
    Claim,
    NotRun,
    OutcomeUnknown,
    ReadClaim,
    ReadDone,
    RefuseRequest,
    ReleaseClaim,
    RequestAnswered,
    ReturnStoredAnswer,
    RowState,
    RunRequest,
    StoreAnswer,
    WriteClaim,
    WriteDone,
)

__all__ = [
    "BeginClaim",
    "Claim",
    "NotRun",
    "OutcomeUnknown",
    "ReadClaim",
    "ReadDone",
    "RefuseRequest",
    "ReleaseClaim",
    "RequestAnswered",
    "ReturnStoredAnswer",
    "RowState",
    "RunRequest",
    "StoreAnswer",
    "WriteClaim",
    "WriteDone",
]
