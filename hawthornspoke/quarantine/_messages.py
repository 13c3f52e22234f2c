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
        Features of this host's requests that may have crashed it.
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
        Of the whole request.
    shared : tuple of str, default=()
        Its other features, if the answer proves that they crash no endpoint.
    """

    fingerprint: str
    shared: tuple = ()


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
    """Requests with a feature were quarantined and are no longer sent to endpoints.

    Parameters
    ----------
    fingerprint : str
        Of the feature.
    incarnation_ids : tuple of str
        Incarnations of the endpoints that ended while running such requests.
    """

    fingerprint: str
    incarnation_ids: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class Suspected:
    """One of some features crashes endpoints, and nothing tells yet which one.

    Requests with all of them are no longer sent, those with some one at a time.

    Parameters
    ----------
    fingerprints : tuple of str
        Of the features.
    incarnation_ids : tuple of str
        Incarnations of the endpoints that ended while running such requests.
    """

    fingerprints: tuple
    incarnation_ids: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class Released:
    """A feature is no longer suspected or in quarantine.

    Parameters
    ----------
    fingerprint : str
    """

    fingerprint: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Blocked:
    """A request may not be sent.

    Parameters
    ----------
    features : frozenset of str
        Those of its features that are in quarantine.
    deadline : float
        End of the quarantine.
    """

    features: frozenset
    deadline: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Isolated:
    """A request may be sent while no other such request of this host is running.

    Parameters
    ----------
    features : frozenset of str
        Those of its features that are suspected.
    free_at : float
        Time from which it may be sent.
    reason : str, default="turn"
        Why it may be sent: it is this host's turn to tell suspects apart, or a
        quarantined feature is due for a ``retrial``, or for a ``doubtful_retrial``.
    """

    features: frozenset
    free_at: float
    reason: str = "turn"
