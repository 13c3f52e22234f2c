"""Queries neighbours for changes of the platform's tables, and answers such queries.

Neighbours are the entry hosts of the same failure domain. One of them, the reader,
reads the platform; the others query it.
"""

import asyncio
import copy
import zlib

from hawthornspoke.base import (
    LATE_TIMER_DELAY,
    Failure,
    boottime_clock,
    is_failure,
    monotonic,
)
from hawthornspoke.catalog import UNKNOWN_TIME
from hawthornspoke.mirror._readers import (
    NeighbourListReceived,
    ReaderCandidate,
    ReaderFailed,
    ReaderFound,
    ReaderSelector,
    select_reader,
)
from hawthornspoke.mirror._revision import (
    EraTracker,
    era_of,
    make_revision,
    number_of,
)
from hawthornspoke.mirror._types import NOT_READING, Row, TableUpdate
from hawthornspoke.peering import connect, listen
from hawthornspoke.protocol import Frame, TableAsk, TableNews, TableRow

#: Connect timeout in seconds; neighbours are in the same failure domain.
CONNECT_TIMEOUT = 0.3

#: Timeout of an answer in seconds, in addition to the time for which the neighbour may
#: wait for changes. After both, there has to be time left to read the platform before a
#: change must be in force (2 s).
ANSWER_TIMEOUT = 0.5

#: Timeout in seconds of an answer whether a neighbour reads the platform. It answers
#: immediately.
SEARCH_TIMEOUT = 0.2

#: Revision after which no neighbour has changes, so that its answer contains no rows.
LAST_REVISION = 2**62

#: Seconds between two checks whether this host has become the reader.
POLL_INTERVAL = 0.05

#: Maximum seconds between two checks of the clock while waiting for changes. Timers of
#: the event loop stop while this host is suspended, so one long timer could end too
#: late for the querying host, which gives up half a second after its requested wait.
MAX_WAIT = 0.4

#: Seconds after a query within which this host may become the reader. It detects the
#: failure of the previous reader at about the same time as the hosts that then query
#: this one. The same holds after a stall of this process, which reads the answers of
#: the platform that arrived meanwhile.
TAKEOVER_WINDOW = 0.3

#: Seconds for which a query that may have arrived during a stall of this process is
#: held at least. Neighbours repeat their queries without a pause, and those that arrive
#: soon after a stall look the same.
MIN_HOLD_AFTER_STALL = 0.2

#: Minimum bytes of a row to be compressed. A configuration of 100 KB becomes 10 to
#: 15 KB; rows of endpoints have about 200 bytes and would gain nothing.
COMPRESSION_THRESHOLD = 2048

#: Fastest zlib level: 2 ms for 100 KB, with a result a tenth larger than by default.
COMPRESSION_LEVEL = 1

#: Maximum bytes of a decompressed row; an answer of the platform has up to 1 MB.
MAX_ROW_BYTES = 4 * 1024 * 1024

#: Timeout in seconds of a query for rows of earlier eras, which is answered at once.
EARLIER_ERAS_TIMEOUT = 0.3

#: The answer of a neighbour is malformed.
UNREADABLE = Failure(code="neighbour_unreadable")

#: The neighbour knows the store only as it was before it was restored.
OUTDATED = Failure(code="neighbour_outdated")


