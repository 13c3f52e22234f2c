"""Order of a row's versions by their content, which outlives restores of the store."""

from hawthornspoke import fields

#: Seconds for which an endpoint is kept that a restored store lacks. Endpoints are back
#: within two seconds if they run.
MISSING_ENDPOINT_HOLD = 2.0


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


def endpoints_order(position):
    """Return the order of a table of endpoints.

    Parameters
    ----------
    position : callable
        See ``ContentOrder``.

    Returns
    -------
    ContentOrder
    """
    return ContentOrder(
        position=position,
        binds_rewritten=False,
        missing_hold=MISSING_ENDPOINT_HOLD,
    )


def position_by_fields(*names, final=None):
    """Return a function that takes a row's position from its JSON data.

    Parameters
    ----------
    *names : str
        Fields with numbers, the most significant first. A missing one counts as 0; a
        row without any of them has no order.
    final : (str, str) or None, default=None
        Field, and the last value that it takes.

    Returns
    -------
    callable
        Given the key and the data of a row, returns a tuple or None.
    """

    def position(key, data):
        try:
            tree = fields.parse_object(data)
        except fields.FieldError:
            return None
        if not any(name in tree for name in names):
            return None
        numbers = [tree.get(name, 0) for name in names]
        if not all(fields.is_number(number) for number in numbers):
            return None
        return (*numbers, final is not None and tree.get(final[0]) == final[1])

    return position


#: For tables whose rows have no order of their own: the newer era wins.
NO_ORDER = ContentOrder(position=lambda key, data: None)
