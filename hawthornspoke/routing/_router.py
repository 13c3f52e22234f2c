"""State machine that routes requests by load, latency and past outcomes."""

import random
from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine
from hawthornspoke.routing._candidates import Candidate
from hawthornspoke.routing._policies import POLICIES

NO_ENDPOINT = Failure(code="no_endpoint")

#: Smoothing factor of an endpoint's time to first byte.
SMOOTHING = 0.3


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadReported:
    """An endpoint's report of its load.

    Parameters
    ----------
    node : str
    running, queued, slots : int
    age : float
        Age of the report in seconds.
    """

    node: str
    running: int
    queued: int
    slots: int
    age: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class RoutingRequest:
    """Asks for an endpoint for a request.

    Parameters
    ----------
    traits : RequestTraits
    endpoints : list of MemberView
        Endpoints that accept requests and have weights that may serve this one.
    failure_domain : str
        Of this entry host.
    excluded : frozenset of str
        Endpoints already tried.
    """

    traits: object
    endpoints: list
    failure_domain: str
    excluded: frozenset = frozenset()


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptEnded:
    """An attempt to run a request at an endpoint ended.

    Parameters
    ----------
    node : str
    failed : bool
        Whether the endpoint failed; rejections due to load or weights don't count.
    first_byte : float or None
        Time to first byte in seconds, None if none was received.
    """

    node: str
    failed: bool
    first_byte: object = None


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointSelected:
    """The selected endpoint; the request counts as in flight from now on."""

    node: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Unroutable:
    """No endpoint can take the request now."""

    failure: object


class _Endpoint:
    __slots__ = (
        "in_flight",
        "reported_load",
        "slots",
        "reported_at",
        "sent_since_report",
        "ended_since_report",
        "latency",
        "failures",
        "ejected_until",
    )

    def __init__(self):
        self.in_flight = 0
        self.reported_load = 0
        self.slots = 1
        self.reported_at = None
        self.sent_since_report = 0
        self.ended_since_report = 0
        self.latency = 0.0
        self.failures = 0
        self.ejected_until = 0.0