class Neighbours:
    """Connections to the other entry hosts of this host's failure domain.

    Parameters
    ----------
    address : str
        IP of this host.
    port : int
        Port on which every entry host listens for neighbours.
    log : EventLog

    Attributes
    ----------
    address : str
    readers : ReaderSelector
    eras : EraTracker
        Eras of the platform's store; shared with its client.
    on_other_frame : callable or None
        Called with a connection and a frame on it that asks for no table.
    failure_seen_at : float
        When a host of the failure domain last failed to read the platform, as far as
        searches have shown, in seconds of ``boottime_clock``.
    """

    __slots__ = (
        "readers",
        "eras",
        "address",
        "on_other_frame",
        "failure_seen_at",
        "_port",
        "_log",
        "_watch",
        "_server",
        "_link_by_address",
        "_accepted_links",
        "_tasks",
        "_encoded_row_by_key",
    )

    def __init__(self, *, address, port, log):
        self.readers = ReaderSelector(address=address)
        self.eras = EraTracker()
        self.address = address
        self.on_other_frame = None
        self.failure_seen_at = float("-inf")
        self._port = port
        self._log = log
        self._watch = None
        self._server = None
        self._link_by_address = {}
        self._accepted_links = set()
        self._tasks = set()
        self._encoded_row_by_key = {}

    async def serve(self, watch):
        """Answer queries of neighbours from the tables that a watcher has read.

        A further call replaces the watcher.

        Parameters
        ----------
        watch : TableWatcher
        """
        self._watch = watch
        if self._server is not None:
            return
        self._server = await listen(
            self.address,
            self._port,
            on_frame=self._on_frame,
            on_closed=self._accepted_links.discard,
        )

    def close(self):
        """Close the server and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for link in (*self._link_by_address.values(), *self._accepted_links):
            link.close()

    def update_entry_hosts(self, agent, addresses):
        """Replace the list of entry hosts that an agent has reported."""
        message = NeighbourListReceived(agent=agent, addresses=tuple(addresses))
        self.readers.step(message, now=monotonic())

    def reader(self):
        """Return the neighbour to query; None if this host has to read the platform."""
        return self.readers.reader(monotonic())

    def dump_store(self):
        """Return what is known of the platform's store as plain data."""
        return {
            "era": self.eras.era,
            "era_is_usable": self.eras.is_usable,
            "tables": {} if self._watch is None else self._watch.mirror.dump(),
        }

    def report_platform_failure(self, reason):
        """Log that this host can't read the platform, and don't select it as reader."""
        self._log.change("platform_unread", reason=reason)
        self.readers.step(ReaderFailed(address=self.address), now=monotonic())

    async def ask(self, address, table, *, after, wait, generation=0):
        """Query a neighbour for changes of a table.

        Parameters
        ----------
        address : str
        table : str
        after : int or None
            Revision up to which the table is known; None requests the whole table.
        wait : float
            Seconds for which the neighbour may wait for a change.
        generation : int, default=0
            That of the answer by which the table is known.

        Returns
        -------
        TableUpdate or Failure
            After ``NOT_READING`` the reader has to be searched for; after any other
            failure this host has to read the platform itself.
        """
        asked_at = boottime_clock()
        eras = self.eras
        ask = TableAsk(
            table=table,
            after=-1 if after is None else number_of(after),
            after_era=None if after is None else era_of(after),
            wait_ms=int(wait * 1000),
            era=eras.era,
            generation=generation,
        )
        answer = await self._query(address, ask, timeout=wait + ANSWER_TIMEOUT)
        if not is_failure(answer) and not _validate_and_decompress(answer):
            answer = UNREADABLE.with_reason(
                "a field is missing or can't be decompressed"
            )
        if not is_failure(answer):
            # A neighbour of an earlier build doesn't name the era.
            era = eras.era if answer.era is None else answer.era
            eras.learn(era)
            if era < eras.era:
                answer = OUTDATED.with_reason(f"its era is {era}, not {eras.era}")
        if is_failure(answer):
            self._log.change("neighbour_failed", peer=address, reason=answer.reason)
            self.readers.step(ReaderFailed(address=address), now=monotonic())
            return answer
        return _decode_answer(answer, asked_at, era)

    async def ask_earlier_eras(self, table):
        """Query all neighbours for rows that they know from before a restore.

        Parameters
        ----------
        table : str

        Returns
        -------
        list of Row
            A key may have several.
        """
        ask = TableAsk(
            table=table, after=-1, wait_ms=0, era=self.eras.era, earlier_eras=True
        )
        asked_at = boottime_clock()
        queries = [
            asyncio.ensure_future(
                self._query(address, copy.copy(ask), timeout=EARLIER_ERAS_TIMEOUT)
            )
            for address in self.readers.neighbour_addresses()
        ]
        if not queries:
            return []
        done, late = await asyncio.wait(queries, timeout=EARLIER_ERAS_TIMEOUT)
        for query in late:
            query.cancel()
        rows = []
        for query in done:
            answer = query.result()
            if is_failure(answer) or not _validate_and_decompress(answer):
                continue
            if answer.era is not None:
                rows += _decode_answer(answer, asked_at, answer.era).rows
        return rows

    async def search(self, table, *, excluded=()):
        """Ask all neighbours at once who reads the platform, and select a host.

        Parameters
        ----------
        table : str
        excluded : container of str, default=()
            IPs of hosts that are not selected unless they read the platform.

        Returns
        -------
        SelectedReader
        """
        asked_at = boottime_clock()
        answers = await asyncio.gather(
            *(
                self._query_state(address, table)
                for address in self.readers.neighbour_addresses()
            )
        )
        candidates = [
            candidate
            for candidate in answers
            if candidate is not None
            and (candidate.reads or candidate.address not in excluded)
        ]
        candidates.append(
            ReaderCandidate(
                address=self.address,
                reads=self._watch.is_current(),
                failed_age=self._failed_age(),
            )
        )
        failed_ages = [
            candidate.failed_age
            for candidate in candidates
            if candidate.failed_age is not None
        ]
        if failed_ages:
            self.failure_seen_at = asked_at - min(failed_ages)
        selected = select_reader(candidates)
        is_own_turn = selected.address == self.address and selected.is_due
        if is_own_turn or not selected.is_retry:
            found = ReaderFound(address=selected.address)
            self.readers.step(found, now=monotonic())
        return selected

    async def _query_state(self, address, table):
        """Return a neighbour as a candidate; None if it does not answer."""
        link = await self._link(address)
        if is_failure(link):
            return None
        ask = TableAsk(table=table, after=LAST_REVISION, wait_ms=0, era=self.eras.era)
        # The link stays open after a timeout: others may wait for answers on it.
        answer = await link.ask(Frame(table_ask=ask), timeout=SEARCH_TIMEOUT)
        if is_failure(answer) or answer.table_news is None:
            return None
        failed_age_ms = answer.table_news.failed_age_ms
        return ReaderCandidate(
            address=address,
            reads=bool(answer.table_news.current),
            failed_age=None if failed_age_ms is None else failed_age_ms / 1000,
        )

    def _failed_age(self):
        """Return the seconds since this host failed to read the platform, or None."""
        age = boottime_clock() - self._watch.failed_at
        if self._watch.is_failing or age < self.readers.avoid_for:
            return age
        return None

    async def _link(self, address):
        """Return the open connection to a neighbour, or a new one, or a Failure."""
        link = self._link_by_address.get(address)
        if link is None:
            link = await self._connect(address)
        return link

    async def _query(self, address, ask, *, timeout):
        link = await self._link(address)
        if is_failure(link):
            return link
        # Neighbours often stall together, and read the platform before they answer.
        answer = await link.ask(
            Frame(table_ask=ask), timeout=timeout, catch_up=ANSWER_TIMEOUT
        )
        if is_failure(answer):
            link.close()
            return answer
        table_update = answer.table_news
        if table_update is None or not table_update.current:
            return NOT_READING.with_reason(
                "the neighbour does not read the platform now"
            )
        return table_update

    async def _connect(self, address):
        link = await connect(
            address,
            self._port,
            on_frame=lambda link, frame: None,
            on_closed=lambda link: self._on_link_closed(address, link),
            timeout=CONNECT_TIMEOUT,
        )
        if not is_failure(link):
            self._link_by_address[address] = link
        return link

    def _on_link_closed(self, address, link):
        if self._link_by_address.get(address) is link:
            del self._link_by_address[address]

    def _on_frame(self, link, frame):
        self._accepted_links.add(link)
        ask = frame.table_ask
        if ask is None and self.on_other_frame is not None:
            self.on_other_frame(link, frame)
        if ask is None or frame.call is None:
            return
        if None in (ask.table, ask.after, ask.wait_ms):
            return
        task = asyncio.get_running_loop().create_task(self._answer(link, frame))
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.change("neighbour_unanswered", error=repr(task.exception()))

    async def _answer(self, link, frame):
        ask = frame.table_ask
        eras = self.eras
        # Neighbours of earlier builds don't name eras.
        eras.learn(ask.era or 0)
        if ask.earlier_eras:
            link.send(Frame(call=-frame.call, table_news=self._earlier_eras(ask)))
            return
        after = None
        if ask.after >= 0:
            after_era = eras.era if ask.after_era is None else ask.after_era
            after = make_revision(after_era, ask.after)
        # The second one is moved to the end of each stall of this process.
        asked_at = takeover_since = boottime_clock()
        hold_until = self._hold_until(ask, asked_at)
        may_be_late = hold_until < asked_at + ask.wait_ms / 1000
        table_update = None
        while self._watch.is_current() or self._may_take_over(takeover_since):
            if self._watch.is_current():
                # A search for the reader asks for no rows.
                is_search = ask.after == LAST_REVISION
                table_update = self._watch.mirror.changes_since(
                    ask.table,
                    after,
                    generation=None if is_search else ask.generation or 0,
                )
            now = boottime_clock()
            # After a stall, an answer of the platform may be about to be read.
            is_after_stall = may_be_late or takeover_since > asked_at
            is_pending = is_after_stall and not self._watch.is_current()
            is_over = now >= hold_until and not is_pending
            if is_over or (table_update is not None and table_update.rows):
                break
            if not link.is_open:
                return
            latest = await self._wait_for_changes(hold_until)
            if boottime_clock() >= latest + LATE_TIMER_DELAY:
                takeover_since = boottime_clock()
        answer = TableNews(current=False)
        if table_update is not None and self._watch.is_current():
            now = boottime_clock()
            answer = TableNews(
                current=True,
                whole=table_update.whole,
                up_to=number_of(table_update.revision),
                era=era_of(table_update.revision),
                generation=table_update.generation,
                copied_until=number_of(table_update.copied_until),
                rows=[
                    self._encode_row_with_age(ask.table, row, now)
                    for row in table_update.rows
                ],
                held_ms=int((now - asked_at) * 1000),
                age_ms=int((now - self._watch.confirmed_at) * 1000) + 1,
            )
        elif (failed_age := self._failed_age()) is not None:
            answer.failed_age_ms = int(failed_age * 1000)
        link.send(Frame(call=-frame.call, table_news=answer))

    def _hold_until(self, ask, asked_at):
        """Return until when a query may wait for changes.

        The neighbour counts from its query on. It would give up if a query that has
        waited during a stall of this process were held for the whole time.
        """
        wait = ask.wait_ms / 1000
        arrived_after = min(asked_at, self._watch.earliest_arrival())
        earliest = min(asked_at + wait, asked_at + MIN_HOLD_AFTER_STALL)
        return max(arrived_after + wait, earliest)

    def _earlier_eras(self, ask):
        """Return the rows that this host knows from before the newest era."""
        now, era = boottime_clock(), self.eras.era
        rows = self._watch.mirror.rows_before_era(ask.table, era)
        return TableNews(
            current=True,
            up_to=0,
            era=era,
            held_ms=0,
            age_ms=0,
            rows=[self._encode_row_with_age(ask.table, row, now) for row in rows],
        )

    async def _wait_for_changes(self, deadline):
        """Wait until there may be changes to answer with.

        It waits for an event: polling every 50 ms, for two tables and each neighbour,
        woke the reader of 20 hosts 800 times per second, with a scan of the table each
        time.

        Returns
        -------
        float
            Time at which the wait ends unless this process stalls, in seconds of
            ``boottime_clock``.
        """
        now = boottime_clock()
        if not self._watch.is_current():
            await asyncio.sleep(POLL_INTERVAL)
            return now + POLL_INTERVAL
        seconds = min(deadline, self._watch.current_until) - now
        seconds = min(max(0.0, seconds), MAX_WAIT)
        await self._watch.wait_for_changes(seconds)
        return now + seconds

    def _may_take_over(self, since):
        """Return whether this host may be about to become the reader.

        When a reader fails, its neighbours query the next host in order before that
        host has detected the failure. If it answered that it does not read the
        platform, each of them would query the next one, and eventually all hosts would
        read the platform.
        """
        if self._watch.is_first_read_pending():
            return True
        if self._failed_age() is not None:
            return False
        return boottime_clock() < since + TAKEOVER_WINDOW

    def _encode_row_with_age(self, table, row, now):
        encoded = copy.copy(self._encode_row(table, row))
        if row.written_at != UNKNOWN_TIME:
            encoded.written_age_ms = int((now - row.written_at) * 1000) + 1
        return encoded

    def _encode_row(self, table, row):
        known = self._encoded_row_by_key.get((table, row.key))
        number, era = number_of(row.revision), era_of(row.revision)
        if known is not None and (known.row_revision, known.era) == (number, era):
            return known
        encoded = TableRow(
            key=row.key,
            row_revision=number,
            era=era,
            data=row.data,
            removed_data=row.removed_data,
        )
        if row.data is not None and len(row.data) >= COMPRESSION_THRESHOLD:
            encoded.data = zlib.compress(row.data, COMPRESSION_LEVEL)
            encoded.compressed = True
            # Ten neighbours request the same row within milliseconds.
            self._encoded_row_by_key[table, row.key] = encoded
        return encoded


