"""Rows of the platform's tables, and answers to what changed in one."""

from hawthornspoke.base import Failure
from hawthornspoke.catalog import UNKNOWN

#: The answer if what changed since a revision is no longer known.
HISTORY_GONE = Failure(code="history_gone")

#: The answer of a neighbour that leaves reading to others, or can't read now.
NOT_READING = Failure(code="not_reading")


class Row:
    """One row of a table.

    Parameters
    ----------
    key : str
    data : bytes or None
        None if the row was removed.
    revision : int
        Of the transaction that wrote it.
    written_at : float, default=UNKNOWN
        A moment before which it was not written, on the clock that goes on while a
        host is suspended; ``UNKNOWN`` if there is none.
    """

    __slots__ = ("key", "data", "revision", "written_at")

    def __init__(self, *, key, data, revision, written_at=UNKNOWN):
        self.key = key
        self.data = data
        self.revision = revision
        self.written_at = written_at


class Written:
    """A row was written as asked.

    Parameters
    ----------
    revision : int
        Of the newest transaction, which may be a later one.
    """

    __slots__ = ("revision",)

    def __init__(self, *, revision):
        self.revision = revision


class News:
    """What changed in a table.

    Parameters
    ----------
    rows : list of Row
    revision : int
        Up to which the rows are complete.
    whole : bool, default=False
        Whether these are all rows of the table, not only changed ones.
    confirmed_at : float or None, default=None
        A moment at which this was the platform's newest word, on the clock that goes
        on while a host is suspended; None if the answer itself has to tell.
    made_at : float or None, default=None
        When the platform made the answer, in seconds on its own steady clock; None
        if it did not say.
    known_until : float, default=UNKNOWN
        A moment until which this process knew all of the table before;
        ``UNKNOWN`` if it did not.
    """

    __slots__ = (
        "rows",
        "revision",
        "whole",
        "confirmed_at",
        "made_at",
        "known_until",
    )

    def __init__(
        self,
        *,
        rows,
        revision,
        whole=False,
        confirmed_at=None,
        made_at=None,
        known_until=UNKNOWN,
    ):
        self.rows = rows
        self.revision = revision
        self.whole = whole
        self.confirmed_at = confirmed_at
        self.made_at = made_at
        self.known_until = known_until
