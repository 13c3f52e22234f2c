"""Which start of an endpoint a word is about."""

from dataclasses import dataclass

#: The first number that doesn't fit the messages between hosts.
TOO_LARGE = 2**63


@dataclass(slots=True, kw_only=True, frozen=True)
class Incarnation:
    """One start of an endpoint; its id may be that of an earlier one.

    Two of them can be told apart, but not put in order: the clock that told the
    time of the later start may have been put back in between.

    Parameters
    ----------
    started_ms : int or None, default=None
        Unix milliseconds of the start, None if nobody told.
    """

    started_ms: int | None = None

    @classmethod
    def told(cls, value):
        """Return the start that a message tells.

        Parameters
        ----------
        value : object
            Unix milliseconds. Anything but a whole number is an unknown start: an
            endpoint of which only this is wrong can be used all the same.

        Returns
        -------
        Incarnation
        """
        is_number = isinstance(value, int) and not isinstance(value, bool)
        if not is_number or not 0 <= value < TOO_LARGE:
            return UNKNOWN_START
        return cls(started_ms=value)

    @property
    def is_known(self):
        """Whether anybody told it."""
        return self.started_ms is not None

    def differs_from(self, other):
        """Tell whether two words are about different starts for sure.

        Parameters
        ----------
        other : Incarnation

        Returns
        -------
        bool
            False if one of them is unknown: then nothing tells of another start.
        """
        return self.is_known and other.is_known and self != other


#: Nobody told which start it is.
UNKNOWN_START = Incarnation()
