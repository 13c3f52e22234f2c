"""Messages about signals of endpoints."""

from dataclasses import dataclass, field

from hawthornspoke.catalog import UNKNOWN_START, Incarnation


@dataclass(slots=True, kw_only=True, frozen=True)
class SignalsObserved:
    """A response head arrived, with or without signals of the endpoint.

    Parameters
    ----------
    endpoint_id : str
    value_by_signal : dict of str to object
        Decoded values of the signals in the response; ``INVALID_SIGNAL`` for those
        that can't be decoded.
    is_success : bool, default=True
        Whether the response has a 2xx status.
    sent_at : float
        When the request was sent; by default before all else.
    incarnation : Incarnation
        Incarnation selected for the request.
    """

    endpoint_id: str
    value_by_signal: dict = field(default_factory=dict)
    is_success: bool = True
    sent_at: float = float("-inf")
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class SignalChanged:
    """An endpoint said something else than before.

    Parameters
    ----------
    endpoint_id : str
    signal : str
        Name in ``SIGNALS``.
    before, value : object
        Values of the signal; None if the endpoint says nothing.
    incarnation : Incarnation
    """

    endpoint_id: str
    signal: str
    before: object
    value: object
    incarnation: Incarnation = UNKNOWN_START
