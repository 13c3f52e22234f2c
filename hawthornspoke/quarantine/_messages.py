"""Messages of the quarantine and evidence exchange state machines."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointEnded:
    """An endpoint's process ended while requests ran there.

    Parameters
    ----------
    incarnation_id : str
        Id of the endpoint's incarnation; see ``Evidence``.
    fingerprints : tuple of str
        Of this host's requests that ran there.
    other_endpoints_in_use : int
        Number of endpoints that still run requests of this host.
    idle_ended : tuple of str
        Incarnations of endpoints without requests of this host that have ended as well,
        if all that were probed have.
    """

    incarnation_id: str
    fingerprints: tuple
    other_endpoints_in_use: int = 0
    idle_ended: tuple = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class EvidenceReceived:
    """Another process sent evidence.

    Parameters
    ----------
    items : tuple of Evidence
    """

    items: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestCompleted:
    """An endpoint completed a request and is still running.

    Parameters
    ----------
    fingerprint : str
    """

    fingerprint: str


@dataclass(slots=True, kw_only=True, frozen=True)
class EvidenceUpdate:
    """New evidence to send to other processes.

    Parameters
    ----------
    items : tuple of Evidence
    """

    items: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class Quarantined:
    """A request was quarantined and is no longer sent to endpoints.

    Parameters
    ----------
    fingerprint : str
    incarnation_ids : tuple of str
        Incarnations of the endpoints that ended while running it.
    """

    fingerprint: str
    incarnation_ids: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class Released:
    """A request was released from quarantine.

    Parameters
    ----------
    fingerprint : str
    """

    fingerprint: str
