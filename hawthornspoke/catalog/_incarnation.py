"""Incarnations, which tell the starts of a restarted endpoint apart."""

from dataclasses import dataclass

#: Smallest start time that doesn't fit the i64 field of messages between hosts.
STARTED_MS_LIMIT = 2**63


@dataclass(slots=True, kw_only=True, frozen=True)
class Incarnation:
    """One start of an endpoint, identified by its start time.

    An endpoint may keep its id when it restarts. Incarnations can be distinguished but
    not ordered, since the wall clock may have been set back between two starts.

    Parameters
    ----------
    started_ms : int or None, default=None
        Start time in Unix milliseconds, None if unknown.
    """

    started_ms: int | None = None

    @classmethod
    def from_value(cls, value):
        """Return the incarnation given by a field of a message.

        Parameters
        ----------
        value : object
            Unix milliseconds. Anything but an integer in range gives an unknown
            incarnation, as an endpoint whose other fields are valid can still be used.

        Returns
        -------
        Incarnation
        """
        is_number = isinstance(value, int) and not isinstance(value, bool)
        if not is_number or not 0 <= value < STARTED_MS_LIMIT:
            return UNKNOWN_START
        return cls(started_ms=value)

    @property
    def is_known(self):
        """Whether the start time is known."""
        return self.started_ms is not None

    def differs_from(self, other):
        """Return whether two incarnations are known to be different.

        Parameters
        ----------
        other : Incarnation

        Returns
        -------
        bool
            False if either is unknown.
        """
        return self.is_known and other.is_known and self != other


#: The incarnation of an endpoint whose start time is not known.
UNKNOWN_START = Incarnation()
