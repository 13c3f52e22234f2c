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
    ended_at : float or None, default=None
        When it ended, on the monotonic clock; None for now.
    """

    incarnation_id: str
    fingerprints: tuple
    other_endpoints_in_use: int = 0
    idle_ended: tuple = ()
    ended_at: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class EvidenceReceived:
    """Another process sent evidence.

    Parameters
    ----------
    items : tuple of Evidence or Retrial
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
class StreamContinued:
    """An endpoint sends events of a stream beyond its beginning.

    Parameters
    ----------
    shared : tuple of str
        Features that the request shares with others, which crash endpoints as they
        begin to answer.
    """

    shared: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class EvidenceUpdate:
    """New evidence to send to other processes.

    Parameters
    ----------
    items : tuple of Evidence or Retrial
    """

    items: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class RetrialClaimed:
    """An entry host wants to send a request with a suspected or quarantined feature.

    Parameters
    ----------
    known : Retrial
        What this host knows of earlier ones.
    """

    known: object


@dataclass(slots=True, kw_only=True, frozen=True)
class RetrialGranted:
    """One request with a suspected or quarantined feature may be sent.

    Parameters
    ----------
    fingerprint : str
    expires_at : float
        On the monotonic clock.
    """

    fingerprint: str
    expires_at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RetrialDenied:
    """Another host may send one, or has sent one that the claim didn't know of.

    Parameters
    ----------
    fingerprint : str
    """

    fingerprint: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Confirmed:
    """A feature in quarantine has so many ends that it is certain to cause them.

    Parameters
    ----------
    fingerprint : str
    """

    fingerprint: str


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
    is_due : bool, default=False
        Whether a request with these features is due to test them, and none is granted
        to this host.
    """

    features: frozenset
    deadline: float
    is_due: bool = False


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
        Why it may be sent: it is this host's turn to tell suspects apart, or an agent
        has granted it one (``granted_turn``), or a quarantined feature is due for a
        ``retrial``, or for a ``doubtful_retrial``.
    is_due : bool, default=False
        Whether it may be sent before ``free_at`` if an agent grants this host a turn.
    """

    features: frozenset
    free_at: float
    reason: str = "turn"
    is_due: bool = False
