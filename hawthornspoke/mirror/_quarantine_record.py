"""Keeps requests that end endpoints where that outlives all processes."""

import asyncio
import json
import random

from hawthornspoke import fields
from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.mirror._types import Written
from hawthornspoke.quarantine import EVIDENCE_FOR, Evidence

#: The only row: it can't outgrow its bounds, however many requests there are.
QUARANTINE_TABLE = "quarantine"
KEY = "requests"

#: Requests that the row tells of, and ends of endpoints for each.
MOST_REQUESTS = 32
MOST_STARTS = 5

#: Seconds between two tries, drawn at random between these; all hosts that start at
#: once read the row.
RETRY_PAUSE = (0.5, 1.0)

#: Times that the row is written anew after another host was quicker.
CONFLICTS = 4

#: Milliseconds in a second.
MS = 1000


class _Entry:
    """A request in quarantine; ``until`` is on the platform's own clock."""

    __slots__ = ("fingerprint", "starts", "until")

    def __init__(self, *, fingerprint, starts, until):
        self.fingerprint = fingerprint
        self.starts = starts
        self.until = until


class QuarantineRecord:
    """Reads the row when the process starts, and writes what its host found out.

    Entry hosts hear of requests in quarantine from agents. If all processes end at
    once nobody is left who knows, and as many endpoints would end once more.

    Parameters
    ----------
    store : object
        See ``RecordKeeper``.
    suspects : Suspects
    log : EventLog
    first_start : bool, default=False
        Whether the whole system starts for the first time, so that there is no row.
    """

    __slots__ = ("_store", "_suspects", "_log", "_first_start")

    def __init__(self, *, store, suspects, log, first_start=False):
        self._store = store
        self._suspects = suspects
        self._log = log
        self._first_start = first_start

    async def run(self):
        """Read and write until cancelled."""
        if not self._first_start:
            await self._until_done(self._read)
        while True:
            items = await self._suspects.next_unrecorded()
            await self._until_done(lambda items=items: self._write(items))

    async def _until_done(self, work):
        while is_failure(outcome := await work()):
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
                start=start,
                deadline=now + min(entry.until - made_at, EVIDENCE_FOR),
            )
            for entry in entries
            for start in entry.starts
        )
        if items:
            self._suspects.take_recorded(items)
        return None

    async def _write(self, items):
        for _ in range(CONFLICTS):
            row = await self._read_row()
            if is_failure(row):
                return row
            entries, made_at, revision = row
            added = _entries_of(items, made_at)
            known = {entry.fingerprint for entry in entries}
            if all(entry.fingerprint in known for entry in added):
                return None
            data = _encode(_joined(entries, added, made_at))
            answer = await self._store.write(
                QUARANTINE_TABLE, KEY, data, expected=revision
            )
            if is_failure(answer) or isinstance(answer, Written):
                return answer if is_failure(answer) else None
        return None

    async def _read_row(self):
        """Return entries, the platform's time and the row's revision, or a Failure."""
        news = await self._store.read(QUARANTINE_TABLE, first=KEY, past=KEY + "\0")
        if is_failure(news):
            return news
        if news.made_at is None:
            return fields.UNUSABLE.because("the platform did not tell its time")
        for row in news.rows:
            if row.key != KEY or row.data is None:
                continue
            entries = _decode(row.data)
            if is_failure(entries):
                # Of another writer. It is written over when there is something to tell.
                self._log.change("quarantine_unreadable", reason=entries.reason)
                entries = []
            return entries, news.made_at, row.revision
        return [], news.made_at, 0


def _entries_of(items, made_at):
    now = monotonic()
    items_by_fingerprint = {}
    for item in items:
        items_by_fingerprint.setdefault(item.fingerprint, []).append(item)
    return [
        _Entry(
            fingerprint=fingerprint,
            starts=[item.start for item in known][:MOST_STARTS],
            until=made_at + min(item.deadline for item in known) - now,
        )
        for fingerprint, known in items_by_fingerprint.items()
    ]


def _joined(entries, added, made_at):
    """Return the entries that the row tells of from now on, the oldest first."""
    names = {entry.fingerprint for entry in added}
    kept = [
        entry
        for entry in entries
        if entry.until > made_at and entry.fingerprint not in names
    ]
    joined = sorted([*kept, *added], key=lambda entry: entry.until)
    return joined[-MOST_REQUESTS:]


def _encode(entries):
    items = [
        {
            "fingerprint": entry.fingerprint,
            "starts": entry.starts,
            "until_ms": int(entry.until * MS),
        }
        for entry in entries
    ]
    return json.dumps({"requests": items}).encode()


@fields.as_value
def _decode(data):
    tree = fields.object_of(data)
    return [
        _Entry(
            fingerprint=fields.text(item, "fingerprint"),
            starts=fields.texts(item, "starts")[:MOST_STARTS],
            until=fields.number(item, "until_ms") / MS,
        )
        for item in fields.children(tree, "requests")[:MOST_REQUESTS]
    ]
