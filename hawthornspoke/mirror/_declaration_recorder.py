"""Stores the times of declarations on the platform, where they outlive all processes.

A declaration is a row of the platform by which operators name the version of a model's
weights that engines have to load.
"""

import asyncio
import random

from hawthornspoke.base import boottime_clock, is_failure
from hawthornspoke.catalog import UNKNOWN_TIME
from hawthornspoke.mirror._declaration_times import (
    RECORD_TABLE,
    DeclarationTime,
    add_declaration_time,
    decode_record,
    encode_record,
)
from hawthornspoke.mirror._revision import era_of, is_newer
from hawthornspoke.mirror._types import RESTORED, RowWritten

#: Seconds after a declaration was received for which a failed call is retried. Requests
#: may start on old weights for at most 13.4 s after a declaration, in the deployment
#: with the longest bound (``version_bound`` in the settings of entry hosts). Once that
#: time has passed, the time of the declaration is hardly needed: the new version is
#: mandatory whether or not its time is known.
RETRY_TIME_LIMIT = 14.0

#: Bounds of the random delay in seconds between attempts. All hosts that read the
#: platform write after the same declaration and would otherwise retry together.
RETRY_PAUSE = (0.5, 1.0)

#: Maximum attempts to write a row after conflicts with other hosts. There are as many
#: writers as failure domains, and most conflicts are with a write of the same version.
MAX_WRITE_ATTEMPTS = 4


#: Seconds by which a declaration time must be later to replace a stored one. Hosts that
#: can reach the platform get answers for two tables every second, so that their times
#: differ by less.
MIN_IMPROVEMENT = 1.0


class _PendingDeclaration:
    """A declaration whose time has to be written to the platform or read from it."""

    __slots__ = ("version", "revision", "not_before", "learned_at")

    def __init__(self, *, version, revision, not_before, learned_at):
        self.version = version
        self.revision = revision
        # Lower bound on the declaration's time, on the platform's clock; None if this
        # host has to read it from the platform.
        self.not_before = not_before
        self.learned_at = learned_at


class _StoredRow:
    """Last known state of a row; revision 0 if the row does not exist."""

    __slots__ = ("declaration_times", "revision")

    def __init__(self, *, declaration_times=(), revision=0):
        self.declaration_times = list(declaration_times)
        self.revision = revision


