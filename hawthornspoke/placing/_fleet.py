"""State machine that selects an endpoint for each request, or rejects the request."""

import math
import random
from dataclasses import replace

from hawthornspoke.base import MACHINES, Bounds, Machine, is_failure
from hawthornspoke.catalog import EXPIRY_MARGIN, DeclaredVersions
from hawthornspoke.permits import (
    PermitsDenied,
    PermitsGranted,
    RateLimitUpdated,
)
from hawthornspoke.placing._avoidance import count_outcome, without_ejected
from hawthornspoke.placing._choice import EndpointSelector
from hawthornspoke.placing._directory import EndpointDirectory
from hawthornspoke.placing._messages import (
    AgentLost,
    CatalogChanged,
    DeclarationTimesUpdated,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    Placement,
    PlacementRecheck,
    PlacementRequest,
    Rejection,
    RequestFinished,
    RequestSent,
    WeightsDeclared,
)
from hawthornspoke.placing._permits import (
    MAX_CLAIM_DELAY,
    PermitTracker,
    recheck_permit,
    with_permit,
)
from hawthornspoke.placing._predict import prefill_time
from hawthornspoke.placing._rejection import RejectionBuilder
from hawthornspoke.placing._weights_eligibility import WeightsEligibility
from hawthornspoke.signals import LEAVING, LOAD, RATE_LIMIT, SignalsObserved

#: Messages that the machine handles.
MESSAGES = (
    AgentLost,
    PlacementRequest,
    CatalogChanged,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    RequestFinished,
    PermitsDenied,
    PermitsGranted,
    PlacementRecheck,
    RateLimitUpdated,
    RequestSent,
    SignalsObserved,
    DeclarationTimesUpdated,
    WeightsDeclared,
)


