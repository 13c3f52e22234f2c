"""One budget of bytes over all connections of a process."""

from hawthornspoke.memory_budget._allocator import (
    limit_kept_memory,
    release_kept_memory,
)
from hawthornspoke.memory_budget._budget import (
    ANSWER,
    BODY,
    CUTTING,
    KERNEL,
    NORMAL,
    PAUSING,
    PENDING,
    READ_BUFFER_BYTES,
    REFUSING,
    SEND_BUFFER,
    SENDING,
    SENT,
    UNREAD,
    WRITTEN,
    Holder,
    MemoryBudget,
)
from hawthornspoke.memory_budget._guard import MemoryAccount, MemoryGuard
from hawthornspoke.memory_budget._limit import buffer_limit, resident_bytes

__all__ = [
    "ANSWER",
    "BODY",
    "CUTTING",
    "KERNEL",
    "NORMAL",
    "PAUSING",
    "PENDING",
    "READ_BUFFER_BYTES",
    "REFUSING",
    "SEND_BUFFER",
    "SENDING",
    "SENT",
    "UNREAD",
    "WRITTEN",
    "Holder",
    "MemoryAccount",
    "MemoryBudget",
    "MemoryGuard",
    "buffer_limit",
    "limit_kept_memory",
    "release_kept_memory",
    "resident_bytes",
]
