"""Reads one row of a table, with what a write of it has to expect."""

from hawthornspoke import fields
from hawthornspoke.base import is_failure


class StoredRow:
    """A row as it was read.

    Parameters
    ----------
    data : bytes or None
        None if there is no row.
    made_at : float
        Time of the platform's answer, in seconds on its clock.
    revision : int
        Of the row, 0 if there is none.
    """

    __slots__ = ("data", "made_at", "revision")

    def __init__(self, *, data, made_at, revision):
        self.data = data
        self.made_at = made_at
        self.revision = revision


async def read_stored_row(store, table, key):
    """Read a row of a table.

    Parameters
    ----------
    store : object
        See ``DeclarationRecorder``.
    table, key : str

    Returns
    -------
    StoredRow or Failure
    """
    update = await store.read(table, first_key=key, end_key=key + "\0")
    if is_failure(update):
        return update
    if update.made_at is None:
        return fields.UNUSABLE.with_reason("the platform's answer has no time")
    for row in update.rows:
        if row.key == key and row.data is not None:
            return StoredRow(
                data=row.data, made_at=update.made_at, revision=row.revision
            )
    return StoredRow(data=None, made_at=update.made_at, revision=0)
