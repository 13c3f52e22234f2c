"""Types of the configuration and the endpoints, created by an adapter."""

from dataclasses import dataclass, field

from hawthornspoke.catalog._incarnation import UNKNOWN_START, Incarnation

#: Kinds of routes. A request may be repeated if the kind is ``IDEMPOTENT``, or if it is
#: ``STREAM`` and the route is resumable.
IDEMPOTENT = "idempotent"
AT_MOST_ONCE = "at_most_once"
STREAM = "stream"

#: Ranks of requests, the most urgent first, and that of a route that states none.
MOST_URGENT_RANK = 0
LEAST_URGENT_RANK = 9
DEFAULT_RANK = 5


#: Lower limit, in seconds, of the time that callers wait for an event of a stream.
MIN_EVENT_TIMEOUT = 2.0


def event_timeout(*, objective, max_event_interval):
    """Return the time that callers of a stream wait for an event before they give up.

    Parameters
    ----------
    objective : float
        Target time to the first event, in seconds.
    max_event_interval : float
        Target time between two events, in seconds.

    Returns
    -------
    float
        Seconds.
    """
    return max(MIN_EVENT_TIMEOUT, 4 * objective, 8 * max_event_interval)


@dataclass(slots=True, kw_only=True, frozen=True)
class Share:
    """Share of a service in the traffic of a route.

    Parameters
    ----------
    service : str
    weight : float
        Relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Routing rule for one host and path prefix.

    Parameters
    ----------
    name : str
    host : str
        Lower case, without port.
    prefix : str
        Path prefix; begins and ends with a slash.
    kind : str
        ``IDEMPOTENT``, ``AT_MOST_ONCE`` or ``STREAM``.
    shares : tuple of Share
    timeout : float
        Maximum duration of a request in seconds.
    objective : float
        Latency target in seconds, for the response or the first event of a stream.
    attempts : int
        Maximum number of endpoints to which one request is sent.
    priority : int
        ``MOST_URGENT_RANK`` to ``LEAST_URGENT_RANK``.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether a stream may continue at another endpoint after its last event.
    event_timeout : float or None
        Seconds that callers wait for the next event of a stream before they give up.
    allowed_regions : frozenset of str or None
        Regions whose endpoints may get the requests; None if all may.
    """

    name: str
    host: str
    prefix: str
    kind: str
    shares: tuple
    timeout: float
    objective: float
    attempts: int
    priority: int
    public: bool = False
    resumable: bool = False
    event_timeout: float | None = None
    allowed_regions: frozenset | None = None

    @property
    def repeatable(self):
        """Whether a request may be executed more than once."""
        return self.kind == IDEMPOTENT or (self.kind == STREAM and self.resumable)


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineProfile:
    """Performance and weight layout of the engines of one service.

    Parameters
    ----------
    model : str
    slots : int
        Maximum number of requests that an engine runs concurrently.
    step : float
        Base duration, in seconds, of a decode step, which produces one token for each
        running request.
    step_per_request : float
        Seconds that each running request adds to a decode step.
    steps_per_prefill : int
        Decode steps between two prefills of waiting prompts.
    prefill_rate : float
        Prefill rate in prompt tokens per second.
    prefill_chunk : int
        Maximum number of prompt tokens between two prefills' decode steps; 0 if prompts
        are processed without a break.
    mean_prompt_tokens, mean_answer_tokens : float
        Mean number of tokens of a prompt and of an answer.
    layers : int
        Number of layers of the model.
    pieces : int
        Number of pieces of the weights.
    piece_bytes : int
        Size of a piece.
    load_time : float
        Seconds that an engine needs to load all layers of staged weights.
    token_capacity : int
        Tokens, of prompts and answers, that an engine holds for all its requests; 0 if
        that is unknown.
    """

    model: str
    slots: int
    step: float
    step_per_request: float
    steps_per_prefill: int
    prefill_rate: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    prefill_chunk: int = 0
    layers: int = 0
    pieces: int = 0
    piece_bytes: int = 0
    load_time: float = 0.0
    token_capacity: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A set of interchangeable endpoints.

    Parameters
    ----------
    name : str
    max_connections : int or None
        Maximum number of connections that one endpoint accepts in total.
    engine : EngineProfile or None
        None for a service without inference engines.
    origin : str or None
        ``IP:PORT`` if this service is the origin, which weights are downloaded from.
    health_path : str or None
        Path of health checks.
    cold_start_time : float
        Seconds for which an endpoint is cold after a start; 0 if it never is.
    cold_rate : float or None
        Requests per second, from all entry hosts together, that a cold endpoint bears;
        None if it bears any number.
    """

    name: str
    max_connections: int | None = None
    engine: EngineProfile | None = None
    origin: str | None = None
    health_path: str | None = None
    cold_start_time: float = 0.0
    cold_rate: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Size and time limits of requests and connections of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's headers and body.
    header_time : float
        Maximum time, in seconds, from the first byte of a request to the end of its
        headers.
    idle_time : float
        Maximum time, in seconds, that a connection may be open without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 3.0
    idle_time: float = 15.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Organisation:
    """The owner of API keys.

    Parameters
    ----------
    name : str
    priority : int or None
        Overrides the priority of the route, unless None.
    allowed_regions : frozenset of str or None
        As for a route, whose restriction applies as well.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset | None = None


