"""Base class and registry of the signals that endpoints send."""

import math

from hawthornspoke.base import Failure, Registry

SIGNALS = Registry(kind="endpoint signal")

#: The field has a value that can't be decoded; it is ignored.
INVALID_SIGNAL = Failure(code="invalid_signal")


class Signal:
    """One kind of signal, and what one incarnation of an endpoint has said by it.

    Subclasses define ``HEADER``, ``decode`` and ``observe``, and override the other
    methods as needed. They have no clock and no socket.

    Attributes
    ----------
    HEADER : str
        Field name in the project's own protocol; a dialect can rename it.
    value : object
        What the endpoint has said last, for the log; None if it has said nothing.
    """

    __slots__ = ("value",)
    HEADER = None

    def __init__(self):
        self.value = None

    @classmethod
    def decode(cls, text, *, status):
        """Decode the field of a response.

        Parameters
        ----------
        text : str
            Value of the field without surrounding spaces.
        status : int
            Status of the response.

        Returns
        -------
        object
            Value for ``observe``, None if the field says nothing in such a response,
            or ``INVALID_SIGNAL``.
        """
        raise NotImplementedError

    def observe(self, value, *, now, rng):
        """Record a decoded value.

        Parameters
        ----------
        value : object
        now : float
        rng : random.Random

        Returns
        -------
        bool
            Whether something changed that should be logged.
        """
        raise NotImplementedError

    def observe_absence(self, response, *, now):
        """Record a response without the field; return whether anything changed.

        Parameters
        ----------
        response : SignalsObserved
        now : float

        Returns
        -------
        bool
        """
        return False

    def restricts(self, now):
        """Return whether the signal may forbid requests at this time or later."""
        return False

    def allows_request(self, now):
        """Return whether a request may be sent now."""
        return True

    def next_request_at(self, now):
        """Return the earliest time at which a request may be sent.

        Returns
        -------
        float
            ``math.inf`` if never.
        """
        return now

    def count_request(self, now):
        """Record that a request was sent."""

    def dump(self, *, now):
        """Return the state as plain data, None if there is nothing to tell."""
        return self.value


def decode_number(text):
    """Return a finite number that is not negative, or ``INVALID_SIGNAL``.

    Parameters
    ----------
    text : str

    Returns
    -------
    float or Failure
    """
    try:
        number = float(text)
    except ValueError:
        return INVALID_SIGNAL
    return number if math.isfinite(number) and number >= 0 else INVALID_SIGNAL
