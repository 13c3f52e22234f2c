"""Encoding and decoding of retries that entry hosts report, and of their histories."""

from hawthornspoke.protocol import RetriesUsed, RetryHistory as RetryHistoryMessage
from hawthornspoke.retries._ledger import RetriesReported, RetryHistory

#: Maximum length of a received name of a host or a service, and maximum number of
#: services in a message; messages beyond these are invalid.
MAX_NAME_LENGTH = 200
MAX_SERVICES = 1000

#: Maximum number of seconds in a received history, and of retries or requests in one.
MAX_SECONDS = 100
MAX_COUNT = 100_000

MAX_INT = 2**31 - 1


def encode_use(host, *, count_by_service, requests_by_service):
    """Encode what a host has used; see ``RetriesReported``."""
    return RetriesUsed(
        node=host,
        count_by_service=dict(count_by_service),
        requests_by_service=dict(requests_by_service),
    )


def decode_use(received, *, connection, entry_hosts):
    """Decode what a host has used.

    Parameters
    ----------
    received : RetriesUsed
    connection : object
    entry_hosts : int
        See ``RetriesReported``.

    Returns
    -------
    RetriesReported or None
        None if it is invalid.
    """
    counts = received.count_by_service or {}
    requests = received.requests_by_service or {}
    names = [received.node or "", *counts, *requests]
    if not received.node or not _are_valid_names(names):
        return None
    if any(not 0 <= item <= MAX_INT for item in (*counts.values(), *requests.values())):
        return None
    return RetriesReported(
        host=received.node,
        connection=connection,
        entry_hosts=entry_hosts,
        count_by_service=counts,
        requests_by_service=requests,
    )


def encode_history(history):
    """Encode a RetryHistory."""
    return RetryHistoryMessage(
        covered_ms=min(MAX_INT, int(history.covered * 1000)),
        is_known=history.is_known,
        entry_hosts=history.entry_hosts,
        counts_by_service=history.counts_by_service,
        requests_by_service=history.requests_by_service,
    )


def decode_history(received, *, received_at):
    """Decode a RetryHistory.

    Parameters
    ----------
    received : hawthornspoke.protocol.RetryHistory
    received_at : float

    Returns
    -------
    RetryHistory or None
        None if it is invalid.
    """
    counts = received.counts_by_service or {}
    requests = received.requests_by_service or {}
    if (received.entry_hosts or 0) < 1 or not _are_valid_names([*counts, *requests]):
        return None
    for numbers in (*counts.values(), *requests.values()):
        if len(numbers) > MAX_SECONDS or any(
            not 0 <= item <= MAX_COUNT for item in numbers
        ):
            return None
    return RetryHistory(
        covered=max(0, received.covered_ms or 0) / 1000,
        is_known=bool(received.is_known),
        entry_hosts=received.entry_hosts,
        counts_by_service=counts,
        requests_by_service=requests,
        received_at=received_at,
    )


def _are_valid_names(names):
    return len(names) <= 2 * MAX_SERVICES + 1 and all(
        len(name) <= MAX_NAME_LENGTH for name in names
    )
