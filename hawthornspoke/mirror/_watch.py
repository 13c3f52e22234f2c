"""Follows the platform's tables, through a neighbour if possible.

The platform stores the configuration, the declared versions and the endpoints in
tables. Neighbours are the entry hosts of the same failure domain. One of them reads the
platform, and the others query that host by long polling.
"""

import asyncio
import contextlib
import random

from hawthornspoke.base import boottime_clock, is_failure
from hawthornspoke.mirror._clock import PlatformClock
from hawthornspoke.mirror._content_order import NO_ORDER
from hawthornspoke.mirror._outages import OutageTracker
from hawthornspoke.mirror._readers import ReaderHistory
from hawthornspoke.mirror._revision import (
    OUTDATED_ERA,
    era_of,
    is_newer,
    newest,
    number_of,
)
from hawthornspoke.mirror._tables import Mirror
from hawthornspoke.mirror._types import HISTORY_GONE, NOT_READING

#: Seconds for which a neighbour may wait for changes before it answers without any.
#: A frozen neighbour is detected half a second later.
NEIGHBOUR_WAIT = 1.0

#: Bounds of the random factor by which the long-poll wait of a table is multiplied. The
#: time of the last answer before a declaration of weights is used as the lower bound on
#: the declaration's time. A change is sent to all hosts at the same time; with equal
#: waits their queries would stay synchronized from then on, and that last answer could
#: be up to a second old on every host.
WAIT_SPREAD = (0.4, 1.0)

#: Seconds by which the end of a query's wait may differ from the middle between the
#: ends of two waits for another table. As every answer bounds the times of rows of all
#: tables, ends at equal distances give the closest bounds.
WAIT_JITTER = 0.1

#: Seconds by which the platform may hold a query for less than the requested wait,
#: which is sent in whole milliseconds.
WAIT_RESOLUTION = 0.001

#: Seconds between two queries to a neighbour that has changes each time.
NEIGHBOUR_PAUSE = 0.1

#: Seconds between an answer of the platform with changes and the next query when all
#: hosts start for the first time, until an agent reports the neighbours. Until then,
#: for some seconds, each host reads the platform itself while endpoints register one by
#: one. With the usual pauses each entry host made 13 calls before the first request.
FIRST_START_PAUSE = 1.0

#: Seconds after an agent has reported the neighbours within which most of them connect.
NEIGHBOUR_CONNECT_TIME = 0.15

#: Seconds between two checks whether an agent has reported the neighbours.
DISCOVERY_POLL_INTERVAL = 0.02

#: Seconds by which an answer of the platform may be overdue before this host tells its
#: neighbours to read the platform themselves. Answers take some milliseconds; a later
#: one may never arrive, and a change has to be in force after two seconds.
ANSWER_OVERDUE_AFTER = 0.4

#: The same for a whole table and for many versions of a row: up to 1 MB over a link
#: between regions that also carries chunks of weights and requests.
LARGE_ANSWER_OVERDUE_AFTER = 1.2

#: Maximum seconds between two changes of a burst. After the second one, the whole table
#: is read: it contains only the newest version of each row, while the platform answers
#: a query for changes with every version.
BURST_GAP = 1.5

#: Maximum number of keys in a log line about ignored rows.
MAX_LOGGED_KEYS = 5

#: Bounds of the random delay in seconds between attempts while the platform fails: all
#: hosts lose it together and would otherwise retry together.
RETRY_PAUSE = (0.2, 0.5)

#: Seconds after which the attempt of a neighbour to read the platform is no longer
#: awaited. The neighbour may wait for an answer of another host.
TURN_TIMEOUT = 1.0


class FollowedTable:
    """A table to follow, with its polling intervals.

    Parameters
    ----------
    name : str
    wait : float
        Long-poll seconds: the platform may wait this long for a change.
    pause : float
        Seconds between an answer with changes and the next query.
    on_update : callable
        Called with TableUpdate.
    content_order : ContentOrder, default=NO_ORDER
        Of its rows.
    confirms_configuration : bool, default=False
        Whether the table contains the configuration, so that an answer confirms which
        API keys were valid when it was made.
    """

    __slots__ = (
        "name",
        "wait",
        "pause",
        "on_update",
        "content_order",
        "confirms_configuration",
    )

    def __init__(
        self,
        *,
        name,
        wait,
        pause,
        on_update,
        content_order=NO_ORDER,
        confirms_configuration=False,
    ):
        self.name = name
        self.wait = wait
        self.pause = pause
        self.on_update = on_update
        self.content_order = content_order
        self.confirms_configuration = confirms_configuration