@MACHINES.register("router")
class Router(Machine):
    """Selects an endpoint by a policy.

    Parameters
    ----------
    policy : str, default="two_choices"
        Name in the registry of routing policies.
    load_half_life : float, default=2.0
        Seconds after which the part of a reported load that is due to other entry hosts
        counts half; see ``load``.
    base_ejection_time : float, default=1.0
        Seconds for which an endpoint is ejected after ``ejection_threshold``
        consecutive failures; doubled with each further failure.
    max_ejection_time : float, default=30.0
        Upper limit of that time.
    ejection_threshold : int, default=3
        Number of consecutive failures from which an endpoint is ejected.
    seed : int, default=0
        Of the random choices.

    Notes
    -----
    An endpoint that fails fast always looks idle and would attract all traffic.
    Consecutive failures eject it, and it is readmitted with one trial request at a
    time. If all endpoints are ejected, all of them are candidates, since rejecting
    every request is worse.
    """

    __slots__ = (
        "policy",
        "load_half_life",
        "base_ejection_time",
        "max_ejection_time",
        "ejection_threshold",
        "seed",
        "endpoint_by_id",
        "_rng",
        "_chooser",
    )
    PARAMS = {
        "policy": Bounds(kind=str, choices=tuple(POLICIES.names())),
        "load_half_life": Bounds(kind=(int, float), low=0.01),
        "base_ejection_time": Bounds(kind=(int, float), low=0),
        "max_ejection_time": Bounds(kind=(int, float), low=0),
        "ejection_threshold": Bounds(kind=int, low=1),
        "seed": Bounds(kind=int),
    }

    def __init__(
        self,
        *,
        policy="two_choices",
        load_half_life=2.0,
        base_ejection_time=1.0,
        max_ejection_time=30.0,
        ejection_threshold=3,
        seed=0,
    ):
        self.policy = policy
        self.load_half_life = load_half_life
        self.base_ejection_time = base_ejection_time
        self.max_ejection_time = max_ejection_time
        self.ejection_threshold = ejection_threshold
        self.seed = seed
        self.endpoint_by_id = {}
        self._rng = random.Random(seed)
        self._chooser = POLICIES.get(policy)()

    def on_load_reported(self, message, *, now):
        """Record an endpoint's load report.

        Parameters
        ----------
        message : LoadReported
        now : float

        Returns
        -------
        list
            Empty.
        """
        endpoint = self._endpoint(message.node)
        endpoint.reported_load = message.running + message.queued
        endpoint.slots = max(1, message.slots)
        endpoint.reported_at = now - message.age
        # Requests sent or ended from now on aren't reflected in this report.
        endpoint.sent_since_report = 0
        endpoint.ended_since_report = 0
        return []

    def on_routing_request(self, message, *, now):
        """Select an endpoint.

        Parameters
        ----------
        message : RoutingRequest
        now : float

        Returns
        -------
        list of EndpointSelected or Unroutable
        """
        endpoints = [
            view for view in message.endpoints if view.node not in message.excluded
        ]
        if not endpoints:
            failure = NO_ENDPOINT.with_reason(
                self._rejection_reason(message), retry_after=1.0
            )
            return [Unroutable(failure=failure)]
        available = [view for view in endpoints if self._is_available(view.node, now)]
        candidates = [
            self._candidate(view, message.failure_domain, now)
            for view in available or endpoints
        ]
        name = self._chooser.choose(candidates, message.traits, rng=self._rng)
        chosen = self._endpoint(name)
        chosen.in_flight += 1
        chosen.sent_since_report += 1
        return [EndpointSelected(node=name)]

    def on_attempt_ended(self, message, *, now):
        """Record the outcome of an attempt.

        Parameters
        ----------
        message : AttemptEnded
        now : float

        Returns
        -------
        list
            Empty.
        """
        endpoint = self._endpoint(message.node)
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        endpoint.ended_since_report += 1
        if message.failed:
            endpoint.failures += 1
            self._eject(endpoint, now)
            return []
        endpoint.failures = 0
        endpoint.ejected_until = 0.0
        if message.first_byte is not None:
            self._record_latency(endpoint, message.first_byte)
        return []

    def forget(self, node):
        """Remove the state of a node that left, unless it still runs requests.

        Parameters
        ----------
        node : str
        """
        endpoint = self.endpoint_by_id.get(node)
        if endpoint is not None and endpoint.in_flight == 0:
            del self.endpoint_by_id[node]

    def in_use(self):
        """Return the number of endpoints with requests of this host.

        Returns
        -------
        int
        """
        return sum(endpoint.in_flight > 0 for endpoint in self.endpoint_by_id.values())

    def load(self, node, *, now):
        """Estimate the load of an endpoint per slot.

        Parameters
        ----------
        node : str
        now : float

        Returns
        -------
        float
            The reported load, corrected by the requests that this entry host sent and
            completed since. The older the report, the closer the estimate is to this
            host's in-flight requests, which it knows exactly.
        """
        endpoint = self._endpoint(node)
        if endpoint.reported_at is None:
            return endpoint.in_flight / endpoint.slots
        weight = 0.5 ** ((now - endpoint.reported_at) / self.load_half_life)
        corrected_load = (
            endpoint.reported_load
            + endpoint.sent_since_report
            - endpoint.ended_since_report
        )
        own = endpoint.in_flight
        estimate = own + weight * max(0, corrected_load - own)
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
                    "avoided_for": round(max(0.0, endpoint.ejected_until - now), 3),
                }
                for name, endpoint in self.endpoint_by_id.items()
            },
        }

    def _endpoint(self, node):
        endpoint = self.endpoint_by_id.get(node)
        if endpoint is None:
            endpoint = self.endpoint_by_id[node] = _Endpoint()
        return endpoint

    def _is_available(self, node, now):
        endpoint = self._endpoint(node)
        if endpoint.failures < self.ejection_threshold:
            return True
        # After the ejection, one trial request at a time is allowed.
        return now >= endpoint.ejected_until and endpoint.in_flight == 0

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

    def _eject(self, endpoint, now):
        excess_failures = endpoint.failures - self.ejection_threshold
        if excess_failures >= 0:
            ejection_time = min(
                self.max_ejection_time,
                self.base_ejection_time * 2 ** min(excess_failures, 16),
            )
            endpoint.ejected_until = now + ejection_time

    def _record_latency(self, endpoint, first_byte):
        if endpoint.latency == 0.0:
            endpoint.latency = first_byte
        endpoint.latency += SMOOTHING * (first_byte - endpoint.latency)

    def _rejection_reason(self, message):
        if not message.endpoints:
            return f"no endpoint is ready for {message.traits.service}"
        return f"all {len(message.endpoints)} endpoints were tried"
