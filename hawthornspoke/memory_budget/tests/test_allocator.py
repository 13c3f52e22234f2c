"""Memory that was freed and is given back to the operating system."""

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.events import EventLog
from hawthornspoke.memory_budget import (
    UNREAD,
    Holder,
    MemoryBudget,
    MemoryGuard,
    _allocator,
    limit_kept_memory,
    release_kept_memory,
    resident_bytes,
)
from hawthornspoke.metrics import Metrics

MB = 1_000_000


@pytest.mark.skipif(
    _allocator._function("malloc_trim") is None, reason="needs the GNU C library"
)
def test_memory_is_given_back_once_less_is_held():
    """Guards against a host that stays large for good after one wave of answers."""
    guard = MemoryGuard(
        budget=MemoryBudget(limit=100 * MB), log=EventLog(node="n"), metrics=Metrics()
    )
    holder = Holder()
    guard.budget.hold(holder, UNREAD, 64 * MB)
    parts = [bytes(20_000) for _ in range(3200)]
    guard.check(now=monotonic())
    # What stays between freed parts keeps the end of the heap where it is.
    kept = parts[::20]
    del parts
    before = resident_bytes()
    guard.budget.release(holder)
    guard.check(now=monotonic())
    assert len(kept) == 160
    assert resident_bytes() < before - 32 * MB


def test_process_runs_without_the_functions_of_the_c_library(monkeypatch):
    monkeypatch.setattr(_allocator, "_function", lambda name: None)
    assert not limit_kept_memory()
    release_kept_memory()
