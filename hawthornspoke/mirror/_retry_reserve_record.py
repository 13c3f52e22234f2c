"""Asks the platform's store for retries out of the reserve of all entry hosts.

The row with the grants is written only as it was read, so that the hosts together never
get more than the reserve, whichever of them have restarted.
"""

import asyncio
import json
import random
from dataclasses import replace

from hawthornspoke import fields
from hawthornspoke.base import Failure, boottime_clock, is_failure
from hawthornspoke.mirror._stored_row import read_stored_row
from hawthornspoke.mirror._types import RowWritten
from hawthornspoke.retries import (
    EVERY_SERVICE,
    MAX_GRANTS,
    ReservedRetries,
    ReserveEmpty,
    ReserveRequested,
    RetryReserve,
)

#: Table and key of the only row.
RESERVE_TABLE = "retries"
KEY = "reserve"

#: Seconds for which a host may use what it has asked for as it had none left.
USE_TIME = 1.0

#: Bounds of the random delay in seconds after a failed call, and after a conflict with
#: another host: hosts that start together all write the row.
RETRY_PAUSE = (0.5, 1.0)
CONFLICT_PAUSE = (0.01, 0.1)

#: Maximum attempts to write the row after conflicts.
MAX_WRITE_ATTEMPTS = 6

#: Other hosts wrote the row each time, or it took too long.
CONFLICT = Failure(code="row_conflict", reason="other hosts wrote the row")

#: Milliseconds in a second.
MS = 1000


class RetryReserveRecorder:
    """Gets retries for this host: some at its start, and whenever it has none left.

    Parameters
    ----------
    store : object
        See ``DeclarationRecorder``.
    budgets : RetryBudgets
    log : EventLog
    """

    __slots__ = ("_store", "_budgets", "_log")

    def __init__(self, *, store, budgets, log):
        self._store = store
        self._budgets = budgets
        self._log = log

    async def run(self):
        """Ask for retries until cancelled."""
        await self._ask_for_first()
        while True:
            for service in await self._budgets.reserve_requests.wait():
                deadline = boottime_clock() + USE_TIME
                outcome = await self._claim(service, deadline)
                if is_failure(outcome):
                    self._log.change("retry_reserve_failed", reason=outcome.reason)
                    pause = random.uniform(*RETRY_PAUSE)
                    self._budgets.reserve_requests.pause(boottime_clock() + pause)

    def on_restored(self):
        """Ask for nothing until the grants that the store may have lost are over."""
        pause = self._budgets.longest_use + self._budgets.window
        self._budgets.reserve_requests.pause(boottime_clock() + pause)

    async def _ask_for_first(self):
        """Get retries of each service until this host's share is usable."""
        while self._budgets.reserve_size and boottime_clock() < self._budgets.usable_at:
            outcome = await self._claim(EVERY_SERVICE, self._budgets.usable_at)
            if not is_failure(outcome):
                return
            self._log.change("retry_reserve_failed", reason=outcome.reason)
            await asyncio.sleep(random.uniform(*RETRY_PAUSE))

    async def _claim(self, service, deadline):
        """Ask for retries that may be used until a time; return a failure, if any."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            asked_at = boottime_clock()
            if asked_at >= deadline:
                break
            row = await read_stored_row(self._store, RESERVE_TABLE, KEY)
            if is_failure(row):
                return row
            reserve, is_readable = self._reserve_of(row)
            message = ReserveRequested(service=service, use_time=deadline - asked_at)
            (outcome,) = reserve.step(message, now=row.made_at)
            is_empty = isinstance(outcome, ReserveEmpty)
            if is_empty:
                wait = max(0.0, outcome.retry_at - row.made_at)
                self._budgets.reserve_requests.pause_service(service, asked_at + wait)
                self._log.decision("retry_reserve_empty", service=service)
                if is_readable:
                    return None
            answer = await self._store.write(
                RESERVE_TABLE, KEY, _encode(reserve.grants), expected=row.revision
            )
            if is_failure(answer):
                return answer
            if isinstance(answer, RowWritten):
                if not is_empty:
                    self._grant(service, outcome.count, deadline)
                return None
            await asyncio.sleep(random.uniform(*CONFLICT_PAUSE))
        return CONFLICT

    def _grant(self, service, count, deadline):
        now = boottime_clock()
        self._budgets.add_grant(service, count, deadline=deadline, now=now)
        self._log.change(
            "retry_reserve_granted",
            service=service,
            count=count,
            usable_for=round(deadline - now, 3),
        )

    def _reserve_of(self, row):
        """Return the reserve as a row tells it, and whether the row can be read.

        All is granted if it can't.
        """
        reserve = RetryReserve(
            size=self._budgets.reserve_size, window=self._budgets.window
        )
        latest = row.made_at + self._budgets.longest_use + self._budgets.window
        grants = [] if row.data is None else _decode(row.data)
        if is_failure(grants):
            self._log.change("retry_reserve_unreadable", reason=grants.reason)
            reserve.grants = [
                ReservedRetries(service=EVERY_SERVICE, count=reserve.size, until=latest)
            ]
            return reserve, False
        reserve.grants = [
            replace(item, until=min(item.until, latest)) for item in grants
        ]
        return reserve, True


def _encode(grants):
    items = [
        {
            "service": item.service,
            "count": item.count,
            "until_ms": int(item.until * MS) + 1,
        }
        for item in grants
    ]
    return json.dumps({"grants": items}).encode()


@fields.failure_on_field_error
def _decode(data):
    tree = fields.parse_object(data)
    return [
        ReservedRetries(
            service=fields.text(item, "service"),
            count=fields.whole_number(item, "count"),
            until=fields.number(item, "until_ms") / MS,
        )
        for item in fields.children(tree, "grants")[:MAX_GRANTS]
    ]
