"""The router: candidates from membership, load and past outcomes."""

import random
from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine
from hawthornspoke.routing._candidates import Candidate
from hawthornspoke.routing._policies import POLICIES

NO_ENDPOINT = Failure(code="no_endpoint")

#: Weight of the newest sample of an endpoint's first-byte time.
SMOOTHING = 0.3


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadHeard:
    """An endpoint's own count of its requests.

    Parameters
    ----------
    node : str
    running, queued, slots : int
    age : float
        Seconds since the endpoint counted.
    """

    node: str
    running: int
    queued: int
    slots: int
    age: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Choose:
    """A request looks for an endpoint.

    Parameters
    ----------
    traits : RequestTraits
    endpoints : list of MemberView
        Those that hold the right weights and take work.
    failure_domain : str
        This entry host's.
    excluded : frozenset of str
        Endpoints already tried.
    """

    traits: object
    endpoints: list
    failure_domain: str
    excluded: frozenset = frozenset()


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """An attempt came to its end.

    Parameters
    ----------
    node : str
    failed : bool
        The endpoint failed; a refusal for load or weights is no failure.
    first_byte : float or None
        Seconds to the first byte, if there was one.
    """

    node: str
    failed: bool
    first_byte: object = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Chosen:
    """Send the request there; it is counted as in flight from now."""

    node: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Unroutable:
    """No endpoint can take the request now."""

    failure: object


class _Endpoint:
    __slots__ = (
        "in_flight",
        "reported",
        "slots",
        "heard_at",
        "sent_since",
        "done_since",
        "latency",
        "failures",
        "avoid_deadline",
    )

    def __init__(self):
        self.in_flight = 0
        self.reported = 0
        self.slots = 1
        self.heard_at = None
        self.sent_since = 0
        self.done_since = 0
        self.latency = 0.0
        self.failures = 0
        self.avoid_deadline = 0.0


