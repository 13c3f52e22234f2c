"""Rows of the platform's tables, and answers to what changed in one."""

from hawthornspoke.base import Failure

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
    """

    __slots__ = ("key", "data", "revision")

    def __init__(self, *, key, data, revision):
        self.key = key
        self.data = data
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
    """

    __slots__ = ("rows", "revision", "whole", "confirmed_at")

    def __init__(self, *, rows, revision, whole=False, confirmed_at=None):
        self.rows = rows
        self.revision = revision
        self.whole = whole
        self.confirmed_at = confirmed_at
