"""Stores quarantined requests on the platform, where they outlive all processes.

A request is quarantined, and not sent to endpoints again, if several endpoint processes
(incarnations) ended while they ran it.
"""

import asyncio
import json
import random

from hawthornspoke import fields
from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.mirror._stored_row import read_stored_row
from hawthornspoke.mirror._types import RowWritten
from hawthornspoke.quarantine import (
    EVIDENCE_LIFETIME,
    RETRIAL_LIFETIME,
    Evidence,
    Retrial,
    counted_ends,
)

#: Table and key of the only row, whose size is bounded for any number of requests.
QUARANTINE_TABLE = "quarantine"
KEY = "requests"

#: Maximum number of requests in the row, and of endpoint incarnations for each request.
MAX_REQUESTS = 32
MAX_INCARNATIONS_PER_REQUEST = 5

#: Bounds of the random delay in seconds between attempts. Hosts that start at the same
#: time all read the row and would otherwise retry together.
RETRY_PAUSE = (0.5, 1.0)

#: Maximum attempts to write the row after conflicts with other hosts.
MAX_WRITE_ATTEMPTS = 4

#: Other hosts wrote the row each time, so that this write has to be tried again.
CONFLICT = Failure(code="row_conflict", reason="other hosts wrote the row")

#: Milliseconds in a second.
MS = 1000


class _Entry:
    """A feature of requests in quarantine, with the incarnations that ended under it.

    ``until`` is the end of the quarantine in seconds on the platform's clock, and
    ``until_by_incarnation`` that of each evidence. ``retrials`` and ``clearings`` are
    the counts of the latest retrial, which expires at ``retrial_until``.
    """

    __slots__ = (
        "fingerprint",
        "until_by_incarnation",
        "until",
        "retrials",
        "clearings",
        "retrial_until",
    )

    def __init__(
        self,
        *,
        fingerprint,
        until_by_incarnation,
        until,
        retrials=0,
        clearings=0,
        retrial_until=0.0,
    ):
        self.fingerprint = fingerprint
        self.until_by_incarnation = until_by_incarnation
        self.until = until
        self.retrials = retrials
        self.clearings = clearings
        self.retrial_until = retrial_until

    @property
    def counts(self):
        """Counts of the latest retrial; larger ones are newer."""
        return self.clearings, self.retrials

    def covers(self, other):
        """Return whether another entry would add nothing."""
        has_ends = other.until_by_incarnation.keys() <= self.until_by_incarnation.keys()
        is_full = len(self.until_by_incarnation) >= MAX_INCARNATIONS_PER_REQUEST
        return (has_ends or is_full) and other.counts <= self.counts

    def union(self, other):
        """Return an entry with the evidence and the latest retrial of two."""
        newer = max(self, other, key=lambda entry: entry.counts)
        until_by_incarnation = {
            **other.until_by_incarnation,
            **self.until_by_incarnation,
        }
        counted = counted_ends(self.fingerprint, until_by_incarnation)
        return _Entry(
            fingerprint=self.fingerprint,
            until_by_incarnation={
                incarnation_id: until_by_incarnation[incarnation_id]
                for incarnation_id in counted[:MAX_INCARNATIONS_PER_REQUEST]
            },
            until=max(self.until, other.until),
            retrials=newer.retrials,
            clearings=newer.clearings,
            retrial_until=newer.retrial_until,
        )


