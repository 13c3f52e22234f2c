"""Local copies of the platform's tables."""

from hawthornspoke.base import boottime_clock
from hawthornspoke.mirror._content_order import NO_ORDER
from hawthornspoke.mirror._revision import (
    era_of,
    in_order,
    is_newer,
    is_newer_in_era,
    make_revision,
    newest,
    number_of,
    oldest,
)
from hawthornspoke.mirror._types import Row, TableUpdate

#: Maximum number of tombstones (removed rows) kept for each table, for answers to
#: neighbours. A query for the changes since a revision before the oldest tombstone gets
#: the whole table. A failure domain has some dozen endpoints, so this covers hours.
MAX_TOMBSTONES = 200

#: Seconds after a restore of the store for which a row is not replaced by an older
#: version of it. Whoever wrote the newer one writes it again within seconds.
OUTDATED_HOLD = 30.0

#: Seconds until a row is compared again that a neighbour keeps longer than this host.
REPEATED_HOLD = 1.0


class _Hold:
    """A row that is kept although the restored store may have an older one or none.

    ``compare_at`` is when the whole table has to be read to compare the row again.
    """

    __slots__ = ("since", "compare_at")

    def __init__(self, *, since, compare_at):
        self.since = since
        self.compare_at = compare_at


class _Table:
    """Rows by key, with what is known about the copy that the store was restored from.

    ``copied_until`` is the revision up to which rows of the current era may come from
    the copy, and ``hold_by_key`` has the rows of earlier eras.
    """

    __slots__ = (
        "order",
        "row_by_key",
        "revision",
        "complete_from",
        "copied_until",
        "hold_by_key",
        "generation",
        "is_read",
    )

    def __init__(self, *, order):
        self.order = order
        self.row_by_key = {}
        self.revision = 0
        self.complete_from = 0
        self.copied_until = 0
        self.hold_by_key = {}
        self.generation = 0
        self.is_read = False

    def enter_era(self, table_update):
        """Begin with the first answer, or the first one of an era."""
        self.is_read = True
        # There are no tombstones of rows removed before this revision.
        self.complete_from = newest(self.complete_from, table_update.revision)
        self.copied_until = table_update.revision
        # Whoever wrote a lost row needs the whole time again.
        self.hold_by_key.clear()

    def supersedes(self, row, known):
        """Return whether a row is a newer version than the known one, or the same.

        Within one era revisions decide. Across eras the contents do, if they have an
        order; otherwise the newer era.
        """
        if era_of(row.revision) == era_of(known.revision):
            return not is_newer(known.revision, row.revision)
        is_from_newer_era = is_newer(row.revision, known.revision)
        if is_from_newer_era and row.data is None:
            return True
        position, known_position = self.order.position(row), self.order.position(known)
        if position is None or known_position is None:
            return is_from_newer_era
        if not is_from_newer_era:
            is_removed_since = row.data is None and position == known_position
            return position > known_position or is_removed_since
        if self._is_rewritten(row) and not self.order.binds_rewritten:
            return True
        if known.data is None:
            return position > known_position
        return position >= known_position

    def is_not_later(self, row, known):
        """Return whether a row's content is not newer, so far as it has an order."""
        position, known_position = self.order.position(row), self.order.position(known)
        if position is None or known_position is None:
            return False
        return position <= known_position

    def is_same_version(self, row, known):
        """Return whether a row is the known one, or was only written again."""
        if known.revision == row.revision or row.data == known.data:
            return True
        if known.data is None:
            return False
        position = self.order.position(row)
        return position is not None and position == self.order.position(known)

    def _is_rewritten(self, row):
        """Return whether a row was written after the restore."""
        return is_newer_in_era(row.revision, self.copied_until)

    def live_rows(self):
        """Return the rows that are not tombstones."""
        return [row for row in self.row_by_key.values() if row.data is not None]