class DeclarationRecorder:
    """Writes declaration times of versions, or reads those this process can't know.

    A version becomes mandatory, so that no request may start on older ones, a fixed
    time after its declaration, and immediately if the time of the declaration is
    unknown. Without this record, if all processes were killed just after a declaration,
    old weights would be refused until the new ones were loaded, although engines with
    the old ones were still running. Therefore a process that knows a bound on the time
    of a declaration writes it to the platform, and others read it from there once.

    Parameters
    ----------
    store : object
        ``await read(table, first_key=, end_key=)`` returns TableUpdate or a Failure.
        ``await write(table, key, data, expected=)`` returns RowWritten, TableUpdate of
        the row if its revision isn't the expected one, or a Failure.
    clock : PlatformClock
        Relates the platform's clock to this host's; gets each answer.
    on_declaration_times : callable
        Called with a model and a tuple of pairs of a version and a lower bound on its
        declaration time, in seconds of ``boottime_clock``.
    log : EventLog
    """

    __slots__ = (
        "_store",
        "_clock",
        "_on_declaration_times",
        "_log",
        "_newest_revision_by_model",
        "_pending_by_model",
        "_stored_by_model",
        "_wake",
    )

    def __init__(self, *, store, clock, on_declaration_times, log):
        self._store = store
        self._clock = clock
        self._on_declaration_times = on_declaration_times
        self._log = log
        self._newest_revision_by_model = {}
        self._pending_by_model = {}
        self._stored_by_model = {}
        self._wake = asyncio.Event()

    def update(self, declared, row, *, from_platform=True):
        """Schedule the write or read for a declaration, unless it is known already.

        Parameters
        ----------
        declared : DeclaredWeights
        row : Row
            Row that contains the declaration.
        from_platform : bool, default=True
            Whether the row was read from the platform and not from a neighbour.
        """
        if not is_newer(
            row.revision, self._newest_revision_by_model.get(declared.model, 0)
        ):
            return
        self._newest_revision_by_model[declared.model] = row.revision
        not_before = None
        if row.written_at != UNKNOWN_TIME:
            if from_platform:
                not_before = self._clock.earliest_platform_time(row.written_at)
            if not_before is None or not_before < 0.0:
                # The neighbour that sent this row with its write time has recorded that
                # time. This process may know an earlier bound from when it read the
                # platform itself, but if that were recorded as well, each of 99 entry
                # hosts would call the platform for each version.
                return
        self._pending_by_model[declared.model] = _PendingDeclaration(
            version=declared.version,
            revision=row.revision,
            not_before=not_before,
            learned_at=boottime_clock(),
        )
        self._wake.set()

    async def run(self):
        """Write and read declaration times until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending_by_model:
                for model, pending in list(self._pending_by_model.items()):
                    await self._process(model, pending)
                if self._pending_by_model:
                    await asyncio.sleep(random.uniform(*RETRY_PAUSE))

    async def _process(self, model, pending):
        if pending.not_before is None:
            outcome = await self._read(model, pending)
        else:
            outcome = await self._write(model, pending)
        is_over = boottime_clock() >= pending.learned_at + RETRY_TIME_LIMIT
        if is_failure(outcome):
            self._log.change(
                "record_failed", model=model, reason=outcome.reason, is_over=is_over
            )
        is_finished = is_over or not is_failure(outcome)
        if is_finished and self._pending_by_model.get(model) is pending:
            del self._pending_by_model[model]

    async def _read(self, model, pending):
        asked_at = boottime_clock()
        table_update = await self._store.read(
            RECORD_TABLE, first_key=model, end_key=model + "\0"
        )
        if is_failure(table_update):
            return table_update
        received_at = boottime_clock()
        if table_update.made_at is not None:
            self._clock.add_answer(
                asked_at=asked_at,
                made_at=table_update.made_at,
                revision=table_update.revision,
                received_at=received_at,
            )
        bounds = []
        for declaration_time in self._remember_row(
            model, table_update
        ).declaration_times:
            bound = self._clock.answer_time_bound(
                declaration_time.not_before, received_at=received_at
            )
            if bound > pending.learned_at:
                self._log_refused_row(
                    model, "time is later than the receipt of its version"
                )
                return None
            if _applies_to(declaration_time, pending):
                bounds.append((declaration_time.version, bound))
        if bounds:
            self._on_declaration_times(model, tuple(bounds))
        return None

    async def _write(self, model, pending):
        own = DeclarationTime(
            version=pending.version,
            revision=pending.revision,
            not_before=pending.not_before,
        )
        if era_of(own.revision) != self._clock.era:
            # Lost by a restore; its row has another revision once it is back.
            return None
        stored = self._stored_by_model.get(model) or _StoredRow()
        if era_of(stored.revision) != era_of(own.revision):
            # Another row may have its revision now; a conflict shows the current one.
            stored = _StoredRow()
        for _ in range(MAX_WRITE_ATTEMPTS):
            if _is_already_recorded(stored.declaration_times, own):
                return None
            declaration_times = add_declaration_time(stored.declaration_times, own)
            asked_at = boottime_clock()
            answer = await self._store.write(
                RECORD_TABLE,
                model,
                encode_record(declaration_times),
                expected=stored.revision,
            )
            if is_failure(answer):
                return answer
            self._bound_newer_revisions(answer, asked_at)
            if isinstance(answer, RowWritten):
                if era_of(answer.revision) != era_of(own.revision):
                    # Restored meanwhile: the expected revision may have been that of
                    # another version of the row.
                    return RESTORED.with_reason("the store was restored meanwhile")
                # The answer may name the revision of a later write by another host. The
                # next write then conflicts and gets the actual row.
                self._stored_by_model[model] = _StoredRow(
                    declaration_times=declaration_times, revision=answer.revision
                )
                return None
            stored = self._remember_row(model, answer)
        return None

    def _bound_newer_revisions(self, answer, asked_at):
        """Use the answer to a write as a lower bound on the time of newer revisions.

        An answer of another era is left to the next read, which begins that era.
        """
        if era_of(answer.revision) == self._clock.era:
            self._clock.add_answer(
                asked_at=asked_at, made_at=None, revision=answer.revision
            )

    def _remember_row(self, model, table_update):
        """Store the row of a model as contained in an answer, and return it."""
        stored = _StoredRow()
        for row in table_update.rows:
            if row.key != model or row.data is None:
                continue
            declaration_times = decode_record(row, made_at=table_update.made_at)
            if is_failure(declaration_times):
                self._log_refused_row(model, declaration_times.reason)
                declaration_times = ()
            stored = _StoredRow(
                declaration_times=declaration_times, revision=row.revision
            )
        self._stored_by_model[model] = stored
        return stored

    def _log_refused_row(self, model, reason):
        self._log.change("record_refused", model=model, reason=reason)


def _is_already_recorded(declaration_times, own):
    """Return whether the row already has this declaration, or a later one.

    A time that is earlier than ``own`` by more than ``MIN_IMPROVEMENT`` does not count:
    the first writer may have been partitioned from the platform for long, so that its
    bound is too early. Of two lower bounds the later one is more precise.
    """
    if any(is_newer(item.revision, own.revision) for item in declaration_times):
        return True
    return any(
        item.revision == own.revision
        and item.not_before >= own.not_before - MIN_IMPROVEMENT
        for item in declaration_times
    )


def _applies_to(declaration_time, pending):
    """Return whether a time is that of the pending declaration or an earlier one."""
    if declaration_time.version == pending.version:
        return declaration_time.revision == pending.revision
    return declaration_time.version < pending.version and is_newer(
        pending.revision, declaration_time.revision
    )
