"""Messages of the fleet state machine."""

from dataclasses import dataclass, field

from hawthornspoke.catalog import (
    DEFAULT_RANK,
    UNKNOWN_START,
    UNKNOWN_TIME,
    Incarnation,
)
from hawthornspoke.placing._load_estimate import RequestRates


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointsListed:
    """The platform's complete endpoint list.

    Parameters
    ----------
    entries : tuple of EndpointEntry
    contact_regained_at : float
        When the platform became reachable again; entries that vanish just then may
        only have lapsed, since they couldn't be renewed before.
    """

    entries: tuple
    contact_regained_at: float = float("-inf")


@dataclass(slots=True, kw_only=True, frozen=True)
class CatalogChanged:
    """A newer configuration took effect.

    Parameters
    ----------
    service_by_name : dict of str to Service
    ranks_by_service : dict of str to frozenset of int
        Ranks that requests for each service may have.
    """

    service_by_name: dict
    ranks_by_service: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True, frozen=True)
class EvacuationsChanged:
    """Operators want no requests sent to the endpoints of some failure domains.

    Parameters
    ----------
    failure_domains : frozenset of str
        All failure domains that are evacuated now.
    """

    failure_domains: frozenset


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsDeclared:
    """A weights version was declared.

    Parameters
    ----------
    declared : DeclaredWeights
    at : float
        Earliest possible time of the declaration, on the clock that includes suspended
        time; ``UNKNOWN_TIME`` if there is none.
    known_until : float
        Time until which this process knew all declarations; it may have missed one that
        was made later.
    outage_ended_at : float, default=UNKNOWN_TIME
        End of an outage of the platform within which this process may have missed the
        declaration; ``UNKNOWN_TIME`` if there was none.
    boottime_now : float or None, default=None
        Time of receipt on the same clock; None to use the monotonic clock instead.
    """

    declared: object
    at: float
    known_until: float = UNKNOWN_TIME
    outage_ended_at: float = UNKNOWN_TIME
    boottime_now: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclarationTimesUpdated:
    """The declaration times of versions became known.

    Parameters
    ----------
    model : str
    earliest_times : tuple of (int, float)
        Versions and the earliest possible times of their declarations, on the clock
        that includes suspended time.
    """

    model: str
    earliest_times: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineReported:
    """An agent reported the state of its engine.

    Parameters
    ----------
    address : str
        Of the endpoint.
    load : int
        Running and waiting requests.
    weights_version : int or None
        Version loaded.
    layers : tuple of (int, int) or None
        Range of the model's layers that are loaded, without its end.
    loading : bool
        Whether the engine is loading weights and starts no requests meanwhile.
    pace : float
        Factor by which the engine is slower than usual.
    next_version : int or None
        Version that the engine is going to serve next.
    next_ready_at : float or None
        When ``next_version`` is expected to be loaded and able to serve.
    model : str
    declared : tuple of DeclarationBounds
        Of versions that the agent knows to be declared.
    made_at : float, default=UNKNOWN_TIME
        Lower bound of the time at which the agent made the report, on the clock that
        includes suspended time; ``UNKNOWN_TIME`` if there is none.
    link_delay : float
        Round-trip queueing delay in seconds on the link of its host.
    slowdown : float or None
        Factor by which other work on its host slows it down at the moment; None if the
        agent doesn't know.
    incarnation : Incarnation
        Incarnation (process run) of the endpoint that the report describes.
    request_rates : RequestRates or None, default=None
        Sums that the agent knows: requests of the entry hosts in its failure domain,
        and overflow of all entry hosts.
    boottime_now : float or None, default=None
        Time of receipt on the clock that includes suspended time; None if it is the
        same as the monotonic clock.
    """

    address: str
    load: int
    weights_version: int | None
    layers: tuple | None
    loading: bool = False
    pace: float = 1.0
    next_version: int | None = None
    next_ready_at: float | None = None
    model: str = ""
    declared: tuple = ()
    link_delay: float = 0.0
    slowdown: float | None = None
    incarnation: Incarnation = UNKNOWN_START
    request_rates: RequestRates | None = None
    made_at: float = UNKNOWN_TIME
    boottime_now: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class AgentLost:
    """The connection to an agent was lost; its report is no longer used."""

    address: str


