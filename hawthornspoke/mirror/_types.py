"""Rows of the platform's tables, and the results of reading and writing them."""

from hawthornspoke.base import Failure
from hawthornspoke.catalog import UNKNOWN_TIME

#: The changes since the requested revision are no longer available.
HISTORY_GONE = Failure(code="history_gone")

#: The store was restored while a table was read or a row written.
RESTORED = Failure(code="restored")

#: The neighbour does not read the platform, or can't read it now.
NOT_READING = Failure(code="not_reading")


class Row:
    """One row of a table.

    Parameters
    ----------
    key : str
    data : bytes or None
        None if the row was removed.
    revision : int
        Revision of the transaction that wrote it; see ``make_revision``.
    written_at : float, default=UNKNOWN_TIME
        Proven lower bound on the time of writing, in seconds of ``boottime_clock``,
        which continues while a host is suspended; ``UNKNOWN_TIME`` if there is none.
    removed_data : bytes or None, default=None
        Last known data of a removed row.

    Attributes
    ----------
    is_correction : bool
        Whether it replaces a known version although its content is not newer, since a
        restored store has it.
    """

    __slots__ = (
        "key",
        "data",
        "revision",
        "written_at",
        "removed_data",
        "is_correction",
    )

    def __init__(
        self, *, key, data, revision, written_at=UNKNOWN_TIME, removed_data=None
    ):
        self.key = key
        self.data = data
        self.revision = revision
        self.written_at = written_at
        self.removed_data = removed_data
        self.is_correction = False


class RowWritten:
    """Result of a successful write of a row.

    Parameters
    ----------
    revision : int
        Revision of the newest transaction, which may be later than this write.
    """

    __slots__ = ("revision",)

    def __init__(self, *, revision):
        self.revision = revision


class TableUpdate:
    """Answer to a query for a table: the changed rows, or all rows.

    Parameters
    ----------
    rows : list of Row
    revision : int
        Revision up to which the rows are complete.
    whole : bool, default=False
        Whether these are all rows of the table and not only the changed ones.
    confirmed_at : float or None, default=None
        Time at which this was the newest state of the platform, in seconds of
        ``boottime_clock``. None in an answer of the platform, until the host that
        queried it sets the time.
    made_at : float or None, default=None
        When the platform made the answer, in seconds on its own monotonic clock; None
        if the answer does not state it.
    known_until : float, default=UNKNOWN_TIME
        Time up to which this process knew the complete table before this answer, in
        seconds of ``boottime_clock``; ``UNKNOWN_TIME`` if it did not.
    outage_ended_at : float, default=UNKNOWN_TIME
        Assumed lower bound on the write times of rows that this process has missed for
        ``MIN_OUTAGE`` or longer, in seconds of ``boottime_clock``: no host could learn
        of them before if the platform was out of reach for all. Not for neighbours.
    generation : int, default=0
        Of the sender's table; see ``Mirror.generation``.
    copied_until : int or None, default=None
        Revision up to which rows may come from the copy that the store was restored
        from; None if not known.
    outdated_rows : list of Row, default=()
        Rows of the answer that the mirror ignored, as it knows newer ones.
    """

    __slots__ = (
        "rows",
        "revision",
        "whole",
        "confirmed_at",
        "made_at",
        "known_until",
        "outage_ended_at",
        "generation",
        "copied_until",
        "outdated_rows",
    )

    def __init__(
        self,
        *,
        rows,
        revision,
        whole=False,
        confirmed_at=None,
        made_at=None,
        known_until=UNKNOWN_TIME,
        outage_ended_at=UNKNOWN_TIME,
        generation=0,
        copied_until=None,
        outdated_rows=(),
    ):
        self.rows = rows
        self.revision = revision
        self.whole = whole
        self.confirmed_at = confirmed_at
        self.made_at = made_at
        self.known_until = known_until
        self.outage_ended_at = outage_ended_at
        self.generation = generation
        self.copied_until = copied_until
        self.outdated_rows = outdated_rows
