"""Carries out what the budget decides: pauses, refusals, cuts, log and metrics."""

import asyncio

from hawthornspoke.base import monotonic
from hawthornspoke.memory_budget._allocator import release_kept_memory
from hawthornspoke.memory_budget._budget import (
    LEVELS,
    MAX_SENT_BYTES,
    MIN_MEASURED_BYTES,
    NORMAL,
    RECEIVE_BUFFER,
    REFUSING,
    SEND_BUFFER,
    SENT,
    Holder,
)
from hawthornspoke.memory_budget._limit import resident_bytes

#: Bytes by which what the process holds itself has to fall until free memory is given
#: back.
RELEASE_STEP = 8_000_000

#: Seconds between two checks for slow callers.
CHECK_INTERVAL = 0.25


class MemoryAccount:
    """What one caller's connection holds.

    Parameters
    ----------
    guard : MemoryGuard
    owner : object
        Has ``write_buffer_size()``, ``unreceived_size()`` and ``cut()``.
    """

    __slots__ = ("_guard", "_budget", "_holder", "_paused", "_unmeasured_bytes")

    def __init__(self, *, guard, owner):
        self._guard = guard
        self._budget = guard.budget
        self._holder = Holder(owner=owner)
        self._paused = None
        self._unmeasured_bytes = 0

    @property
    def held(self):
        """Bytes held."""
        return self._holder.held

    def hold(self, use, size):
        """Set the number of bytes held for one use."""
        before = self._budget.held
        self._budget.hold(self._holder, use, size)
        self._reuse_released(before)

    def record_write(self, size):
        """Record bytes that were written to the caller.

        They count as held by the operating system until the next check.
        """
        self._holder.written_bytes += size
        self._unmeasured_bytes += size
        if self._unmeasured_bytes >= MIN_MEASURED_BYTES:
            self._guard.unmeasured.add(self)
            sent = self._holder.bytes_by_use[SENT] + size
            self.hold(SENT, min(sent, MAX_SENT_BYTES))

    def measure(self, now):
        """Count what the caller has to receive.

        Parameters
        ----------
        now : float
        """
        owner = self._holder.owner
        size, unreceived = owner.write_buffer_size(), owner.unreceived_size()
        self.hold(SENT, unreceived - size)
        self._budget.measure(self._holder, size, now, unreceived=unreceived)
        if not unreceived:
            self._unmeasured_bytes = 0
            self._guard.unmeasured.discard(self)

    def admits_body(self, size):
        """Return whether a request body of a size may be received."""
        is_admitted = self._budget.admits_body(self._holder, size)
        if not is_admitted:
            self._guard.record_refusal()
        return is_admitted

    def admits_request(self):
        """Return whether a request may be sent to an endpoint."""
        is_admitted = self._budget.admits_request(self._holder)
        if not is_admitted:
            self._guard.record_refusal()
        return is_admitted

    def expect_response(self):
        """Hold the bytes of a response that may arrive with its head."""
        self._budget.expect_response(self._holder)

    def may_ever_hold(self, size, *, is_announced=True):
        """Return whether a response of a size fits if nothing else is held."""
        return self._budget.may_ever_hold(size, is_announced=is_announced)

    def reserve_response(self, size):
        """Hold the bytes of a response before they arrive, if they fit."""
        return self._budget.reserve_response(self._holder, size)

    def must_pause(self):
        """Return whether no more of the response may be read."""
        return self._budget.must_pause(self._holder)

    def pass_on(self):
        """Record that the response is passed on while it is received."""
        self._holder.is_passed_on = True

    def pause(self, connection, *, wanted=0):
        """Record that a connection to an endpoint isn't read.

        Parameters
        ----------
        connection : object
            Its ``resume_reading()`` is called when it may be read again.
        wanted : int, default=0
            Bytes to reserve before that.
        """
        self._paused = connection
        self._budget.pause(self._holder, wanted=wanted)
        self._guard.metrics.count("memory_pauses_total")

    def resume(self):
        """Read the connection to the endpoint again."""
        connection, self._paused = self._paused, None
        if connection is not None:
            connection.resume_reading()

    def stop_pausing(self):
        """Forget the connection to the endpoint, which this request doesn't use now."""
        self._paused = None
        before = self._budget.held
        self._budget.resume(self._holder)
        self._reuse_released(before)

    def release_request(self):
        """Release all that is held for a request that has ended."""
        self._paused = None
        before = self._budget.held
        self._budget.release_request(self._holder)
        self._reuse_released(before)

    def release(self):
        """Release all that is held for a connection that has ended."""
        self._paused = None
        self._guard.unmeasured.discard(self)
        before = self._budget.held
        self._budget.release(self._holder)
        self._reuse_released(before)

    def open_secondary(self):
        """Return an account for another response to the same request.

        It counts what is held for that response until this account takes it over.
        """
        owner = _SecondaryOwner(connection=self._holder.owner)
        owner.account = MemoryAccount(guard=self._guard, owner=owner)
        return owner.account

    def _reuse_released(self, before):
        if self._budget.held >= before:
            return
        if self._budget.paused:
            self._guard.schedule_resume()
        # What callers have to receive moves to the operating system without becoming
        # less, and would take memory twice until the next check.
        if self._guard.keeps_freed_memory() and self._budget.level != NORMAL:
            self._guard.schedule_release()


