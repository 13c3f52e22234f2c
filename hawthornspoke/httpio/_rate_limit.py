"""Decoding of the rate limit that an endpoint names in a response."""

import math


def decode_rate_limit(value):
    """Decode the header field in which an endpoint names its rate limit.

    Parameters
    ----------
    value : str or None
        Decimal number; None if the response lacks the field.

    Returns
    -------
    float or None
        Requests per second, 0.0 or more; None if the field is missing or invalid.
    """
    if value is None:
        return None
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
