"""Order of a row's versions by their content, which outlives restores of the store."""


class ContentOrder:
    """Decides which of two versions of a row is older, whatever their revisions.

    Parameters
    ----------
    position : callable
        Given the key and the data of a row, returns a tuple that increases from one
        version of the row to the next; None if the row has no such order.
    binds_rewritten : bool, default=True
        Whether a version that is written after a restore may not go back either. False
        for rows whose writers state what they are now and may start again.
    missing_hold : float, default=30.0
        Seconds for which a known row that a restored store lacks is kept unless it is
        written again.
    """

    __slots__ = ("binds_rewritten", "missing_hold", "_position")

    def __init__(self, *, position, binds_rewritten=True, missing_hold=30.0):
        self.binds_rewritten = binds_rewritten
        self.missing_hold = missing_hold
        self._position = position

    def position(self, row):
        """Return the position of a row, for a removed one that of its last data.

        Parameters
        ----------
        row : Row

        Returns
        -------
        tuple or None
        """
        data = row.removed_data if row.data is None else row.data
        return None if data is None else self._position(row.key, data)


#: For tables whose rows have no order of their own: the newer era wins.
NO_ORDER = ContentOrder(position=lambda key, data: None)
