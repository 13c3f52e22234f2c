"""Rows that can't be decoded: logged once, counted and skipped."""

from hawthornspoke.base import is_failure, monotonic

#: Kinds of rows, in log lines and as a label of the counter.
CONFIGURATION = "configuration"
ENDPOINT = "endpoint"
EVACUATION = "evacuation"
WEIGHTS = "weights"

#: Maximum characters of a key or a reason in a log line.
MAX_LOGGED_LENGTH = 200

#: Maximum log lines per minute. Another client of the platform may fill a table with
#: invalid rows within a second; with a line for each row, the log would drop lines
#: about other events of this process. The counter includes all rows.
LINES_PER_MINUTE = 60
MINUTE = 60.0


class UnusableRows:
    """Logs and counts rows that can't be decoded, once for each row and reason.

    A row is reported again only if the reason changes, not if its data does. The row of
    an endpoint is rewritten with each heartbeat, and whole tables are read often, so a
    log line for each read or each change of the data would hide all other lines.

    Parameters
    ----------
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "_log",
        "_metrics",
        "_reason_by_key_by_kind",
        "_lines_this_minute",
        "_minute_ends_at",
    )

    def __init__(self, *, log, metrics):
        self._log = log
        self._metrics = metrics
        self._reason_by_key_by_kind = {}
        self._lines_this_minute = 0
        self._minute_ends_at = float("-inf")

    def update(self, kind, reason_by_key):
        """Update the unusable rows of a kind, and report the new ones.

        Parameters
        ----------
        kind : str
        reason_by_key : dict of str to str
            All rows of the kind that can't be decoded now.
        """
        previous_reason_by_key = self._reason_by_key_by_kind.get(kind, {})
        self._reason_by_key_by_kind[kind] = dict(reason_by_key)
        for key, reason in reason_by_key.items():
            if previous_reason_by_key.get(key) != reason:
                self._report_row(kind, key, reason)

    def _report_row(self, kind, key, reason):
        self._metrics.count("rows_not_understood_total", kind=kind)
        now = monotonic()
        if now >= self._minute_ends_at:
            self._minute_ends_at = now + MINUTE
            self._lines_this_minute = 0
        self._lines_this_minute += 1
        if self._lines_this_minute <= LINES_PER_MINUTE:
            self._log.change(
                "row_not_understood",
                kind=kind,
                key=key[:MAX_LOGGED_LENGTH],
                reason=reason[:MAX_LOGGED_LENGTH],
            )


def decode_rows(rows, decode):
    """Decode rows independently of each other.

    Parameters
    ----------
    rows : iterable of Row
    decode : callable
        Given key and data, returns the decoded row or a Failure.

    Returns
    -------
    item_by_key : dict of str to object
    reason_by_key : dict of str to str
        Reasons why rows can't be decoded. Removed rows are in neither dictionary.
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
