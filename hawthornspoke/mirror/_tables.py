"""The rows that this process has read."""

from hawthornspoke.mirror._types import News, Row

#: Removed rows that are remembered for each table, so that a neighbour hears of
#: them. One that asks from before the oldest of these gets the whole table; a
#: failure domain has some dozen endpoints, so this is hours of them.
REMOVED_KEPT = 200


class _Table:
    __slots__ = ("row_by_key", "revision", "complete_from")

    def __init__(self):
        self.row_by_key = {}
        self.revision = 0
        self.complete_from = 0

    def is_older(self, row):
        """Tell whether a newer row of the same key is known."""
        known = self.row_by_key.get(row.key)
        return known is not None and row.revision < known.revision

    def live_rows(self):
        """Return the rows that were not removed."""
        return [row for row in self.row_by_key.values() if row.data is not None]


class Mirror:
    """Tables as this process last read them, with what was removed lately."""

    __slots__ = ("_table_by_name",)

    def __init__(self):
        self._table_by_name = {}

    def take(self, name, news):
        """Take what was read of a table, but for rows that are older than the known.

        Neighbours are asked in turn, and one that stood still, or was cut off, tells
        what it knew before. Its older rows would bring an endpoint back that is gone
        or has started again; one would notice requests to engines without weights.

        Parameters
        ----------
        name : str
        news : News

        Returns
        -------
        News
            What of it is to be believed, whole if ``news`` is: then with the known
            rows in place of older ones.
        """
        table = self._table_by_name.get(name)
        if table is None:
            table = self._table_by_name[name] = _Table()
            # What was removed before was never seen here.
            table.complete_from = news.revision
        if news.whole:
            there = {row.key for row in news.rows}
            for key, row in list(table.row_by_key.items()):
                is_removed = key not in there and row.data is not None
                if is_removed and row.revision <= news.revision:
                    table.row_by_key[key] = Row(
                        key=key, data=None, revision=news.revision
                    )
        fresh = [row for row in news.rows if not table.is_older(row)]
        for row in fresh:
            table.row_by_key[row.key] = row
        table.revision = max(table.revision, news.revision)
        taken = table.live_rows() if news.whole else fresh
        self._forget_removed(table)
        return News(
            rows=taken,
            revision=table.revision,
            whole=news.whole,
            confirmed_at=news.confirmed_at,
            made_at=news.made_at,
            known_until=news.known_until,
        )

    def date(self, name, news, written_after):
        """Note from when the rows of an answer of the platform may date.

        Parameters
        ----------
        name : str
        news : News
            ``known_until`` is set.
        written_after : callable
            Returns a moment before which a row of some revision was not written.
        """
        table = self._table_by_name.get(name)
        known_by_key = table.row_by_key if table is not None else {}
        for row in news.rows:
            known = known_by_key.get(row.key)
            if known is not None and known.revision == row.revision:
                row.written_at = known.written_at
            else:
                row.written_at = max(news.known_until, written_after(row.revision))

    def since(self, name, after):
        """Return what changed in a table.

        Parameters
        ----------
        name : str
        after : int or None
            Revision up to which the table is known; None for all of it.

        Returns
        -------
        News or None
            None if the table was not read yet.
        """
        table = self._table_by_name.get(name)
        if table is None:
            return None
        rows = table.row_by_key.values()
        if after is None or after < table.complete_from:
            return News(rows=table.live_rows(), revision=table.revision, whole=True)
        changed = [row for row in rows if row.revision > after]
        changed.sort(key=lambda row: row.revision)
        return News(rows=changed, revision=table.revision)

    def _forget_removed(self, table):
        removed = sorted(
            (row.revision, key)
            for key, row in table.row_by_key.items()
            if row.data is None
        )
        for revision, key in removed[:-REMOVED_KEPT]:
            del table.row_by_key[key]
            table.complete_from = max(table.complete_from, revision)
