"""Messages of the fleet machine."""

from dataclasses import dataclass, field

from hawthornspoke.catalog import UNKNOWN, UNKNOWN_START, Incarnation


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointsListed:
    """The platform's list, whole.

    Parameters
    ----------
    entries : tuple of EndpointEntry
    contact_regained_at : float
        When the platform could be read again after it couldn't; entries that
        vanish just then may only have lapsed.
    """

    entries: tuple
    contact_regained_at: float = float("-inf")


@dataclass(slots=True, kw_only=True, frozen=True)
class CatalogChanged:
    """A newer configuration is in force.

    Parameters
    ----------
    service_by_name : dict of str to Service
    """

    service_by_name: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsDeclared:
    """A version was declared.

    Parameters
    ----------
    declared : DeclaredWeights
    at : float
        A moment before which it was not, on the clock that goes on while the host
        is suspended; ``UNKNOWN`` if there is none.
    known_until : float
        A moment until which this process knew all declarations.
    contact_now : float or None, default=None
        When it was heard of, on the same clock; None if that is the steady one.
    """

    declared: object
    at: float
    known_until: float = UNKNOWN
    contact_now: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsDated:
    """It was found out when versions of a model were declared.

    Parameters
    ----------
    model : str
    moments : tuple of (int, float)
        Versions and moments before which they were not declared, on the clock that
        goes on while the host is suspended.
    """

    model: str
    moments: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineReported:
    """An agent told the state of its engine.

    Parameters
    ----------
    address : str
        Of the endpoint.
    load : int
        Requests running and waiting there.
    weights_version : int or None
    layers : tuple of (int, int) or None
    loading : bool
    pace : float
    next_version : int or None
    next_ready_at : float or None
        When that version is expected to be usable there.
    model : str
    declared : tuple of (int, float)
        Versions and moments before which they were not declared as far as the agent
        was told, on the clock that goes on while the host is suspended.
    link_delay : float
        Seconds that a message there and back waits on the link of its host.
    incarnation : Incarnation
        The start that the word is about.
    contact_now : float or None, default=None
        When it came, on the clock that goes on while the host is suspended; None if
        the two are the same.
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
    incarnation: Incarnation = UNKNOWN_START
    contact_now: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class AgentLost:
    """The connection to an agent ended; its word is not taken any longer."""

    address: str


@dataclass(slots=True, kw_only=True, frozen=True)
class EntryHostsSeen:
    """How many entry hosts there seem to be, this one too.

    Parameters
    ----------
    near : int
        In the own failure domain.
    all : int
    position : int, default=0
        Place of this host among the near ones in the order of their addresses.
    """

    near: int
    all: int
    position: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Sent:
    """A request was sent to an endpoint.

    Parameters
    ----------
    endpoint_id : str
    incarnation : Incarnation
        The start that was chosen for it.
    prompt_tokens : int, default=0
    """

    endpoint_id: str
    incarnation: Incarnation = UNKNOWN_START
    prompt_tokens: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadSeen:
    """A response told the endpoint's load.

    Parameters
    ----------
    endpoint_id : str
    load : int
    incarnation : Incarnation
        The start that was chosen for the request.
    """

    endpoint_id: str
    load: int
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class Finished:
    """A request at an endpoint ended.

    Parameters
    ----------
    endpoint_id : str
    outcome : str
        ``"done"``, ``"failed"`` (an answer that is no success, a broken
        connection), ``"silent"``, ``"unreachable"``, ``"refused"``, ``"moved"``
        (another
        endpoint has the address) or ``"left"`` (the caller left).
    seconds : float or None
        Time of a whole answer.
    incarnation : Incarnation
        The start that was chosen for it.
    """

    endpoint_id: str
    outcome: str
    seconds: float | None = None
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class Ask:
    """Where should this request go?

    Parameters
    ----------
    service : str
    prompt_tokens : int
    on_time_left : float
        Seconds until its answer is late; negative if it is already.
    time_left : float
        Seconds until its deadline.
    returned : bool
        The caller was refused before and has come back.
    tried : frozenset of str
        Ids of endpoints that it was sent to.
    same_version : int or None
        Only endpoints with exactly this version, to go on with a stream.
    contact_now : float or None
        The moment on the clock that goes on while the host is suspended; None if
        both clocks are the same.
    """

    service: str
    prompt_tokens: int = 0
    on_time_left: float = 1.0
    time_left: float = 1.0
    returned: bool = False
    tried: frozenset = field(default_factory=frozenset)
    same_version: int | None = None
    contact_now: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Place:
    """Send it there.

    Parameters
    ----------
    endpoint_id : str
    address : str
    load : int
        What was believed of the endpoint's load.
    report_age : float or None
        Seconds since that load was told.
    expected : float
        Seconds until the first token, or the answer of a plain service.
    weights_version : int or None
        Version that the endpoint is believed to hold.
    begin_deadline : float or None
        When it must have begun, since its weights are too old soon after; None if
        no newer ones are declared.
    incarnation : Incarnation
        The start of the endpoint that was chosen.
    """

    endpoint_id: str
    address: str
    load: int
    report_age: float | None
    expected: float
    weights_version: int | None = None
    begin_deadline: float | None = None
    incarnation: Incarnation = UNKNOWN_START


@dataclass(slots=True, kw_only=True, frozen=True)
class Recheck:
    """Does a place that was chosen a moment ago still hold?

    Parameters
    ----------
    ask : Ask
        As it would be asked now.
    place : Place
    """

    ask: Ask
    place: Place


@dataclass(slots=True, kw_only=True, frozen=True)
class Decline:
    """Nowhere now.

    Parameters
    ----------
    reason : str
        ``"no_endpoint"``, ``"no_weights"`` or ``"full"``.
    retry_after : float
        Seconds after which room is expected.
    """

    reason: str
    retry_after: float
