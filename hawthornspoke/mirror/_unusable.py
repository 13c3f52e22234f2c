"""Rows that nobody can use: told once, counted, and the others go on."""

from hawthornspoke.base import is_failure, monotonic

#: Kinds of rows, on log lines and the counter.
CONFIGURATION = "configuration"
ENDPOINT = "endpoint"
WEIGHTS = "weights"

#: Characters of a key or a reason on a log line.
LONGEST_SHOWN = 200

#: Lines a minute. Another writer may fill a table in a second; with these lines the
#: log would leave out those of the process's own changes. The counter has all.
LINES_PER_MINUTE = 60
MINUTE = 60.0


class UnusableRows:
    """Tells of rows that can't be used, once for each row and reason.

    The reason stands for the bytes: an endpoint's row is written anew with each of
    its heartbeats, and whole tables are read often, so that a line for each read, or
    for each new byte, would hide all others.

    Parameters
    ----------
    log : EventLog
    metrics : Metrics
    """

    __slots__ = ("_log", "_metrics", "_reason_by_key_by_kind", "_lines", "_ends_at")

    def __init__(self, *, log, metrics):
        self._log = log
        self._metrics = metrics
        self._reason_by_key_by_kind = {}
        self._lines = 0
        self._ends_at = float("-inf")

    def take(self, kind, reason_by_key):
        """Take all rows of a kind that can't be used now.

        Parameters
        ----------
        kind : str
        reason_by_key : dict of str to str
        """
        before = self._reason_by_key_by_kind.get(kind, {})
        self._reason_by_key_by_kind[kind] = dict(reason_by_key)
        for key, reason in reason_by_key.items():
            if before.get(key) != reason:
                self._tell(kind, key, reason)

    def _tell(self, kind, key, reason):
        self._metrics.count("rows_not_understood_total", kind=kind)
        now = monotonic()
        if now >= self._ends_at:
            self._ends_at = now + MINUTE
            self._lines = 0
        self._lines += 1
        if self._lines <= LINES_PER_MINUTE:
            self._log.change(
                "row_not_understood",
                kind=kind,
                key=key[:LONGEST_SHOWN],
                reason=reason[:LONGEST_SHOWN],
            )


def sort_out(rows, decode):
    """Decode rows, each for itself.

    Parameters
    ----------
    rows : iterable of Row
    decode : callable
        Given key and data, returns what the row holds or a Failure.

    Returns
    -------
    item_by_key : dict of str to object
    reason_by_key : dict of str to str
        Of the rows that can't be used; removed ones are in neither.
    """
    item_by_key, reason_by_key = {}, {}
    for row in rows:
        if row.data is None:
            continue
        item = decode(row.key, row.data)
        if is_failure(item):
            reason_by_key[row.key] = item.reason
        else:
            item_by_key[row.key] = item
    return item_by_key, reason_by_key