def allowed_regions(route, organisation):
    """Return the regions whose endpoints may get a request.

    Parameters
    ----------
    route : Route
    organisation : Organisation or None

    Returns
    -------
    frozenset of str or None
        None if all regions are allowed; empty if the two have no region in common.
    """
    restrictions = [
        item.allowed_regions
        for item in (route, organisation)
        if item is not None and item.allowed_regions is not None
    ]
    return frozenset.intersection(*restrictions) if restrictions else None


def rank_of(route, organisation):
    """Return the rank of a request; an organisation's takes precedence.

    Parameters
    ----------
    route : Route
    organisation : Organisation or None

    Returns
    -------
    int
    """
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


@dataclass(slots=True, kw_only=True, frozen=True)
class Catalog:
    """A complete configuration, as accepted by the platform.

    Parameters
    ----------
    revision : int
    routes : tuple of Route
    service_by_name : dict of str to Service
    requires_key : bool
        Whether requests need an API key, except on public routes. There may be no key
        that is valid.
    organisation_by_key : dict of str to Organisation
        Organisations by API key.
    limits : CallerLimits
    replaced_values : tuple of str
        Descriptions of invalid values in place of which defaults are used.
    """

    revision: int
    routes: tuple
    service_by_name: dict
    requires_key: bool
    organisation_by_key: dict = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    replaced_values: tuple = ()

    def ranks_by_service(self):
        """Return the ranks that requests for each service may have.

        Returns
        -------
        dict of str to frozenset of int
        """
        organisations = set(self.organisation_by_key.values())
        ranks_by_service = {name: set() for name in self.service_by_name}
        for route in self.routes:
            ranks = {route.priority}
            if not route.public:
                ranks |= {
                    item.priority for item in organisations if item.priority is not None
                }
            for share in route.shares:
                ranks_by_service.setdefault(share.service, set()).update(ranks)
        return {name: frozenset(ranks) for name, ranks in ranks_by_service.items()}


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointEntry:
    """An endpoint as listed by the platform; it may have changed since.

    Parameters
    ----------
    endpoint_id : str
        Stays the same when the endpoint restarts.
    service : str
    address : str
        ``IP:PORT``.
    failure_domain : str
    slots : int
    leaving : bool
        Whether the endpoint is draining: it finishes its requests and will accept no
        new ones.
    weights_version : int or None
        Version of the loaded weights, None if there are none.
    layers : tuple of (int, int) or None
        Half-open range of the loaded layers.
    incarnation : Incarnation
        The start of the endpoint that this entry describes.
    cold_left : float
        Seconds for which the endpoint was still cold when the entry was written. It
        counts down in each entry, so entries are equal whatever it is.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    weights_version: int | None = None
    layers: tuple | None = None
    incarnation: Incarnation = UNKNOWN_START
    cold_left: float = field(default=0.0, compare=False)

    @property
    def ip(self):
        """The address without the port."""
        return self.address.rpartition(":")[0]


@dataclass(slots=True, kw_only=True, frozen=True)
class Evacuation:
    """An operator's request that the endpoints of a failure domain get no requests.

    Parameters
    ----------
    failure_domain : str
    """

    failure_domain: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclaredWeights:
    """The version of a model's weights that is to be deployed.

    Parameters
    ----------
    model : str
    version : int
    """

    model: str
    version: int
