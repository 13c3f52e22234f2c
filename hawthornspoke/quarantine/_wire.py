"""Encoding and decoding of evidence and retrials for the wire."""

from hawthornspoke.protocol import EndEvidence, RetrialClaim
from hawthornspoke.quarantine._evidence import EVIDENCE_LIFETIME, Evidence
from hawthornspoke.quarantine._messages import RetrialClaimed
from hawthornspoke.quarantine._retrials import RETRIAL_LIFETIME, Retrial

#: Maximum length of a received fingerprint or incarnation id; longer ones are invalid.
MAX_LENGTH = 200

#: Maximum received number of retrials or clearings; larger ones are invalid.
MAX_COUNT = 1000


def encode_evidence(items, *, now):
    """Encode evidence.

    Parameters
    ----------
    items : iterable of Evidence or Retrial
    now : float
        On the monotonic clock; deadlines are sent as remaining time.

    Returns
    -------
    list of EndEvidence
    """
    return [_encode_item(item, now) for item in items]


def decode_evidence(received, *, now):
    """Decode received evidence, skipping invalid items.

    Parameters
    ----------
    received : list of EndEvidence or None
    now : float

    Returns
    -------
    tuple of Evidence or Retrial
    """
    items = (_decode_item(item, now) for item in received or ())
    return tuple(item for item in items if item is not None)


def encode_claim(known, *, now):
    """Encode a claim for a retrial.

    Parameters
    ----------
    known : Retrial
        What this host knows of earlier ones.
    now : float

    Returns
    -------
    RetrialClaim
    """
    return RetrialClaim(known=_encode_item(known, now))


def decode_claim(received, *, now):
    """Decode a claim; return a RetrialClaimed, None if it is invalid."""
    known = received.known and _decode_retrial(received.known, now, least_left_ms=0)
    return RetrialClaimed(known=known) if known else None


def _encode_item(item, now):
    left_ms = max(0, int(1000 * (item.deadline - now)))
    if isinstance(item, Retrial):
        return EndEvidence(
            fingerprint=item.fingerprint,
            left_ms=left_ms,
            retrials=item.count,
            clearings=item.clearings,
        )
    return EndEvidence(
        fingerprint=item.fingerprint,
        endpoint_start=item.incarnation_id,
        left_ms=left_ms,
        cleared=item.cleared,
    )


def _decode_item(item, now):
    if not item.endpoint_start:
        return _decode_retrial(item, now)
    if not _is_name(item.fingerprint) or not _is_name(item.endpoint_start):
        return None
    if item.left_ms is None or item.left_ms <= 0:
        return None
    return Evidence(
        fingerprint=item.fingerprint,
        incarnation_id=item.endpoint_start,
        deadline=now + min(item.left_ms / 1000, EVIDENCE_LIFETIME),
        cleared=bool(item.cleared),
    )


def _decode_retrial(item, now, *, least_left_ms=1):
    counts = (item.retrials, item.clearings)
    if not _is_name(item.fingerprint) or not all(map(_is_count, counts)):
        return None
    if item.left_ms is None or item.left_ms < least_left_ms:
        return None
    return Retrial(
        fingerprint=item.fingerprint,
        count=item.retrials,
        clearings=item.clearings,
        deadline=now + min(item.left_ms / 1000, RETRIAL_LIFETIME),
    )


def _is_name(value):
    return bool(value) and len(value) <= MAX_LENGTH


def _is_count(value):
    return value is not None and 0 <= value <= MAX_COUNT