@dataclass(slots=True, kw_only=True, frozen=True)
class EntryHostsUpdated:
    """The number of entry hosts changed.

    Parameters
    ----------
    near : int
        Entry hosts in the own failure domain, including this one.
    all : int
        Entry hosts in all failure domains.
    position : int, default=0
        Position of this host among the near ones, ordered by address; it determines
        which engines this host prefers.
    near_is_reported, all_is_reported : bool, default=True
        Whether agents have reported the count; otherwise it is an assumption.
    is_view_whole : bool, default=True
        Whether agents in all failure domains are connected.
    """

    near: int
    all: int
    position: int = 0
    near_is_reported: bool = True
    all_is_reported: bool = True
    is_view_whole: bool = True


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestSent:
    """A request was sent to an endpoint.

    Parameters
    ----------
    endpoint_id : str
    incarnation : Incarnation
        Incarnation selected for the request.
    prompt_tokens, answer_tokens : int, default=0
    """

    endpoint_id: str
    incarnation: Incarnation = UNKNOWN_START
    prompt_tokens: int = 0
    answer_tokens: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointSilent:
    """A request to an endpoint has made no progress for too long, and goes on.

    Parameters
    ----------
    endpoint_id : str
    incarnation : Incarnation
        Incarnation selected for the request.
    """

    endpoint_id: str
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointResponded:
    """Response data arrived from an endpoint that was suspected.

    Parameters
    ----------
    endpoint_id : str
    incarnation : Incarnation
        Incarnation selected for the request.
    """

    endpoint_id: str
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestFinished:
    """A request to an endpoint ended.

    Parameters
    ----------
    endpoint_id : str
    outcome : str
        ``"done"``, ``"failed"`` (an error response or a broken connection),
        ``"oversized"`` (a response beyond its limit),
        ``"silent"`` (abandoned in favour of another attempt), ``"unreachable"``,
        ``"refused"``, ``"moved"`` (another endpoint has the address) or ``"left"`` (the
        caller disconnected).
    seconds : float or None
        Duration of a complete response.
    incarnation : Incarnation
        Incarnation selected for the request.
    tokens : int, default=0
        Of its prompt and answer, as counted when it was sent.
    """

    endpoint_id: str
    outcome: str
    seconds: float | None = None
    incarnation: Incarnation = UNKNOWN_START
    tokens: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointEjected:
    """An endpoint gets no requests of this host for a while.

    Parameters
    ----------
    endpoint_id : str
    reason : str
        ``"refused_with_room"``, ``"failed"``, ``"oversized"``, ``"silent"`` or
        ``"unreachable"``.
    seconds : float
        Duration of the ejection. If the reason is silence, the ejection ends with the
        next response data, and this is the time until a trial request.
    load : int
        Requests assumed to be at the endpoint.
    """

    endpoint_id: str
    reason: str
    seconds: float
    load: int


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointReadmitted:
    """An endpoint that was ejected for silence gets requests again.

    Parameters
    ----------
    endpoint_id : str
    seconds : float
        Since it was ejected.
    """

    endpoint_id: str
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementRequest:
    """Asks for an endpoint for a request.

    Parameters
    ----------
    service : str
    prompt_tokens : int
    time_until_late : float
        Seconds until the response is late; negative if it already is.
    time_left : float
        Seconds until the deadline.
    is_retry : bool
        Whether the request was tried before, by its caller or by this host.
    tried : frozenset of str
        Ids of endpoints that the request was sent to.
    required_version : int or None
        Restricts the selection to endpoints with this version, to resume a stream.
    rank : int, default=DEFAULT_RANK
        0 is the most urgent.
    organisation : str, default=""
        Name of the caller's organisation.
    answer_tokens : int, default=0
        Maximum number of tokens of the answer.
    allowed_regions : frozenset of str or None, default=None
        Restricts the selection to endpoints in these regions.
    is_hedge : bool, default=False
        Whether an attempt of the request is under way, so that nothing is lost without
        this one. It only takes a free slot of an endpoint that isn't avoided.
    boottime_now : float or None
        Current time on the clock that includes suspended time; None if it is the same
        as the monotonic clock.
    """

    service: str
    prompt_tokens: int = 0
    time_until_late: float = 1.0
    time_left: float = 1.0
    is_retry: bool = False
    tried: frozenset = field(default_factory=frozenset)
    required_version: int | None = None
    rank: int = DEFAULT_RANK
    organisation: str = ""
    answer_tokens: int = 0
    allowed_regions: frozenset | None = None
    is_hedge: bool = False
    boottime_now: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Placement:
    """The endpoint selected for a request.

    Parameters
    ----------
    endpoint_id : str
    address : str
    load : int
        Number of requests assumed to be at the endpoint.
    report_age : float or None
        Age of the load report in seconds.
    expected : float
        Expected seconds until the first token, or until the response of an endpoint
        without an engine.
    weights_version : int or None
        Version that the endpoint is assumed to have.
    start_deadline : float or None
        Time on the monotonic clock by which the request must have started, since the
        weights expire soon after; None if no newer version is declared.
    incarnation : Incarnation
        Incarnation of the selected endpoint.
    rate_limit : float or None
        Requests per second that the endpoint accepts from all entry hosts together.
    permit_deadline : float or None
        Time on the monotonic clock by which the request must be sent, since its permit
        expires then; None if it has no permit.
    cold_slot_deadline : float or None
        Time on the monotonic clock by which the request must be sent to an endpoint
        that is cold; None if it isn't.
    is_shifted : bool
        Whether engines of the own failure domain could have served the request on time
        and it goes to a less loaded one elsewhere.
    """

    endpoint_id: str
    address: str
    load: int
    report_age: float | None
    expected: float
    weights_version: int | None = None
    start_deadline: float | None = None
    incarnation: Incarnation = UNKNOWN_START
    rate_limit: float | None = None
    permit_deadline: float | None = None
    cold_slot_deadline: float | None = None
    is_shifted: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementRecheck:
    """Asks whether an endpoint selected a moment ago is still eligible.

    Parameters
    ----------
    placement_request : PlacementRequest
        The request with the remaining times as of now.
    selected : Placement
    """

    placement_request: PlacementRequest
    selected: Placement


@dataclass(slots=True, kw_only=True, frozen=True)
class Rejection:
    """No endpoint can serve the request now.

    Parameters
    ----------
    reason : str
        ``"no_endpoint"``, ``"no_weights"``, ``"full"``, ``"rate_limited"``, ``"cold"``,
        ``"reserved"``, ``"silent"``, the name of a constraint that leaves no endpoint,
        or of a signal of the endpoint that forbids requests.
    retry_after : float
        Seconds after which capacity is expected.
    awaited_permits : tuple of str
        Ids of endpoints that could serve the request if this host had permits for them.
    scarcity : float or None, default=None
        How scarce engines were, from 0 to 1; None if the request competed with no other
        ranks.
    step : float or None, default=None
        Urgency of the request among them, 0 for the most urgent rank.
    """

    reason: str
    retry_after: float
    awaited_permits: tuple = ()
    scarcity: float | None = None
    step: float | None = None
