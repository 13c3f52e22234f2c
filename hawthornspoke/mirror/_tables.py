"""Local copies of the platform's tables."""

from hawthornspoke.mirror._types import Row, TableUpdate

#: Maximum number of tombstones (removed rows) kept for each table, for answers to
#: neighbours. A query for the changes since a revision before the oldest tombstone gets
#: the whole table. A failure domain has some dozen endpoints, so this covers hours.
MAX_TOMBSTONES = 200


class _Table:
    __slots__ = ("row_by_key", "revision", "complete_from")

    def __init__(self):
        self.row_by_key = {}
        self.revision = 0
        self.complete_from = 0

    def is_older(self, row):
        """Return whether a newer row with the same key is known."""
        known = self.row_by_key.get(row.key)
        return known is not None and row.revision < known.revision

    def live_rows(self):
        """Return the rows that are not tombstones."""
        return [row for row in self.row_by_key.values() if row.data is not None]


class Mirror:
    """Tables as last read by this process, with tombstones of removed rows."""

    __slots__ = ("_table_by_name",)

    def __init__(self):
        self._table_by_name = {}

    def update(self, name, table_update):
        """Apply an answer to a table, except for rows older than the known ones.

        Answers may come from different neighbours, and one that was suspended or
        partitioned answers with an old state. Its rows would restore endpoints that are
        gone or have restarted, and requests would be sent to engines without weights.

        Parameters
        ----------
        name : str
        table_update : TableUpdate

        Returns
        -------
        TableUpdate
            The accepted part of the answer. If ``table_update`` is whole, this is whole
            as well, with the known rows in place of older ones.
        """
        table = self._table_by_name.get(name)
        if table is None:
            table = self._table_by_name[name] = _Table()
            # There are no tombstones of rows removed before this revision.
            table.complete_from = table_update.revision
        if table_update.whole:
            present_keys = {row.key for row in table_update.rows}
            for key, row in list(table.row_by_key.items()):
                is_removed = key not in present_keys and row.data is not None
                if is_removed and row.revision <= table_update.revision:
                    table.row_by_key[key] = Row(
                        key=key, data=None, revision=table_update.revision
                    )
        newer_rows, outdated_rows = [], []
        for row in table_update.rows:
            (outdated_rows if table.is_older(row) else newer_rows).append(row)
        for row in newer_rows:
            table.row_by_key[row.key] = row
        table.revision = max(table.revision, table_update.revision)
        accepted_rows = table.live_rows() if table_update.whole else newer_rows
        self._drop_old_tombstones(table)
        return TableUpdate(
            rows=accepted_rows,
            revision=table.revision,
            whole=table_update.whole,
            confirmed_at=table_update.confirmed_at,
            made_at=table_update.made_at,
            known_until=table_update.known_until,
            outdated_rows=outdated_rows,
        )

    def set_write_times(self, name, table_update, write_time_bound):
        """Set lower bounds on the write times of the rows of an answer of the platform.

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
            if known is not None and known.revision == row.revision:
                row.written_at = known.written_at
            else:
                row.written_at = max(
                    table_update.known_until, write_time_bound(row.revision)
                )

    def changes_since(self, name, after):
        """Return the changes of a table since a revision.

        Parameters
        ----------
        name : str
        after : int or None
            Revision up to which the table is known; None returns the whole table.

        Returns
        -------
        TableUpdate or None
            None if the table has not been read yet.
        """
        table = self._table_by_name.get(name)
        if table is None:
            return None
        rows = table.row_by_key.values()
        if after is None or after < table.complete_from:
            return TableUpdate(
                rows=table.live_rows(), revision=table.revision, whole=True
            )
        changed = [row for row in rows if row.revision > after]
        changed.sort(key=lambda row: row.revision)
        return TableUpdate(rows=changed, revision=table.revision)

    def _drop_old_tombstones(self, table):
        tombstones = sorted(
            (row.revision, key)
            for key, row in table.row_by_key.items()
            if row.data is None
        )
        for revision, key in tombstones[:-MAX_TOMBSTONES]:
            del table.row_by_key[key]
            table.complete_from = max(table.complete_from, revision)
