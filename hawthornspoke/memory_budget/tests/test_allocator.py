"""Memory that was freed and is given back to the operating system."""

import asyncio

import pytest

from hawthornspoke.base import monotonic
from hawthornspoke.events import EventLog
from hawthornspoke.memory_budget import (
    ANSWER,
    SENT,
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


needs_trim = pytest.mark.skipif(
    _allocator._function("malloc_trim") is None, reason="needs the GNU C library"
)


def make_guard():
    """Return a guard with a limit of 100 MB."""
    budget = MemoryBudget(limit=100 * MB)
    return MemoryGuard(budget=budget, log=EventLog(node="n"), metrics=Metrics())


def make_parts():
    """Return 64 MB in parts, and some of them.

    What stays between freed parts keeps the end of the heap where it is.
    """
    parts = [bytes(20_000) for _ in range(3200)]
    return parts, parts[::20]


@needs_trim
def test_memory_is_given_back_once_less_is_held():
    """Guards against a host that stays large for good after one wave of answers."""
    guard = make_guard()
    holder = Holder()
    guard.budget.hold(holder, UNREAD, 64 * MB)
    parts, kept = make_parts()
    guard.check(now=monotonic())
    del parts
    before = resident_bytes()
    guard.budget.release(holder)
    guard.check(now=monotonic())
    assert len(kept) == 160
    assert resident_bytes() < before - 32 * MB


@needs_trim
def test_memory_is_given_back_while_answers_move_to_the_operating_system():
    """Guards against answers that take memory twice while callers read them slowly."""

    async def scenario():
        account = make_guard().open_account(None)
        account.hold(ANSWER, 64 * MB)
        parts, kept = make_parts()
        before = resident_bytes()
        account.hold(SENT, 64 * MB)
        del parts
        account.hold(ANSWER, 0)
        await asyncio.sleep(0)
        assert len(kept) == 160
        assert account.held == 64 * MB
        assert resident_bytes() < before - 32 * MB

    asyncio.run(scenario())


def test_process_runs_without_the_functions_of_the_c_library(monkeypatch):
    monkeypatch.setattr(_allocator, "_function", lambda name: None)
    assert not limit_kept_memory()
    release_kept_memory()
