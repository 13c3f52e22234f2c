"""Keeps the moments of declarations where they outlive all processes."""

import asyncio
import random

from hawthornspoke.base import contact_clock, is_failure
from hawthornspoke.catalog import UNKNOWN
from hawthornspoke.mirror._record import (
    RECORD_TABLE,
    Dating,
    add_dating,
    encode_record,
    read_record,
)
from hawthornspoke.mirror._types import Written

#: Seconds after a declaration was heard of for which a call that failed is made
#: again. Bounds of old weights are 8 and 13.4 s; later the moment gains little.
RETRY_FOR = 10.0

#: Seconds between two tries, drawn at random between these: all hosts that read the
#: platform write at the same declaration.
RETRY_PAUSE = (0.5, 1.0)

#: Times that a row is written anew after another host was quicker. There are as many
#: writers as failure domains, and one that was quicker mostly wrote the same version.
CONFLICTS = 4


#: Seconds by which a moment must be later to be written in place of another: answers
#: of two tables come each second, so that moments of hosts in touch differ by less.
WORTH_A_WRITE = 1.0


class _Due:
    """A declaration of which the moment is to be written, or read."""

    __slots__ = ("version", "revision", "not_before", "heard_at")

    def __init__(self, *, version, revision, not_before, heard_at):
        self.version = version
        self.revision = revision
        # On the platform's clock; None if this host can't tell, and has to read it.
        self.not_before = not_before
        self.heard_at = heard_at


class _Known:
    """A row as it was last seen: its revision, 0 if it isn't there."""

    __slots__ = ("datings", "revision")

    def __init__(self, *, datings=(), revision=0):
        self.datings = list(datings)
        self.revision = revision


class RecordKeeper:
    """Writes when a version was declared, or reads it if this process can't tell.

    A version binds a fixed time after its declaration, and at once if nobody knows
    when that was. If all processes were killed at once just after a declaration, old
    weights were refused until the new ones were loaded, while engines that held the
    old ones lived on. So a process that can date a declaration writes the moment to
    the platform, and one that can't looks there once.

    Parameters
    ----------
    store : object
        ``await read(table, first=, past=)`` returns News or a Failure, ``await
        write(table, key, data, expected=)`` Written, News of the row if it isn't as
        expected, or a Failure.
    clock : PlatformClock
        Knows what the platform told this process.
    on_dated : callable
        Called with a model and a tuple of versions and moments, on the contact clock,
        before which they were not declared.
    log : EventLog
    """

    __slots__ = (
        "_store",
        "_clock",
        "_on_dated",
        "_log",
        "_taken_by_model",
        "_due_by_model",
        "_known_by_model",
        "_wake",
    )

    def __init__(self, *, store, clock, on_dated, log):
        self._store = store
        self._clock = clock
        self._on_dated = on_dated
        self._log = log
        self._taken_by_model = {}
        self._due_by_model = {}
        self._known_by_model = {}
        self._wake = asyncio.Event()

    def take(self, declared, row, *, first_hand=True):
        """Take a declaration; one that is known changes nothing.

        Parameters
        ----------
        declared : DeclaredWeights
        row : Row
            That told it.
        first_hand : bool, default=True
            Whether the platform told this process, and no neighbour.
        """
        if row.revision <= self._taken_by_model.get(declared.model, 0):
            return
        self._taken_by_model[declared.model] = row.revision
        not_before = self._clock.last_without(row.revision)
        if row.written_at != UNKNOWN and (not_before is None or not first_hand):
            # A neighbour told the moment, and has written it. This process may know
            # an earlier one, of when it read the platform itself; were that written
            # too, each of 99 entry hosts would call the platform for each version.
            return
        self._due_by_model[declared.model] = _Due(
            version=declared.version,
            revision=row.revision,
            not_before=not_before,
            heard_at=contact_clock(),
        )
        self._wake.set()

    async def run(self):
        """Write and read until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._due_by_model:
                for model, due in list(self._due_by_model.items()):
                    await self._try(model, due)
                if self._due_by_model:
                    await asyncio.sleep(random.uniform(*RETRY_PAUSE))

    async def _try(self, model, due):
        if due.not_before is None:
            outcome = await self._read(model, due)
        else:
            outcome = await self._write(model, due)
        is_over = contact_clock() >= due.heard_at + RETRY_FOR
        if is_failure(outcome):
            self._log.change(
                "record_failed", model=model, reason=outcome.reason, is_over=is_over
            )
        is_settled = is_over or not is_failure(outcome)
        if is_settled and self._due_by_model.get(model) is due:
            del self._due_by_model[model]

    async def _read(self, model, due):
        asked_at = contact_clock()
        news = await self._store.read(RECORD_TABLE, first=model, past=model + "\0")
        if is_failure(news):
            return news
        received_at = contact_clock()
        if news.made_at is not None:
            self._clock.note(
                asked_at=asked_at, made_at=news.made_at, revision=news.revision
            )
        moments = []
        for dating in self._keep(model, news).datings:
            moment = self._clock.earliest(dating.not_before, received_at=received_at)
            if moment > due.heard_at:
                self._refuse(model, "later than its version was heard of")
                return None
            if _concerns(dating, due):
                moments.append((dating.version, moment))
        if moments:
            self._on_dated(model, tuple(moments))
        return None

    async def _write(self, model, due):
        own = Dating(
            version=due.version, revision=due.revision, not_before=due.not_before
        )
        known = self._known_by_model.get(model) or _Known()
        for _ in range(CONFLICTS):
            if _tells_enough(known.datings, own):
                return None
            datings = add_dating(known.datings, own)
            answer = await self._store.write(
                RECORD_TABLE, model, encode_record(datings), expected=known.revision
            )
            if is_failure(answer):
                return answer
            if isinstance(answer, Written):
                # If its revision is a later one, the next write is told the row.
                self._known_by_model[model] = _Known(
                    datings=datings, revision=answer.revision
                )
                return None
            known = self._keep(model, answer)
        return None

    def _keep(self, model, news):
        """Remember the row of a model as an answer shows it."""
        known = _Known()
        for row in news.rows:
            if row.key != model or row.data is None:
                continue
            datings = read_record(row, made_at=news.made_at)
            if is_failure(datings):
                self._refuse(model, datings.reason)
                datings = ()
            known = _Known(datings=datings, revision=row.revision)
        self._known_by_model[model] = known
        return known

    def _refuse(self, model, reason):
        self._log.change("record_refused", model=model, reason=reason)


def _tells_enough(datings, own):
    """Tell whether another host was quicker, with this declaration or a later one.

    The quickest may be one that had heard nothing for long, and whose moment is early
    by as much; of two moments before which nothing was declared the later tells most.
    """
    if any(item.revision > own.revision for item in datings):
        return True
    return any(
        item.revision == own.revision
        and item.not_before >= own.not_before - WORTH_A_WRITE
        for item in datings
    )


def _concerns(dating, due):
    """Tell whether a moment is of a declared version, or of one before it."""
    if dating.version == due.version:
        return dating.revision == due.revision
    return dating.version < due.version and dating.revision < due.revision
