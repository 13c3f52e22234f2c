"""Encoding and decoding of rate limits, claims and grants for the wire."""

import math

from hawthornspoke.catalog import Incarnation
from hawthornspoke.permits._messages import (
    PermitClaimed,
    PermitsDenied,
    PermitsGranted,
    RateLimitReported,
    RateLimitUpdated,
)
from hawthornspoke.protocol import EndpointRateLimit, PermitClaim, PermitGrant

#: Maximum length of a received endpoint id; longer ones are invalid.
MAX_ID_LENGTH = 200

#: Maximum number of permits in a received claim or grant; larger numbers are reduced.
MAX_PERMITS = 10_000

#: Maximum times in seconds in a received grant; larger ones are reduced.
MAX_DELAY = 60.0


def encode_rate_limit(message):
    """Encode a RateLimitReported, RateLimitUpdated or PermitClaimed as a limit.

    Returns
    -------
    EndpointRateLimit
    """
    return EndpointRateLimit(
        endpoint_id=message.endpoint_id,
        started_ms=message.incarnation.started_ms,
        rate=message.rate,
    )


def encode_report(message, *, now):
    """Encode a report; the time at which it was learned is sent as its age.

    Parameters
    ----------
    message : RateLimitReported
    now : float

    Returns
    -------
    EndpointRateLimit
    """
    limit = encode_rate_limit(message)
    if message.learned_at is not None:
        # Rounded up: what the allocator has learned meanwhile must count as newer.
        limit.age_ms = math.ceil(min(now - message.learned_at, MAX_DELAY) * 1000)
    return limit


def decode_reports(received, *, now):
    """Decode received reports, skipping invalid ones.

    Parameters
    ----------
    received : list of EndpointRateLimit or None
    now : float

    Returns
    -------
    list of RateLimitReported
    """
    return [
        _decode_limit(
            RateLimitReported,
            item,
            learned_at=None if item.age_ms is None else now - _seconds(item.age_ms),
        )
        for item in _valid_limits(received)
    ]


def decode_rate_limits(received):
    """Decode received limits, skipping invalid ones.

    Parameters
    ----------
    received : list of EndpointRateLimit or None

    Returns
    -------
    list of RateLimitUpdated
    """
    return [_decode_limit(RateLimitUpdated, item) for item in _valid_limits(received)]


def encode_claim(message):
    """Encode a PermitClaimed; return a PermitClaim."""
    return PermitClaim(limit=encode_rate_limit(message), wanted=message.wanted)


def decode_claim(received):
    """Decode a claim.

    Parameters
    ----------
    received : PermitClaim

    Returns
    -------
    PermitClaimed or None
        None if it is invalid.
    """
    limits = decode_rate_limits([received.limit] if received.limit else ())
    if not limits or limits[0].rate is None:
        return None
    return PermitClaimed(
        endpoint_id=limits[0].endpoint_id,
        rate=limits[0].rate,
        incarnation=limits[0].incarnation,
        wanted=min(max(1, received.wanted or 1), MAX_PERMITS),
    )


def encode_grant(message, *, now):
    """Encode the answer to a claim; deadlines are sent as remaining time.

    Parameters
    ----------
    message : PermitsGranted or PermitsDenied
    now : float

    Returns
    -------
    PermitGrant
    """
    if isinstance(message, PermitsDenied):
        return PermitGrant(count=0, usable_in_ms=_milliseconds(message.retry_at - now))
    return PermitGrant(
        count=message.count,
        usable_in_ms=_milliseconds(message.usable_at - now),
        left_ms=_milliseconds(message.expires_at - now),
    )


def decode_grant(received, claim, *, claimed_at, now):
    """Decode the answer to a claim.

    It isn't known how long the answer was on its way. So the time until permits may be
    used is counted from its arrival, and the time until they expire from the claim,
    which was made before.

    Parameters
    ----------
    received : PermitGrant or None
    claim : PermitClaimed
    claimed_at : float
        When the claim was sent, in seconds on the clock of ``now``.
    now : float

    Returns
    -------
    PermitsGranted, PermitsDenied or None
        None if the answer is missing or invalid.
    """
    if received is None or received.usable_in_ms is None or received.count is None:
        return None
    delay = _seconds(received.usable_in_ms)
    if received.count <= 0:
        return PermitsDenied(
            endpoint_id=claim.endpoint_id,
            retry_at=now + delay,
            incarnation=claim.incarnation,
        )
    if received.left_ms is None:
        return None
    return PermitsGranted(
        endpoint_id=claim.endpoint_id,
        count=min(received.count, claim.wanted),
        usable_at=now + delay,
        expires_at=claimed_at + _seconds(received.left_ms),
        incarnation=claim.incarnation,
    )


def _decode_limit(message_class, limit, **options):
    return message_class(
        endpoint_id=limit.endpoint_id,
        rate=limit.rate,
        incarnation=Incarnation.from_value(limit.started_ms),
        **options,
    )


def _valid_limits(received):
    return [
        limit
        for limit in received or ()
        if _is_endpoint_id(limit.endpoint_id)
        and (limit.rate is None or _is_rate(limit.rate))
    ]


def _is_endpoint_id(value):
    return bool(value) and len(value) <= MAX_ID_LENGTH


def _is_rate(value):
    return math.isfinite(value) and value >= 0


def _milliseconds(seconds):
    return max(0, int(min(seconds, MAX_DELAY) * 1000))


def _seconds(milliseconds):
    return min(max(0, milliseconds) / 1000, MAX_DELAY)