class QuarantineRecorder:
    """Reads the stored requests at the process's start, and adds those it quarantines.

    Entry hosts learn of quarantined requests from agents. Without the row, this
    information would be lost if all processes ended at the same time, and the requests
    would crash as many endpoints again.

    Parameters
    ----------
    store : object
        See ``DeclarationRecorder``.
    suspects : PoisonRequestTracker
    log : EventLog
    first_start : bool, default=False
        Whether the whole system starts for the first time, so that no row exists.
    """

    __slots__ = (
        "_store",
        "_suspects",
        "_log",
        "_first_start",
        "_written_by_key",
        "_restored",
    )

    def __init__(self, *, store, suspects, log, first_start=False):
        self._store = store
        self._suspects = suspects
        self._log = log
        self._first_start = first_start
        # Evidence that this process has written, by fingerprint and incarnation.
        self._written_by_key = {}
        self._restored = asyncio.Event()

    async def run(self):
        """Read and write until cancelled."""
        if not self._first_start:
            await self._retry_until_done(self._read)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._write_new_evidence())
            group.create_task(self._write_again_after_restores())

    def on_restored(self):
        """Write again what this process had written before the store was restored."""
        self._restored.set()

    async def _write_new_evidence(self):
        while True:
            items = await self._suspects.wait_for_unstored_evidence()
            await self._retry_until_done(lambda items=items: self._write(items))
            for item in items:
                if isinstance(item, Retrial):
                    self._written_by_key[item.fingerprint, None] = item
                else:
                    self._written_by_key[item.fingerprint, item.incarnation_id] = item

    async def _write_again_after_restores(self):
        while True:
            await self._restored.wait()
            self._restored.clear()
            now = monotonic()
            self._written_by_key = {
                key: item
                for key, item in self._written_by_key.items()
                if item.deadline > now
            }
            items = tuple(self._written_by_key.values())
            if items:
                await self._retry_until_done(lambda items=items: self._write(items))

    async def _retry_until_done(self, operation):
        while is_failure(outcome := await operation()):
            self._log.change("quarantine_unrecorded", reason=outcome.reason)
            await asyncio.sleep(random.uniform(*RETRY_PAUSE))

    async def _read(self):
        row = await self._read_row()
        if is_failure(row):
            return row
        entries, made_at, _ = row
        now = monotonic()
        items = tuple(
            Evidence(
                fingerprint=entry.fingerprint,
                incarnation_id=incarnation_id,
                deadline=now + min(until - made_at, EVIDENCE_LIFETIME),
            )
            for entry in entries
            for incarnation_id, until in entry.until_by_incarnation.items()
        )
        retrials = tuple(
            Retrial(
                fingerprint=entry.fingerprint,
                count=entry.retrials,
                clearings=entry.clearings,
                deadline=now + min(entry.retrial_until - made_at, RETRIAL_LIFETIME),
            )
            for entry in entries
            if entry.retrial_until > made_at
        )
        if items:
            self._log.change(
                "quarantine_read", features=[entry.fingerprint for entry in entries]
            )
        self._suspects.merge_recorded((*items, *retrials))
        return None

    async def _write(self, items):
        for _ in range(MAX_WRITE_ATTEMPTS):
            row = await self._read_row()
            if is_failure(row):
                return row
            entries, made_at, revision = row
            added = _entries_from_evidence(items, made_at)
            dropped = sum(self._drop_obsolete(entry, made_at) for entry in entries)
            known = {entry.fingerprint: entry for entry in entries}
            if not dropped and all(
                entry.fingerprint in known and known[entry.fingerprint].covers(entry)
                for entry in added
            ):
                return None
            data = _encode(_merge_entries(entries, added, made_at))
            answer = await self._store.write(
                QUARANTINE_TABLE, KEY, data, expected=revision
            )
            if is_failure(answer) or isinstance(answer, RowWritten):
                return answer if is_failure(answer) else None
        return CONFLICT

    def _drop_obsolete(self, entry, made_at):
        """Drop evidence that has expired or is cleared; return how much there was."""
        cleared = self._suspects.cleared_incarnations(entry.fingerprint)
        obsolete = [
            incarnation_id
            for incarnation_id, until in entry.until_by_incarnation.items()
            if incarnation_id in cleared or until <= made_at
        ]
        for incarnation_id in obsolete:
            del entry.until_by_incarnation[incarnation_id]
        return len(obsolete)

    async def _read_row(self):
        """Return the entries, the time of the platform's answer and the revision.

        Returns
        -------
        tuple of (list of _Entry, float, int) or Failure
            The time is in seconds on the platform's clock; the revision is that of the
            row, or 0 if there is no row.
        """
        row = await read_stored_row(self._store, QUARANTINE_TABLE, KEY)
        if is_failure(row):
            return row
        entries = [] if row.data is None else _decode(row.data)
        if is_failure(entries):
            # Written by another client; overwritten by the next write.
            self._log.change("quarantine_unreadable", reason=entries.reason)
            entries = []
        return entries, row.made_at, row.revision


