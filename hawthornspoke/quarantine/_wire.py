"""Encoding and decoding of evidence for the wire."""

from hawthornspoke.protocol import EndEvidence
from hawthornspoke.quarantine._evidence import EVIDENCE_LIFETIME, Evidence

#: Maximum length of a received fingerprint or incarnation id; longer ones are invalid.
MAX_LENGTH = 200


def encode_evidence(items, *, now):
    """Encode evidence.

    Parameters
    ----------
    items : iterable of Evidence
    now : float
        On the monotonic clock; deadlines are sent as remaining time.

    Returns
    -------
    list of EndEvidence
    """
    return [
        EndEvidence(
            fingerprint=item.fingerprint,
            endpoint_start=item.incarnation_id,
            left_ms=int(1000 * (item.deadline - now)),
            cleared=item.cleared,
        )
        for item in items
    ]


def decode_evidence(received, *, now):
    """Decode received evidence, skipping invalid items.

    Parameters
    ----------
    received : list of EndEvidence or None
    now : float

    Returns
    -------
    tuple of Evidence
    """
    return tuple(
        Evidence(
            fingerprint=item.fingerprint,
            incarnation_id=item.endpoint_start,
            deadline=now + min(item.left_ms / 1000, EVIDENCE_LIFETIME),
            cleared=bool(item.cleared),
        )
        for item in received or ()
        if _is_usable(item)
    )


def _is_usable(item):
    names = (item.fingerprint, item.endpoint_start)
    if not all(name and len(name) <= MAX_LENGTH for name in names):
        return False
    return item.left_ms is not None and item.left_ms > 0
