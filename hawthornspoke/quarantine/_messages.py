"""Messages of the machines that tell which requests end endpoints."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointEnded:
    """An endpoint's process ended while requests ran there.

    Parameters
    ----------
    start : str
        Of the endpoint; see ``Evidence``.
    fingerprints : tuple of str
        Of this host's requests there.
    in_use : int
        Endpoints that still run requests of this host.
    """

    start: str
    fingerprints: tuple
    in_use: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class EvidenceHeard:
    """Another process told what it knows.

    Parameters
    ----------
    items : tuple of Evidence
    """

    items: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class Answered:
    """An endpoint ran a request to its end and lives.

    Parameters
    ----------
    fingerprint : str
    """

    fingerprint: str


@dataclass(slots=True, kw_only=True, frozen=True)
class News:
    """What other processes should know.

    Parameters
    ----------
    items : tuple of Evidence
    """

    items: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class Quarantined:
    """A request is not sent to endpoints any more.

    Parameters
    ----------
    fingerprint : str
    starts : tuple of str
        Of the endpoints that ended under it.
    """

    fingerprint: str
    starts: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class Released:
    """A request that was in quarantine is sent again.

    Parameters
    ----------
    fingerprint : str
    """

    fingerprint: str