class _Progress:
    """How far a table has been followed, and how the last queries went.

    ``revision`` is None if the whole table has to be read, and ``failed`` is whether
    the platform has to be queried, as no neighbour can be.
    """

    __slots__ = (
        "revision",
        "generation",
        "failed",
        "newest_seen",
        "changed_at",
        "history_lost_at",
        "history",
    )

    def __init__(self):
        self.history = ReaderHistory()
        self.revision = None
        self.generation = 0
        self.failed = False
        self.newest_seen = 0
        self.changed_at = self.history_lost_at = float("-inf")


class TableWatcher:
    """Maintains a mirror of some tables.

    Parameters
    ----------
    store : object
        ``await read(table)`` and ``await follow(table, after=, wait=)`` return
        TableUpdate or a Failure, ``HISTORY_GONE`` if the whole table has to be read
        again.
    neighbours : Neighbours
    on_confirmed : callable
        Called with the time up to which the platform's state is known, in seconds of
        ``boottime_clock``.
    on_lost : callable
        Called with the reason when neither this host nor a neighbour can read the
        platform.
    log : EventLog
    first_start : bool, default=False
        Whether all hosts start for the first time.
    discovery_timeout : float, default=0.0
        Maximum wait in seconds for an agent to report the other hosts of the failure
        domain before the first read of the configuration. Without it, hosts that all
        restart at once each read the whole configuration from the platform, and the
        reads time out on the shared link into the region.
    earliest_arrival : callable or None, default=None
        Returns a lower bound on the time at which data that is read now has arrived,
        in seconds of ``boottime_clock``; None for the current time.

    Attributes
    ----------
    mirror : Mirror
    confirmed_at : float
        Time up to which the platform's state is known, in seconds of
        ``boottime_clock``.
    clock : PlatformClock
    current_until : float
        Time until which this host answers neighbours from its mirror, in seconds of
        ``boottime_clock``.
    on_restored : callable
        Called when a table was read for the first time since the store was restored.
    is_failing : bool
        Whether the last attempt to read a table failed, and no neighbour has provided
        one since.
    failed_at : float
        Time of the last failure since the platform answered, or of the start of the
        last attempt while failing, in seconds of ``boottime_clock``.
    earliest_arrival : callable
        See the parameter.
    """

    __slots__ = (
        "mirror",
        "confirmed_at",
        "clock",
        "current_until",
        "on_restored",
        "is_failing",
        "failed_at",
        "earliest_arrival",
        "_change_event",
        "_store",
        "_neighbours",
        "_on_confirmed",
        "_on_lost",
        "_log",
        "_logged_outdated_rows",
        "_reads_platform",
        "_first_start",
        "_discovery_timeout",
        "_outage_tracker_by_table",
        "_started_at",
        "_held_until_by_table",
        "_answered_query_at",
        "_answer_event",
    )

    def __init__(
        self,
        *,
        store,
        neighbours,
        on_confirmed,
        on_lost,
        log,
        first_start=False,
        discovery_timeout=0.0,
        earliest_arrival=None,
    ):
        self.mirror = Mirror()
        self.confirmed_at = float("-inf")
        self._store = store
        self._neighbours = neighbours
        self._on_confirmed = on_confirmed
        self._on_lost = on_lost
        self._log = log
        self._logged_outdated_rows = set()
        self.clock = PlatformClock()
        self.current_until = float("-inf")
        self.on_restored = lambda: None
        self.is_failing = False
        self.failed_at = float("-inf")
        self._change_event = asyncio.Event()
        self._reads_platform = False
        self._first_start = first_start
        self._discovery_timeout = discovery_timeout
        self._outage_tracker_by_table = {}
        self._started_at = boottime_clock()
        self._held_until_by_table = {}
        self.earliest_arrival = earliest_arrival or boottime_clock
        # When the newest query was sent that the platform has answered.
        self._answered_query_at = float("-inf")
        self._answer_event = asyncio.Event()

    def is_current(self):
        """Return whether this host reads the platform and gets answers in time.

        Returns
        -------
        bool
        """
        return boottime_clock() < self.current_until

    def is_first_read_pending(self):
        """Return whether this host waits for its first answer of the platform.

        Returns
        -------
        bool
        """
        return self._reads_platform and self.current_until == float("-inf")

    async def wait_for_changes(self, seconds):
        """Return once rows have changed, or after a timeout.

        Parameters
        ----------
        seconds : float
            Timeout.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._change_event.wait()

    async def run(self, tables, *, background=()):
        """Follow some tables until cancelled.

        Parameters
        ----------
        tables : iterable of FollowedTable
        background : iterable of coroutine functions, default=()
            Run and cancelled together with the tasks that follow the tables.
        """
        # In a task group an error of one task cancels the others. Otherwise they would
        # continue with a mirror that is no longer updated.
        for table in tables:
            self.mirror.order_by_table[table.name] = table.content_order
        async with asyncio.TaskGroup() as group:
            for table in tables:
                group.create_task(self._follow(table))
            for coroutine_function in background:
                group.create_task(coroutine_function())

    async def _follow(self, table):
        progress = _Progress()
        if table.confirms_configuration:
            await self._await_neighbours()
        while True:
            if self._has_to_read_whole(table, progress.revision):
                progress.revision = None
            reader = await self._choose_reader(table, progress)
            if reader is not None:
                answer = await self._query_neighbour(reader, table, progress)
            else:
                answer = await self._query_store(table, progress)
            if is_failure(answer):
                await self._handle_failure(table, progress, answer, reader)
            elif self._lacks_changes(table, answer):
                progress.revision = None
            else:
                progress.failed = False
                progress.history.record_answer(reader)
                await self._handle_answer(table, progress, answer, reader)

    async def _handle_failure(self, table, progress, failure, reader):
        if failure == HISTORY_GONE:
            progress.revision = None
            # The table is read again without delay at first, since it may have changed.
            # If the platform answers like this each time, that would be a busy loop.
            if boottime_clock() < progress.history_lost_at + RETRY_PAUSE[1]:
                await asyncio.sleep(random.uniform(*RETRY_PAUSE))
            progress.history_lost_at = boottime_clock()
            return
        if failure == OUTDATED_ERA:
            # From before the restore that another answer has shown.
            await asyncio.sleep(random.uniform(*RETRY_PAUSE))
            return
        # If a neighbour does not answer, others may not either, so the platform is
        # queried immediately. If it answers that it does not read the platform, the
        # next neighbour in order is queried, and after that all of them: otherwise all
        # hosts would query the platform, and the answers for all of them would share
        # the link on which the answer for that neighbour was late.
        if reader is not None:
            progress.failed = failure != NOT_READING
            progress.history.record_not_reading(reader, answered=not progress.failed)
            return
        progress.failed = self._record_failure(table, failure)
        progress.history.record_platform_failure()
        await asyncio.sleep(random.uniform(*RETRY_PAUSE))

    async def _handle_answer(self, table, progress, answer, reader):
        is_restored = self._is_restored(table, answer)
        progress.generation = answer.generation
        answer = self._apply(table, answer)
        if is_restored:
            self.on_restored()
        progress.revision = newest(progress.revision or 0, answer.revision)
        newest_row = newest(0, *(row.revision for row in answer.rows))
        if not is_newer(newest_row, progress.newest_seen):
            return
        in_burst = self._is_in_burst(table, progress)
        progress.newest_seen, progress.changed_at = newest_row, boottime_clock()
        await asyncio.sleep(self._pause_after_change(table, reader))
        if in_burst and reader is None:
            progress.revision = None

    def _is_in_burst(self, table, progress):
        return (
            table.confirms_configuration
            and boottime_clock() < progress.changed_at + BURST_GAP
        )

    def _has_to_read_whole(self, table, revision):
        """Return whether changes since a revision would not be enough.

        The store may have been restored, and may have given out the revision again, so
        that it answers without an error. Any of its answers shows that.
        """
        if revision is not None and era_of(revision) < self._neighbours.eras.era:
            return True
        return self.mirror.has_expired_holds(table.name)

    def _is_restored(self, table, answer):
        """Return whether an answer is of a newer era than the known table."""
        known_era = self.mirror.era(table.name)
        return known_era is not None and era_of(answer.revision) > known_era

    def _lacks_changes(self, table, answer):
        """Return whether an answer is not enough, as the store was restored meanwhile.

        It has the changes since a revision that was given out again.
        """
        return self._is_restored(table, answer) and not answer.whole

    async def _choose_reader(self, table, progress):
        """Return the neighbour to query; None once this host has to read the platform.

        Parameters
        ----------
        table : FollowedTable
        progress : _Progress
        """
        reader = None if progress.failed else self._neighbours.reader()
        if not progress.history.needs_search(reader):
            return reader
        not_reading = progress.history.not_reading
        awaited = None
        while True:
            selected = await self._neighbours.search(table.name, excluded=not_reading)
            self._outage(table).record_failure(self._neighbours.failure_seen_at)
            if selected.is_retry and self.is_failing and table.confirms_configuration:
                self._on_lost("no neighbour reads the platform")
            is_own_turn = selected.address == self._neighbours.address
            if is_own_turn and selected.is_due:
                return None
            if not selected.is_retry:
                return selected.address
            now = boottime_clock()
            if is_own_turn or selected.address != awaited:
                awaited, deadline = selected.address, now + TURN_TIMEOUT
            elif now >= deadline:
                not_reading.add(awaited)
            await asyncio.sleep(random.uniform(*RETRY_PAUSE))

    async def _await_neighbours(self):
        """Wait until an agent has reported the neighbours, or for the timeout."""
        readers = self._neighbours.readers
        deadline = boottime_clock() + self._discovery_timeout
        while not readers.has_neighbour_list() and boottime_clock() < deadline:
            await asyncio.sleep(DISCOVERY_POLL_INTERVAL)
        if readers.has_neighbour_list():
            await asyncio.sleep(NEIGHBOUR_CONNECT_TIME)

    def _pause_after_change(self, table, reader):
        """Return the seconds between an answer with changes and the next query."""
        if reader is not None:
            return NEIGHBOUR_PAUSE
        if self._first_start and not self._neighbours.readers.has_neighbour_list():
            return max(table.pause, FIRST_START_PAUSE)
        return table.pause

    def _apply(self, table, answer):
        """Apply an answer to the mirror, and return it without outdated rows."""
        # The platform sends every version of a changed row; only the newest is kept.
        answer.rows = list({row.key: row for row in answer.rows}.values())
        answer = self.mirror.update(table.name, answer)
        self._log_outdated_rows(table, answer)
        table.on_update(answer)
        for row in answer.rows:
            row.is_correction = False
        if answer.rows:
            self._notify_waiters()
        if table.confirms_configuration:
            # Only after the update: API keys are accepted until some time after this
            # confirmation, and a configuration that could not be applied must not count
            # as in force.
            self._confirm(answer.confirmed_at)
        return answer

    def _log_outdated_rows(self, table, answer):
        """Log ignored rows, once for each while answers repeat them."""
        outdated = {(table.name, row.key, row.revision) for row in answer.outdated_rows}
        logged_before = self._logged_outdated_rows
        new = sorted(outdated - logged_before)
        if new:
            self._log.change(
                "rows_outdated",
                table=table.name,
                count=len(new),
                newest=number_of(newest(*(revision for _, _, revision in new))),
                keys=[key for _, key, _ in new[:MAX_LOGGED_KEYS]],
                era=era_of(answer.revision),
                known=number_of(answer.revision),
            )
        other_tables = {item for item in logged_before if item[0] != table.name}
        self._logged_outdated_rows = other_tables | outdated

    async def _query_neighbour(self, reader, table, progress):
        if table.confirms_configuration:
            self._reads_platform = False
        asked_at = boottime_clock()
        answer = await self._neighbours.ask(
            reader,
            table.name,
            after=progress.revision,
            wait=NEIGHBOUR_WAIT,
            generation=progress.generation,
        )
        if is_failure(answer) or self._lacks_changes(table, answer):
            return answer
        self.is_failing = False
        self._set_outage(table, answer, min(asked_at, answer.confirmed_at))
        if table.confirms_configuration:
            self._set_current_until(float("-inf"))
        return answer

    async def _query_store(self, table, progress):
        # After a failure, or a stall in which neighbours ceased to use this host, the
        # first query does not wait for changes, so that its answer shows immediately
        # that the platform is reachable.
        revision, whole = progress.revision, progress.revision is None
        is_overdue = table.confirms_configuration and self._is_overdue()
        is_immediate = whole or progress.failed or self.is_failing or is_overdue
        asked_at = boottime_clock()
        wait = 0.0 if is_immediate else self._choose_wait(table, asked_at)
        self._held_until_by_table[table.name] = asked_at + wait
        if self.is_failing:
            self.failed_at = asked_at
        if table.confirms_configuration:
            self._reads_platform = True
            overdue_after = (
                LARGE_ANSWER_OVERDUE_AFTER
                if whole or self._is_in_burst(table, progress)
                else ANSWER_OVERDUE_AFTER
            )
            self._set_current_until(
                min(self.current_until, asked_at + wait + overdue_after)
            )
        if whole:
            answer, asked_at, answered_at = await self._read_whole(table)
            arrived_after = asked_at
        else:
            answer = await self._store.follow(table.name, after=revision, wait=wait)
            answered_at, arrived_after = boottime_clock(), self.earliest_arrival()
            if not is_failure(answer) and self._lacks_changes(table, answer):
                # Read again at once. This host has its turn to read a platform that
                # was unreachable; the next host would get no better answer.
                answer, asked_at, answered_at = await self._read_whole(table)
                wait = 0.0
        if is_failure(answer) and answer not in (HISTORY_GONE, OUTDATED_ERA):
            self._outage(table).record_failure(asked_at)
        if is_failure(answer) or self._lacks_changes(table, answer):
            return answer
        self._record_answered_query(asked_at)
        self.is_failing = False
        self.failed_at = float("-inf")
        answer.confirmed_at = _earliest_read(answer, asked_at, wait, arrived_after)
        self._set_write_times(table, answer, asked_at, answered_at)
        if table.confirms_configuration:
            self._set_current_until(
                answered_at + table.pause + table.wait + LARGE_ANSWER_OVERDUE_AFTER
            )
        return answer

    def _is_overdue(self):
        """Return whether this host read the platform and gets no answers in time."""
        return self.current_until > float("-inf") and not self.is_current()

    def _choose_wait(self, table, asked_at):
        """Return for how many seconds the platform may hold a query for a table."""
        shortest, longest = (table.wait * share for share in WAIT_SPREAD)
        pending = [
            held_until - asked_at
            for name, held_until in self._held_until_by_table.items()
            if name != table.name and held_until > asked_at
        ]
        if not pending:
            return random.uniform(shortest, longest)
        middle = min(pending) + (shortest + longest) / 4
        wait = middle + random.uniform(-WAIT_JITTER, WAIT_JITTER)
        return min(max(wait, shortest), longest)

    async def _read_whole(self, table):
        """Read a whole table; return the answer, and when it was sent for and received.

        In the first answer of an era the store may lack what neighbours know, so these
        are asked before it is applied.
        """
        asked_at = boottime_clock()
        if self.is_failing:
            answer, asked_at = await self._read_during_outage(table, asked_at)
        else:
            answer = await self._store.read(table.name)
        answered_at = boottime_clock()
        if is_failure(answer):
            return answer, asked_at, answered_at
        if era_of(answer.revision) != self.mirror.era(table.name):
            rows = await self._neighbours.ask_earlier_eras(table.name)
            self.mirror.merge(table.name, rows)
        return answer, asked_at, answered_at

    async def _read_during_outage(self, table, asked_at):
        """Read a whole table from a store that may be away.

        The query or its answer may be lost in the outage, and the timeout of a whole
        table is long. If the store answers a later query first, the overdue read is
        sent once more; the first one stays, since its answer may just be slow.

        Returns
        -------
        answer : TableUpdate or Failure
        asked_at : float
            When its query was sent, in seconds of ``boottime_clock``.
        """
        first = asyncio.ensure_future(self._store.read(table.name))
        second = asyncio.ensure_future(self._repeat_overdue_read(table, asked_at))
        try:
            await asyncio.wait([first, second], return_when=asyncio.FIRST_COMPLETED)
            if not first.done() and not is_failure(second.result()[0]):
                return second.result()
            return await first, asked_at
        finally:
            first.cancel()
            second.cancel()

    async def _repeat_overdue_read(self, table, asked_at):
        await asyncio.sleep(LARGE_ANSWER_OVERDUE_AFTER)
        while self._answered_query_at <= asked_at:
            await self._answer_event.wait()
        asked_at = boottime_clock()
        return await self._store.read(table.name), asked_at

    def _record_answered_query(self, asked_at):
        self._answered_query_at = max(self._answered_query_at, asked_at)
        self._answer_event.set()
        self._answer_event = asyncio.Event()

    def _set_write_times(self, table, answer, asked_at, answered_at):
        """Set lower bounds on the write times of the rows of an answer."""
        self._set_outage(table, answer, asked_at)
        self.clock.add_answer(
            asked_at=asked_at,
            made_at=answer.made_at,
            revision=answer.revision,
            read_at=answer.confirmed_at,
            received_at=answered_at,
        )
        self.mirror.set_write_times(table.name, answer, self.clock.write_time_bound)

    def _set_outage(self, table, answer, asked_at):
        """Set since when this host may have missed rows, and the end of an outage.

        Parameters
        ----------
        table : FollowedTable
        answer : TableUpdate
            Its ``confirmed_at`` has to be set.
        asked_at : float
            Lower bound on the time of the query, in seconds of ``boottime_clock``.
        """
        outage = self._outage(table)
        answer.known_until = outage.known_until
        # A copy of a restored store has rows that were written before the outage.
        if not self._is_restored(table, answer):
            answer.outage_ended_at = outage.ended_at(asked_at)
        outage.known_until = answer.confirmed_at

    def _outage(self, table):
        outage = self._outage_tracker_by_table.get(table.name)
        if outage is None:
            outage = OutageTracker(started_at=self._started_at)
            self._outage_tracker_by_table[table.name] = outage
        return outage

    def _record_failure(self, table, failure):
        """Record a failed read; return whether there is no neighbour to query."""
        self.is_failing = True
        self.failed_at = boottime_clock()
        self._neighbours.report_platform_failure(failure.reason)
        no_neighbour_left = self._neighbours.reader() is None
        if table.confirms_configuration:
            self._set_current_until(float("-inf"))
            if no_neighbour_left:
                self._on_lost(failure.reason)
        return no_neighbour_left

    def _set_current_until(self, until):
        is_sooner = until < self.current_until
        self.current_until = until
        if is_sooner:
            # Wakes the pending queries of neighbours, which would otherwise learn up to
            # 0.4 s late that they have to read the platform themselves.
            self._notify_waiters()

    def _notify_waiters(self):
        """Wake all tasks that wait for a change; later waits are for the next one."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _confirm(self, at):
        self.confirmed_at = max(self.confirmed_at, at)
        self._on_confirmed(at)


def _earliest_read(answer, asked_at, wait, arrived_after):
    """Return a lower bound on the time at which the platform read a table.

    The platform answers as soon as there are changes. So it holds a query without any
    for the whole wait, and reads the table at the end. It may do anything between then
    and the arrival of its answer, and a query that gets changes may be read at any time
    after it was sent.

    Parameters
    ----------
    answer : TableUpdate
    asked_at : float
        When the query was sent, in seconds.
    wait : float
        Seconds for which the platform may hold the query.
    arrived_after : float
        Lower bound on the time at which the answer arrived, in seconds: this process
        may have been stalled since.

    Returns
    -------
    float
        Seconds.
    """
    held_until = asked_at + max(0.0, wait - WAIT_RESOLUTION)
    if answer.rows or arrived_after < held_until:
        return asked_at
    return held_until
