"""What is declared and what is there, as an adapter hands it to the product."""

from dataclasses import dataclass, field

from hawthornspoke.catalog._incarnation import UNKNOWN_START, Incarnation

#: Kinds of repetition that a route allows.
IDEMPOTENT = "idempotent"
AT_MOST_ONCE = "at_most_once"
STREAM = "stream"


#: Seconds that callers of streams wait for an event at the least.
LEAST_EVENT_PATIENCE = 2.0


def event_patience(*, objective, pause):
    """Return how long callers of a stream wait for an event before they leave.

    Parameters
    ----------
    objective : float
        Seconds until the first event with which a stream is on time.
    pause : float
        Seconds between two events with which it still is.

    Returns
    -------
    float
        Seconds.
    """
    return max(LEAST_EVENT_PATIENCE, 4 * objective, 8 * pause)


@dataclass(slots=True, kw_only=True, frozen=True)
class Share:
    """One part of a route's traffic.

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
    """How requests of one host and path prefix are served.

    Parameters
    ----------
    name : str
    host : str
        Lower case, without a port.
    prefix : str
        Begins and ends with a slash.
    kind : str
        ``IDEMPOTENT``, ``AT_MOST_ONCE`` or ``STREAM``.
    shares : tuple of Share
    timeout : float
        Seconds that a caller may be kept waiting.
    objective : float
        Seconds within which an answer (a stream's first event) is on time.
    attempts : int
        Endpoints that one request may be sent to.
    priority : int
        0 goes first.
    public : bool
        Whether no key is needed.
    resumable : bool
        Whether a stream may go on at another endpoint after its last event.
    event_patience : float or None
        Seconds that callers wait for a stream's next event before they leave.
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
    event_patience: float | None = None

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or (self.kind == STREAM and self.resumable)


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineProfile:
    """Speed and weights of the engines of one service.

    Parameters
    ----------
    model : str
    slots : int
        Requests that an engine runs at once.
    step : float
        Seconds for one token of every running request.
    step_per_request : float
        Seconds that each running request adds to a step.
    steps_per_pass : int
        Steps between two points at which waiting prompts are read.
    read_rate : float
        Prompt tokens a second.
    usual_prompt, usual_answer : float
        Mean number of tokens.
    layers : int
    pieces : int
    piece_bytes : int
    load_time : float
        Seconds that an engine needs to take up all layers of staged weights.
    """

    model: str
    slots: int
    step: float
    step_per_request: float
    steps_per_pass: int
    read_rate: float
    usual_prompt: float
    usual_answer: float
    layers: int = 0
    pieces: int = 0
    piece_bytes: int = 0
    load_time: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A set of endpoints that answer alike.

    Parameters
    ----------
    name : str
    most_connections : int or None
        That one endpoint accepts from all callers together.
    engine : EngineProfile or None
        None for a plain service.
    origin : str or None
        ``IP:PORT`` if this service is the origin of weights.
    """

    name: str
    most_connections: int | None = None
    engine: EngineProfile | None = None
    origin: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_time : float
        Seconds from a request's first byte to the end of its headers.
    idle_time : float
        Seconds that a connection may be open without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 3.0
    idle_time: float = 15.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Organisation:
    """Whose requests these are.

    Parameters
    ----------
    name : str
    priority : int or None
        Goes before the route's priority, if there is one.
    """

    name: str
    priority: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Catalog:
    """One accepted configuration, whole.

    Parameters
    ----------
    revision : int
    routes : tuple of Route
    service_by_name : dict of str to Service
    organisation_by_key : dict of str to Organisation
        Empty if requests need no key.
    limits : CallerLimits
    """

    revision: int
    routes: tuple
    service_by_name: dict
    organisation_by_key: dict = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointEntry:
    """An endpoint as the platform's list tells it, some time after the fact.

    Parameters
    ----------
    endpoint_id : str
        The endpoint may start again under it.
    service : str
    address : str
        ``IP:PORT``.
    failure_domain : str
    slots : int
    leaving : bool
        It still serves what it has, and takes nothing new soon.
    weights_version : int or None
        Of the weights it holds, None if none.
    layers : tuple of (int, int) or None
        First layer held, and the one after the last.
    incarnation : Incarnation
        The start that all of this is about.
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

    @property
    def ip(self):
        """The address without its port."""
        return self.address.rpartition(":")[0]


@dataclass(slots=True, kw_only=True, frozen=True)
class DeclaredWeights:
    """The version of a model's weights that is to be in place.

    Parameters
    ----------
    model : str
    version : int
    """

    model: str
    version: int