def _validate_and_decompress(answer):
    """Return whether an answer is well-formed; decompresses its rows in place.

    An exception here would end the task that follows the table, and this host would
    receive no further changes; a neighbour with a malformed answer is only skipped.
    """
    if None in (answer.up_to, answer.held_ms, answer.age_ms):
        return False
    return all(_decompress_row(row) for row in answer.rows or ())


def _decompress_row(row):
    if row.key is None or row.row_revision is None:
        return False
    if row.data is None or not row.compressed:
        return True
    decompressor = zlib.decompressobj()
    try:
        row.data = decompressor.decompress(row.data, MAX_ROW_BYTES)
    except zlib.error:
        return False
    return decompressor.eof


def _decode_answer(answer, asked_at, era):
    """Decode a neighbour's answer, converting its ages to this host's clock."""
    # The neighbour's state was confirmed `age_ms` before it answered, and it answered
    # no earlier than `held_ms` after the query was sent.
    answered_at = asked_at + answer.held_ms / 1000
    return TableUpdate(
        rows=[_decode_row(row, answered_at, era) for row in answer.rows or ()],
        revision=make_revision(era, answer.up_to),
        whole=bool(answer.whole),
        generation=answer.generation or 0,
        copied_until=(
            None
            if answer.copied_until is None
            else make_revision(era, answer.copied_until)
        ),
        confirmed_at=min(answered_at - answer.age_ms / 1000, boottime_clock()),
    )


def _decode_row(row, answered_at, era):
    written_at = UNKNOWN_TIME
    if row.written_age_ms is not None:
        written_at = answered_at - row.written_age_ms / 1000
    row_era = era if row.era is None else row.era
    return Row(
        key=row.key,
        data=row.data,
        revision=make_revision(row_era, row.row_revision),
        written_at=written_at,
        removed_data=row.removed_data,
    )