@MACHINES.register("router")
class Router(Machine):
    """Chooses an endpoint by a policy.

    Parameters
    ----------
    policy : str, default="two_choices"
        Name in the registry of routing policies.
    load_half_life : float, default=2.0
        Seconds after which a load report counts half.
    avoid_base : float, default=1.0
        Seconds an endpoint is avoided after ``avoid_after`` failures in a row;
        doubled with each further one.
    avoid_limit : float, default=30.0
        Upper limit of that time.
    avoid_after : int, default=3
        Failures in a row.
    seed : int, default=0
        Of the random choices.

    Notes
    -----
    An endpoint that fails fast always looks idle and would draw all traffic to
    itself; failures in a row take it out, and it comes back on one trial
    request at a time. Unless all are out: then all are tried, since refusing
    everything is worse than trying.
    """

    __slots__ = (
        "policy",
        "load_half_life",
        "avoid_base",
        "avoid_limit",
        "avoid_after",
        "seed",
        "by_id",
        "_rng",
        "_chooser",
    )
    PARAMS = {
        "policy": Bounds(kind=str, choices=tuple(POLICIES.names())),
        "load_half_life": Bounds(kind=(int, float), low=0.01),
        "avoid_base": Bounds(kind=(int, float), low=0),
        "avoid_limit": Bounds(kind=(int, float), low=0),
        "avoid_after": Bounds(kind=int, low=1),
        "seed": Bounds(kind=int),
    }

    def __init__(
        self,
        *,
        policy="two_choices",
        load_half_life=2.0,
        avoid_base=1.0,
        avoid_limit=30.0,
        avoid_after=3,
        seed=0,
    ):
        self.policy = policy
        self.load_half_life = load_half_life
        self.avoid_base = avoid_base
        self.avoid_limit = avoid_limit
        self.avoid_after = avoid_after
        self.seed = seed
        self.by_id = {}
        self._rng = random.Random(seed)
        self._chooser = POLICIES.get(policy)()

    def on_load_heard(self, message, *, now):
        """Take an endpoint's load report.

        Parameters
        ----------
        message : LoadHeard
        now : float

        Returns
        -------
        list
            Empty.
        """
        endpoint = self._endpoint(message.node)
        endpoint.reported = message.running + message.queued
        endpoint.slots = max(1, message.slots)
        endpoint.heard_at = now - message.age
        # What was sent since is not in the report; what ended since still is.
        endpoint.sent_since = 0
        endpoint.done_since = 0
        return []

    def on_choose(self, message, *, now):
        """Choose an endpoint.

        Parameters
        ----------
        message : Choose
        now : float

        Returns
        -------
        list of Chosen or Unroutable
        """
        endpoints = [
            view for view in message.endpoints if view.node not in message.excluded
        ]
        if not endpoints:
            failure = NO_ENDPOINT.because(self._why(message), retry_after=1.0)
            return [Unroutable(failure=failure)]
        usable = [view for view in endpoints if self._is_usable(view.node, now)]
        candidates = [
            self._candidate(view, message.failure_domain, now)
            for view in usable or endpoints
        ]
        name = self._chooser.choose(candidates, message.traits, rng=self._rng)
        chosen = self._endpoint(name)
        chosen.in_flight += 1
        chosen.sent_since += 1
        return [Chosen(node=name)]

    def on_outcome(self, message, *, now):
        """Learn from an attempt.

        Parameters
        ----------
        message : Outcome
        now : float

        Returns
        -------
        list
            Empty.
        """
        endpoint = self._endpoint(message.node)
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        endpoint.done_since += 1
        if message.failed:
            endpoint.failures += 1
            self._avoid(endpoint, now)
            return []
        endpoint.failures = 0
        endpoint.avoid_deadline = 0.0
        if message.first_byte is not None:
            self._learn(endpoint, message.first_byte)
        return []

    def forget(self, node):
        """Drop what is known of a node that is gone.

        Parameters
        ----------
        node : str
        """
        endpoint = self.by_id.get(node)
        if endpoint is not None and endpoint.in_flight == 0:
            del self.by_id[node]

    def in_use(self):
        """Return at how many endpoints requests of this host are.

        Returns
        -------
        int
        """
        return sum(endpoint.in_flight > 0 for endpoint in self.by_id.values())

    def load(self, node, *, now):
        """Estimate the requests at an endpoint, per slot.

        Parameters
        ----------
        node : str
        now : float

        Returns
        -------
        float
            The report, corrected by what this entry host sent and got back
            since, fading to its own in-flight count as the report ages.
        """
        endpoint = self._endpoint(node)
        if endpoint.heard_at is None:
            return endpoint.in_flight / endpoint.slots
        trust = 0.5 ** ((now - endpoint.heard_at) / self.load_half_life)
        corrected = endpoint.reported + endpoint.sent_since - endpoint.done_since
        own = endpoint.in_flight
        estimate = own + trust * max(0, corrected - own)
        return estimate / endpoint.slots

    def dump(self, *, now):
        """Return the state as plain data.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict
        """
        return {
            "policy": self.policy,
            "by_id": {
                name: {
                    "in_flight": endpoint.in_flight,
                    "load": round(self.load(name, now=now), 3),
                    "latency": round(endpoint.latency, 4),
                    "failures": endpoint.failures,
                    "avoided_for": round(max(0.0, endpoint.avoid_deadline - now), 3),
                }
                for name, endpoint in self.by_id.items()
            },
        }

    def _endpoint(self, node):
        endpoint = self.by_id.get(node)
        if endpoint is None:
            endpoint = self.by_id[node] = _Endpoint()
        return endpoint

    def _is_usable(self, node, now):
        endpoint = self._endpoint(node)
        if endpoint.failures < self.avoid_after:
            return True
        # After the deadline one trial request at a time.
        return now >= endpoint.avoid_deadline and endpoint.in_flight == 0

    def _candidate(self, view, failure_domain, now):
        endpoint = self._endpoint(view.node)
        return Candidate(
            node=view.node,
            near=view.failure_domain == failure_domain,
            load=self.load(view.node, now=now),
            in_flight=endpoint.in_flight,
            slots=endpoint.slots,
            latency=endpoint.latency,
        )

    def _avoid(self, endpoint, now):
        excess = endpoint.failures - self.avoid_after
        if excess >= 0:
            pause = min(self.avoid_limit, self.avoid_base * 2 ** min(excess, 16))
            endpoint.avoid_deadline = now + pause

    def _learn(self, endpoint, first_byte):
        if endpoint.latency == 0.0:
            endpoint.latency = first_byte
        endpoint.latency += SMOOTHING * (first_byte - endpoint.latency)

    def _why(self, message):
        if not message.endpoints:
            return f"no endpoint is ready for {message.traits.service}"
        return f"all {len(message.endpoints)} endpoints were tried"