class Mirror:
    """Tables as last read by this process, with tombstones of removed rows.

    Parameters
    ----------
    order_by_table : dict of str to ContentOrder, default={}
    clock : callable, default=boottime_clock
    """

    __slots__ = ("order_by_table", "_clock", "_table_by_name")

    def __init__(self, *, order_by_table=None, clock=boottime_clock):
        self.order_by_table = dict(order_by_table or {})
        self._clock = clock
        self._table_by_name = {}

    def update(self, name, table_update):
        """Apply an answer to a table, except for rows older than the known ones.

        Answers may come from different neighbours, and one that was suspended or
        partitioned answers with an old state. Its rows would restore endpoints that are
        gone or have restarted, and requests would be sent to engines without weights.
        The same holds for a store that was restored from a copy.

        Parameters
        ----------
        name : str
        table_update : TableUpdate
            The first one of an era has to be whole.

        Returns
        -------
        TableUpdate
            The accepted part of the answer. If ``table_update`` is whole, this is whole
            as well, with the known rows in place of older ones.
        """
        table = self._table(name)
        is_first_of_era = not table.is_read or (
            era_of(table_update.revision) > era_of(table.revision)
        )
        if is_first_of_era:
            table.enter_era(table_update)
        if table_update.copied_until is not None:
            table.copied_until = oldest(table.copied_until, table_update.copied_until)
        if table_update.whole:
            self._remove_missing(table, table_update)
        newer_rows, outdated_rows = [], []
        for row in table_update.rows:
            is_accepted = self._accept(table, row, table_update.revision)
            (newer_rows if is_accepted else outdated_rows).append(row)
        table.revision = newest(table.revision, table_update.revision)
        accepted_rows = table.live_rows() if table_update.whole else newer_rows
        self._drop_old_tombstones(table)
        return TableUpdate(
            rows=accepted_rows,
            revision=table.revision,
            whole=table_update.whole,
            confirmed_at=table_update.confirmed_at,
            made_at=table_update.made_at,
            known_until=table_update.known_until,
            outage_ended_at=table_update.outage_ended_at,
            outdated_rows=outdated_rows,
        )

    def merge(self, name, rows):
        """Apply rows that another host kept when the store was restored.

        To be called before the first answer of the era is applied.

        Parameters
        ----------
        name : str
        rows : list of Row
        """
        table = self._table(name)
        for row in rows:
            known = table.row_by_key.get(row.key)
            if known is None or table.supersedes(row, known):
                table.row_by_key[row.key] = row

    def _remove_missing(self, table, table_update):
        present_keys = {row.key for row in table_update.rows}
        for key, row in list(table.row_by_key.items()):
            if key in present_keys:
                continue
            if row.data is None:
                table.hold_by_key.pop(key, None)
                continue
            if is_newer(row.revision, table_update.revision):
                continue
            if era_of(row.revision) != era_of(table_update.revision):
                if self._is_held(table, key, table.order.missing_hold):
                    continue
                table.generation += 1
            table.row_by_key[key] = Row(
                key=key,
                data=None,
                revision=table_update.revision,
                removed_data=row.data,
            )

    def _accept(self, table, row, revision):
        """Keep a row if it is newer than the known one; return whether it is."""
        known = table.row_by_key.get(row.key)
        if known is not None:
            if known.revision == row.revision and row.key in table.hold_by_key:
                # From a neighbour that keeps the row as well.
                hold = table.hold_by_key[row.key]
                hold.compare_at = max(hold.compare_at, self._clock() + REPEATED_HOLD)
                return True
            if not table.supersedes(row, known):
                is_copy = is_newer(row.revision, known.revision)
                if not is_copy or self._is_held(table, row.key, OUTDATED_HOLD):
                    return False
                row.is_correction = True
                table.generation += 1
            elif era_of(row.revision) != era_of(known.revision):
                row.is_correction = row.data != known.data
            elif known.data is None and row.data is not None:
                row.is_correction = table.is_not_later(row, known)
            if row.data is None and row.removed_data is None:
                row.removed_data = (
                    known.removed_data if known.data is None else known.data
                )
        table.row_by_key[row.key] = row
        table.hold_by_key.pop(row.key, None)
        if row.data is not None and era_of(row.revision) < era_of(revision):
            # Of a neighbour that keeps it. If that one fails, this host reads on at the
            # store, whose changes don't contain the row.
            self._hold(table, row.key, table.order.missing_hold)
        return True

    def _hold(self, table, key, seconds):
        now = self._clock()
        hold = table.hold_by_key.setdefault(key, _Hold(since=now, compare_at=now))
        hold.compare_at = hold.since + seconds
        return hold

    def _is_held(self, table, key, seconds):
        """Return whether a known row is kept; its time counts from the first call."""
        if self._clock() < self._hold(table, key, seconds).compare_at:
            return True
        del table.hold_by_key[key]
        return False

    def era(self, name):
        """Return the era in which a table was read, None if it was not read yet."""
        table = self._table_by_name.get(name)
        return era_of(table.revision) if table is not None and table.is_read else None

    def has_expired_holds(self, name):
        """Return whether rows were kept for so long that the store's hold now.

        Parameters
        ----------
        name : str

        Returns
        -------
        bool
            Whether the whole table has to be read again.
        """
        table = self._table_by_name.get(name)
        holds = () if table is None else table.hold_by_key.values()
        now = self._clock()
        return any(hold.compare_at <= now for hold in holds)

    def set_write_times(self, name, table_update, write_time_bound):
        """Set lower bounds on the write times of the rows of an answer of the platform.

        A row that is written again keeps its earlier time.

        Parameters
        ----------
        name : str
        table_update : TableUpdate
            Its ``known_until`` has to be set.
        write_time_bound : callable
            Given a revision, returns a lower bound on the time of its transaction.
        """
        table = self._table_by_name.get(name)
        known_by_key = table.row_by_key if table is not None else {}
        for row in table_update.rows:
            known = known_by_key.get(row.key)
            if known is not None and table.is_same_version(row, known):
                row.written_at = known.written_at
            else:
                row.written_at = max(
                    table_update.known_until, write_time_bound(row.revision)
                )

    def changes_since(self, name, after, *, generation=0):
        """Return the changes of a table since a revision.

        Parameters
        ----------
        name : str
        after : int or None
            Revision up to which the table is known; None returns the whole table.
        generation : int or None, default=0
            That of the answer by which it is known; None if it doesn't matter.

        Returns
        -------
        TableUpdate or None
            None if the table has not been read yet, or not in the era of ``after``.
        """
        table = self._table_by_name.get(name)
        if table is None or not table.is_read:
            return None
        if after is not None and era_of(after) > era_of(table.revision):
            return None
        rows = table.row_by_key.values()
        is_whole = (
            after is None
            or is_newer(table.complete_from, after)
            or generation not in (None, table.generation)
        )
        if is_whole:
            rows = table.live_rows()
        else:
            rows = in_order(row for row in rows if is_newer(row.revision, after))
        return TableUpdate(
            rows=rows,
            revision=table.revision,
            whole=is_whole,
            generation=table.generation,
            copied_until=table.copied_until,
        )

    def rows_before_era(self, name, era):
        """Return the rows, removed ones too, that are known from earlier eras.

        Parameters
        ----------
        name : str
        era : int

        Returns
        -------
        list of Row
        """
        table = self._table_by_name.get(name)
        if table is None:
            return []
        first = make_revision(era, 0)
        return [
            row for row in table.row_by_key.values() if is_newer(first, row.revision)
        ]

    def dump(self):
        """Return the state as plain data."""
        return {
            name: {
                "era": era_of(table.revision),
                "revision": number_of(table.revision),
                "held": sorted(table.hold_by_key),
            }
            for name, table in self._table_by_name.items()
        }

    def _table(self, name):
        table = self._table_by_name.get(name)
        if table is None:
            order = self.order_by_table.get(name, NO_ORDER)
            table = self._table_by_name[name] = _Table(order=order)
        return table

    def _drop_old_tombstones(self, table):
        tombstones = in_order(
            row for row in table.row_by_key.values() if row.data is None
        )
        for row in tombstones[:-MAX_TOMBSTONES]:
            del table.row_by_key[row.key]
            table.hold_by_key.pop(row.key, None)
            table.complete_from = newest(table.complete_from, row.revision)