@MACHINES.register("fleet")
class Fleet(Machine):
    """Tracks the endpoints and selects one for each request.

    Parameters
    ----------
    failure_domain : str, default=""
        Of this host. Endpoints there are preferred, since traffic between failure
        domains is slow and expensive.
    version_bound : float, default=8.0
        Seconds after the declaration of a version from which requests may only be
        started on this or a newer version.
    version_margin : float, default=0.95
        Seconds before that time from which newer versions are preferred.
    seed : int, default=0
    """

    __slots__ = (
        "failure_domain",
        "version_bound",
        "version_margin",
        "seed",
        "service_by_name",
        "declared",
        "_directory",
        "_random",
        "_rejections",
        "_permit_tracker",
        "_selector",
        "_position",
    )
    PARAMS = {
        "failure_domain": Bounds(kind=str),
        "version_bound": Bounds(kind=(int, float), low=0),
        "version_margin": Bounds(kind=(int, float), low=0),
        "seed": Bounds(kind=int),
    }

    def __init__(
        self,
        *,
        failure_domain="",
        version_bound=8.0,
        version_margin=EXPIRY_MARGIN,
        seed=0,
    ):
        self.failure_domain = failure_domain
        self.version_bound = version_bound
        self.version_margin = version_margin
        self.seed = seed
        self.service_by_name = {}
        self.declared = DeclaredVersions()
        self._directory = EndpointDirectory()
        self._random = random.Random(seed)
        self._rejections = RejectionBuilder(rng=self._random)
        self._permit_tracker = PermitTracker()
        self._selector = EndpointSelector(
            failure_domain=failure_domain,
            host=str(seed),
            rejections=self._rejections,
            rng=self._random,
        )
        self._position = 0

    @property
    def endpoint_by_id(self):
        """The known endpoints by id."""
        return self._directory.endpoint_by_id

    def on_catalog_changed(self, message, *, now):
        """Replace the services with those of a newer configuration."""
        self.service_by_name = message.service_by_name
        self._update_subsets(now)
        return []

    def on_endpoints_listed(self, message, *, now):
        """Update the endpoints from the platform's list."""
        self._directory.update_from_list(message, now)
        self._update_subsets(now)
        return []

    def on_weights_declared(self, message, *, now):
        """Record a declared version."""
        self.declared.add(
            message.declared,
            at=message.at,
            known_until=message.known_until,
            report_received_at=_boottime_received_at(message, now),
        )
        return []

    def on_declaration_times_updated(self, message, *, now):
        """Record the earliest possible times of declarations."""
        for version, at in message.earliest_times:
            self.declared.add_lower_bound(message.model, version, at=at)
        return []

    def on_engine_reported(self, message, *, now):
        """Update an endpoint and the declared versions from an agent's report."""
        endpoint = self._directory.at(message.address)
        if endpoint is not None:
            if endpoint.matches(message.incarnation):
                self._estimate_remote_prompts(endpoint, message.load, now)
            endpoint.update_state(message, now)
        report_received_at = _boottime_received_at(message, now)
        for version, at in message.declared:
            self.declared.add_lower_bound(
                message.model, version, at=at, report_received_at=report_received_at
            )
        return []

    def on_agent_lost(self, message, *, now):
        """Fall back to the endpoint list for an endpoint whose agent was lost."""
        self._directory.clear_agent_state(message.address)
        return []

    def on_entry_hosts_updated(self, message, *, now):
        """Set the entry host counts and this host's position; update the subsets."""
        near = max(1, message.near)
        self._selector.entry_hosts = (near, max(near, message.all))
        self._position = message.position
        self._update_subsets(now)
        return []

    def on_request_sent(self, message, *, now):
        """Record a request that was sent."""
        endpoint = self._directory.request_target(message)
        if endpoint is not None:
            endpoint.own_in_flight += 1
            endpoint.sent_since_report += 1
            for signal in endpoint.restrictions:
                signal.count_request(now)
            engine = self._engine_profile(endpoint)
            if engine is not None:
                seconds = prefill_time(endpoint, engine, message.prompt_tokens)
                endpoint.prefill_backlog.add(seconds, now)
        return []

    def on_signals_observed(self, message, *, now):
        """Update an endpoint from what a response says of it.

        Returns
        -------
        list of SignalChanged
        """
        endpoint = self._directory.request_target(message)
        if endpoint is None:
            return []
        load = message.value_by_signal.get(LOAD)
        if load is not None and not is_failure(load):
            self._estimate_remote_prompts(endpoint, load, now)
            endpoint.record_load(load, now)
        changes = endpoint.observe_signals(message, now=now, rng=self._random)
        if any(changed.signal == LEAVING for changed in changes):
            self._update_subsets(now)
        return changes

    def on_rate_limit_updated(self, message, *, now):
        """Update an endpoint's rate limit from what another entry host has learned.

        Returns
        -------
        list of SignalChanged
        """
        endpoint = self.endpoint_by_id.get(message.endpoint_id)
        if endpoint is None or not endpoint.matches(message.incarnation):
            return []
        before = endpoint.rate_limit.rate
        if not endpoint.rate_limit.set_rate(message.rate, now=now):
            return []
        return [endpoint.signal_change(RATE_LIMIT, before=before)]

    def on_permits_granted(self, message, *, now):
        """Record permits for requests to an endpoint."""
        endpoint = self.endpoint_by_id.get(message.endpoint_id)
        if endpoint is not None and endpoint.matches(message.incarnation):
            endpoint.rate_limit.add_permits(
                message.count,
                usable_at=message.usable_at,
                expires_at=message.expires_at,
            )
        return []

    def on_permits_denied(self, message, *, now):
        """Record that no permits for an endpoint are to be had yet."""
        endpoint = self.endpoint_by_id.get(message.endpoint_id)
        if endpoint is not None and endpoint.matches(message.incarnation):
            latest = now + MAX_CLAIM_DELAY
            endpoint.rate_limit.defer_claim(min(message.retry_at, latest))
        return []

    def on_request_finished(self, message, *, now):
        """Record the outcome of a request."""
        endpoint = self._directory.request_target(message)
        if endpoint is None:
            return []
        if message.outcome != "unreachable":
            endpoint.record_end()
        if message.outcome == "moved":
            # Another endpoint has the address; its own entry will be listed soon.
            endpoint.moved = True
        if message.outcome not in ("left", "moved"):
            count_outcome(endpoint, message, now)
        return []

    def on_placement_request(self, message, *, now):
        """Select an endpoint, or report why there is none.

        Parameters
        ----------
        message : PlacementRequest
        now : float

        Returns
        -------
        list of Placement or Rejection
        """
        service = self.service_by_name.get(message.service)
        known = [
            endpoint
            for endpoint in self._directory.of_service(message.service)
            if endpoint.accepts(now) and endpoint.entry.endpoint_id not in message.tried
        ]
        if service is None or not known:
            return [self._no_endpoint(message, now)]
        known = without_ejected(
            known,
            failure_domain=self.failure_domain,
            subset=self._selector.subset(message.service),
            now=now,
        )
        return [self._select_within_limits(message, service.engine, known, now)]

    def on_placement_recheck(self, message, *, now):
        """Check a selected endpoint again just before the request is sent.

        Parameters
        ----------
        message : PlacementRecheck
        now : float

        Returns
        -------
        list of Placement or Rejection
        """
        request, placement = message.placement_request, message.selected
        service = self.service_by_name.get(request.service)
        endpoint = self.endpoint_by_id.get(placement.endpoint_id)
        restriction = None if endpoint is None else endpoint.restricted_by(now)
        if restriction is not None:
            return [self._rejections.restricted(request, restriction)]
        is_available = endpoint is not None and endpoint.accepts(now)
        if (
            service is None
            or not is_available
            or endpoint.entry.address != placement.address
        ):
            return [self._rejections.no_endpoint(request)]
        placement = recheck_permit(placement, endpoint, now)
        if placement is None:
            return [self._rejections.rate_limited(request, [endpoint], now)]
        engine = service.engine
        if engine is None:
            return [placement]
        eligibility = self._eligibility(request, now)
        if not eligibility.allows(endpoint, engine, request):
            return [self._rejections.no_weights(request, [endpoint], now)]
        placement = replace(placement, weights_version=endpoint.weights_version)
        return [self._with_deadline(placement, engine, eligibility)]

    def permit_claims(self, *, now):
        """Return the claims of permits that are due since the last selections.

        Returns
        -------
        list of PermitClaimed
        """
        return self._permit_tracker.claims(now)

    def followed_addresses(self):
        """Return the addresses of all engines in the subset of any service.

        This host follows them: it asks their agents to report every change of load.
        Agents of other engines report less often.

        Returns
        -------
        frozenset of str
        """
        return frozenset(
            self.endpoint_by_id[endpoint_id].entry.address
            for subset in self._selector.subset_by_service.values()
            for endpoint_id in subset.added_at_by_id
            if endpoint_id in self.endpoint_by_id
        )

    def failure_domain_at(self, address):
        """Return the failure domain of the endpoint at an address, "" if unknown.

        Parameters
        ----------
        address : str

        Returns
        -------
        str
        """
        endpoint = self._directory.at(address)
        return "" if endpoint is None else endpoint.entry.failure_domain

    def endpoints_in_use(self, service):
        """Return the number of endpoints with running requests of this host.

        Parameters
        ----------
        service : str

        Returns
        -------
        int
        """
        endpoints = self._directory.of_service(service)
        return sum(item.own_in_flight > 0 for item in endpoints)

    def idle_endpoints(self, service, *, count, now):
        """Return some random endpoints that run no request of this host.

        Parameters
        ----------
        service : str
        count : int
            Maximum number of endpoints.
        now : float

        Returns
        -------
        list of Endpoint
        """
        idle = [
            item
            for item in self._directory.of_service(service)
            if item.own_in_flight == 0 and item.accepts(now)
        ]
        return self._random.sample(idle, min(count, len(idle)))

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "declared": self.declared.dump(now=now),
            "subset_by_service": self._selector.dump_subsets(now=now),
            "endpoint_by_id": self._directory.dump(now=now),
        }

    def _engine_profile(self, endpoint):
        """Return the EngineProfile of an endpoint's service, None if it has none."""
        service = self.service_by_name.get(endpoint.entry.service)
        return None if service is None else service.engine

    def _estimate_remote_prompts(self, endpoint, load, now):
        """Add the prompts sent by other hosts, estimated from the growth in load.

        Must be called before the new load is stored.
        """
        engine = self._engine_profile(endpoint)
        if engine is not None:
            endpoint.prefill_backlog.add_remote_requests(
                growth=load - endpoint.load,
                age=endpoint.report_age(now),
                mean_prefill_time=prefill_time(
                    endpoint, engine, engine.mean_prompt_tokens
                ),
                now=now,
            )

    def _update_subsets(self, now):
        """Update the subsets from the available engines and the entry hosts."""
        for name, service in self.service_by_name.items():
            if service.engine is None:
                continue
            active = [
                item
                for item in self._directory.of_service(name)
                if not item.gone and not item.is_leaving
            ]
            near = [item for item in active if item.is_in(self.failure_domain)]
            far = [item for item in active if not item.is_in(self.failure_domain)]
            subset = self._selector.subset(name)
            hosts, _ = self._selector.entry_hosts
            subset.set_position(position=self._position, hosts=hosts, now=now)
            subset.set_engines(
                near=[item.endpoint_id for item in near],
                far=[item.endpoint_id for item in far],
                now=now,
            )

    def _no_endpoint(self, request, now):
        """Return a Rejection with the time at which an endpoint may be used again.

        The ones that the request was already sent to count as well, since its caller
        may send it again.
        """
        times = [
            endpoint.next_request_at(now)
            for endpoint in self._directory.of_service(request.service)
        ]
        earliest = min(times, default=math.inf)
        if now < earliest < math.inf:
            return self._rejections.backing_off(request, earliest - now)
        return self._rejections.no_endpoint(request)

    def _select_within_limits(self, request, engine, known, now):
        """Select an endpoint without a rate limit, or one with a permit for it."""
        allowed, lacking = self._permit_tracker.split(known, now)
        if lacking and engine is not None:
            eligibility = self._eligibility(request, now)
            lacking = [
                item for item in lacking if eligibility.allows(item, engine, request)
            ]
        if allowed:
            decision = self._select(request, engine, allowed, now)
        elif lacking:
            decision = self._rejections.rate_limited(request, lacking, now)
        else:
            decision = self._rejections.no_weights(request, known, now)
        if isinstance(decision, Rejection):
            self._permit_tracker.want(lacking)
            awaited = tuple(item.endpoint_id for item in lacking)
            return replace(decision, awaited_permits=awaited)
        # The others are only needed once those that this host prefers are full.
        self._permit_tracker.want(
            item for item in lacking if self._is_preferred(item, request.service)
        )
        return with_permit(decision, self.endpoint_by_id, now)

    def _is_preferred(self, endpoint, service):
        """Return whether an endpoint is among those that this host chooses first."""
        if not endpoint.is_in(self.failure_domain):
            return False
        subset = self._selector.subset(service)
        return not subset.is_known or endpoint.endpoint_id in subset.added_at_by_id

    def _select(self, request, engine, known, now):
        if engine is None:
            return self._selector.select_plain(request, known, now)
        return self._select_engine(request, known, engine, now)

    def _select_engine(self, request, known, engine, now):
        eligibility = self._eligibility(request, now)
        answer = self._selector.select_engine(request, known, engine, eligibility)
        if answer is None:
            return self._rejections.no_weights(request, known, now)
        if isinstance(answer, Placement):
            answer = self._with_deadline(answer, engine, eligibility)
        return answer

    def _with_deadline(self, placement, engine, eligibility):
        endpoint = self.endpoint_by_id[placement.endpoint_id]
        return eligibility.with_deadline(placement, engine, endpoint)

    def _eligibility(self, request, now):
        """Return which weights are eligible at the current time."""
        return WeightsEligibility(
            declared=self.declared,
            version_bound=self.version_bound,
            version_margin=self.version_margin,
            failure_domain=self.failure_domain,
            boottime_now=now if request.boottime_now is None else request.boottime_now,
            now=now,
        )


def _boottime_received_at(message, now):
    """Return the time of receipt on the clock that includes suspended time."""
    return now if message.boottime_now is None else message.boottime_now