def _entries_from_evidence(items, made_at):
    now = monotonic()
    items_by_fingerprint, retrial_by_fingerprint = {}, {}
    for item in items:
        if isinstance(item, Retrial):
            retrial_by_fingerprint[item.fingerprint] = item
        else:
            items_by_fingerprint.setdefault(item.fingerprint, []).append(item)
    entries = [
        _Entry(
            fingerprint=fingerprint,
            until_by_incarnation={
                incarnation_id: made_at + deadline - now
                for incarnation_id, deadline in _counted_deadlines(fingerprint, known)
            },
            until=made_at + min(item.deadline for item in known) - now,
        )
        for fingerprint, known in items_by_fingerprint.items()
    ]
    for entry in entries:
        retrial = retrial_by_fingerprint.get(entry.fingerprint)
        if retrial is not None:
            entry.retrials, entry.clearings = retrial.count, retrial.clearings
            entry.retrial_until = made_at + retrial.deadline - now
    return entries


def _counted_deadlines(fingerprint, items):
    """Return incarnation ids and deadlines of the evidence to record."""
    deadline_by_incarnation = {item.incarnation_id: item.deadline for item in items}
    counted = counted_ends(fingerprint, deadline_by_incarnation)
    return [
        (incarnation_id, deadline_by_incarnation[incarnation_id])
        for incarnation_id in counted[:MAX_INCARNATIONS_PER_REQUEST]
    ]


def _merge_entries(entries, added, made_at):
    """Return the entries of the row after adding some, ordered by expiry."""
    entry_by_fingerprint = {
        entry.fingerprint: entry
        for entry in entries
        if entry.until > made_at and entry.until_by_incarnation
    }
    for entry in added:
        known = entry_by_fingerprint.get(entry.fingerprint)
        merged = entry if known is None else known.union(entry)
        entry_by_fingerprint[entry.fingerprint] = merged
    merged = sorted(entry_by_fingerprint.values(), key=lambda entry: entry.until)
    return merged[-MAX_REQUESTS:]


def _encode(entries):
    items = [
        {
            "fingerprint": entry.fingerprint,
            "starts": list(entry.until_by_incarnation),
            "until_ms": int(entry.until * MS),
            "until_ms_by_start": [
                int(until * MS) for until in entry.until_by_incarnation.values()
            ],
            "retrials": entry.retrials,
            "clearings": entry.clearings,
            "retrial_until_ms": int(entry.retrial_until * MS),
        }
        for entry in entries
    ]
    return json.dumps({"requests": items}).encode()


@fields.failure_on_field_error
def _decode(data):
    tree = fields.parse_object(data)
    return [
        _decode_entry(item) for item in fields.children(tree, "requests")[:MAX_REQUESTS]
    ]


def _decode_entry(item):
    incarnation_ids = fields.texts(item, "starts")[:MAX_INCARNATIONS_PER_REQUEST]
    until = fields.number(item, "until_ms") / MS
    # Rows of earlier builds have only the time of the whole entry.
    untils = [value / MS for value in fields.numbers(item, "until_ms_by_start", [])]
    if len(untils) < len(incarnation_ids):
        untils = [until] * len(incarnation_ids)
    return _Entry(
        fingerprint=fields.text(item, "fingerprint"),
        until_by_incarnation=dict(zip(incarnation_ids, untils, strict=False)),
        until=until,
        # Rows of earlier builds have no retrials.
        retrials=fields.whole_number(item, "retrials", 0),
        clearings=fields.whole_number(item, "clearings", 0),
        retrial_until=fields.number(item, "retrial_until_ms", 0) / MS,
    )