class _SecondaryOwner:
    """Owner of an account whose response isn't passed on to its caller yet."""

    __slots__ = ("account", "_connection")

    def __init__(self, *, connection):
        self.account = None
        self._connection = connection

    def write_buffer_size(self):
        """Return 0, as nothing was written."""
        return 0

    def unreceived_size(self):
        """Return 0, as nothing was written."""
        return 0

    def cut(self):
        """Cut the caller's connection."""
        self._connection.cut()


class MemoryGuard:
    """The memory budget of a process, and what is done to stay within it.

    Parameters
    ----------
    budget : MemoryBudget
    log : EventLog
    metrics : Metrics

    Attributes
    ----------
    unmeasured : set of MemoryAccount
        Accounts of callers that may have bytes to receive.
    """

    __slots__ = (
        "budget",
        "metrics",
        "unmeasured",
        "_log",
        "_level",
        "_handle",
        "_release_handle",
    )

    #: Receive buffer of connections to endpoints, in bytes.
    receive_buffer = RECEIVE_BUFFER

    #: Send buffer of connections of callers, in bytes.
    send_buffer = SEND_BUFFER

    def __init__(self, *, budget, log, metrics):
        self.budget = budget
        self.metrics = metrics
        self.unmeasured = set()
        self._log = log
        self._level = NORMAL
        self._handle = None
        self._release_handle = None
        metrics.set_gauge("memory_limit_bytes", budget.limit)

    def open_account(self, owner):
        """Return a MemoryAccount of a caller's connection."""
        return MemoryAccount(guard=self, owner=owner)

    def schedule_resume(self):
        """Resume paused connections once the current callback has returned."""
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._resume)

    def keeps_freed_memory(self):
        """Return whether the allocator may keep much of what was freed."""
        return self.budget.peak_own_bytes - self.budget.own_bytes >= RELEASE_STEP

    def schedule_release(self):
        """Give back free memory once the current callback has returned."""
        if self._release_handle is None:
            loop = asyncio.get_running_loop()
            self._release_handle = loop.call_soon(self._release_kept)

    def record_refusal(self):
        """Count a refused request."""
        self.metrics.count("memory_refusals_total")
        self._log_level(REFUSING)

    async def run(self):
        """Check periodically for slow callers."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.check(now=monotonic())

    def check(self, *, now):
        """Measure full write buffers, and cut slow callers if memory is short.

        Parameters
        ----------
        now : float
        """
        for account in list(self.unmeasured):
            account.measure(now)
        self._log_level(self.budget.level)
        for holder in self.budget.to_cut():
            self.metrics.count("memory_cuts_total")
            self._log.change("memory_cut", held=holder.held, total=self.budget.held)
            holder.owner.cut()
        if self.keeps_freed_memory():
            self._release_kept()
        self._resume()
        self.metrics.set_gauge("memory_held_bytes", self.budget.held)
        self.metrics.set_gauge("memory_resident_bytes", resident_bytes())

    def dump(self):
        """Return the state as plain data."""
        return {**self.budget.dump(), "resident": resident_bytes()}

    def _release_kept(self):
        """Give back memory to the system after much of what was held is freed."""
        self._release_handle = None
        self.budget.peak_own_bytes = self.budget.own_bytes
        release_kept_memory()

    def _resume(self):
        self._handle = None
        for holder in self.budget.resumable():
            holder.owner.account.resume()

    def _log_level(self, level):
        """Log a level that is higher than before, and the end of the pressure."""
        before = self._level
        if level != NORMAL and LEVELS.index(level) <= LEVELS.index(before):
            return
        self._level = level
        if level != before:
            self._log.change(
                "memory_pressure",
                level=level,
                before=before,
                held=self.budget.held,
                limit=self.budget.limit,
                resident=resident_bytes(),
                holders=len(self.budget.holders),
                paused=len(self.budget.paused),
            )
