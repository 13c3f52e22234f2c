"""State machine that selects an endpoint for each request, or rejects the request."""

import random
from dataclasses import replace

from hawthornspoke.admission import DEFAULT_POLICY, RANK_POLICIES
from hawthornspoke.base import MACHINES, Bounds, Machine, is_failure
from hawthornspoke.catalog import (
    EXPIRY_MARGIN,
    UNKNOWN_TIME,
    DeclarationBounds,
    DeclaredVersions,
)
from hawthornspoke.permits import (
    PermitsDenied,
    PermitsGranted,
    RateLimitUpdated,
)
from hawthornspoke.placing._avoidance import count_outcome, has_reports_missed
from hawthornspoke.placing._choice import EndpointSelector
from hawthornspoke.placing._cold_endpoints import ColdEndpoints
from hawthornspoke.placing._constraints import PlacementConstraints
from hawthornspoke.placing._directory import EndpointDirectory
from hawthornspoke.placing._load_estimate import RequestRates
from hawthornspoke.placing._messages import (
    AgentLost,
    CatalogChanged,
    DeclarationTimesUpdated,
    EndpointResponded,
    EndpointSilent,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    EvacuationsChanged,
    PlacementRecheck,
    PlacementRequest,
    RequestFinished,
    RequestSent,
    WeightsDeclared,
)
from hawthornspoke.placing._permits import MAX_CLAIM_DELAY
from hawthornspoke.placing._pipeline import PlacementPipeline
from hawthornspoke.placing._predict import prefill_time
from hawthornspoke.placing._rejection import RejectionBuilder
from hawthornspoke.placing._silence import SuspectedEndpoints
from hawthornspoke.signals import LEAVING, LOAD, RATE_LIMIT, SignalsObserved

#: Messages that the machine handles.
MESSAGES = (
    AgentLost,
    PlacementRequest,
    CatalogChanged,
    EndpointResponded,
    EndpointSilent,
    EndpointsListed,
    EngineReported,
    EntryHostsUpdated,
    EvacuationsChanged,
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
    region_by_failure_domain : dict of str to str or None, default=None
        Requests may be restricted to regions; None is the same as an empty dict.
    cold_overage : float, default=1.0
        Multiple of its rate for cold endpoints that an endpoint bears in any second.
    cold_allowance : float, default=0.0
        Requests that it bears in any second beyond that.
    admission_policy : str, default=DEFAULT_POLICY
        Name in ``RANK_POLICIES``.
    seed : int, default=0
    """

    __slots__ = (
        "failure_domain",
        "version_bound",
        "version_margin",
        "region_by_failure_domain",
        "cold_overage",
        "cold_allowance",
        "admission_policy",
        "seed",
        "service_by_name",
        "declared",
        "constraints",
        "_directory",
        "_cold_endpoints",
        "_random",
        "_selector",
        "_pipeline",
        "_suspected",
        "_position",
    )
    PARAMS = {
        "failure_domain": Bounds(kind=str),
        "version_bound": Bounds(kind=(int, float), low=0),
        "version_margin": Bounds(kind=(int, float), low=0),
        "region_by_failure_domain": Bounds(kind=dict, optional=True),
        "cold_overage": Bounds(kind=(int, float), low=0),
        "cold_allowance": Bounds(kind=(int, float), low=0),
        "admission_policy": Bounds(kind=str, choices=RANK_POLICIES.names()),
        "seed": Bounds(kind=int),
    }

    def __init__(
        self,
        *,
        failure_domain="",
        version_bound=8.0,
        version_margin=EXPIRY_MARGIN,
        region_by_failure_domain=None,
        cold_overage=1.0,
        cold_allowance=0.0,
        admission_policy=DEFAULT_POLICY,
        seed=0,
    ):
        self.failure_domain = failure_domain
        self.version_bound = version_bound
        self.version_margin = version_margin
        self.region_by_failure_domain = region_by_failure_domain
        self.cold_overage = cold_overage
        self.cold_allowance = cold_allowance
        self.admission_policy = admission_policy
        self.seed = seed
        self.service_by_name = {}
        self.declared = DeclaredVersions()
        self.constraints = PlacementConstraints(
            region_by_failure_domain=region_by_failure_domain or {}
        )
        self._directory = EndpointDirectory()
        self._suspected = SuspectedEndpoints()
        self._random = random.Random(seed)
        self._cold_endpoints = ColdEndpoints(fleet=self, rng=self._random)
        rejections = RejectionBuilder(rng=self._random)
        self._selector = EndpointSelector(
            failure_domain=failure_domain,
            host=str(seed),
            rejections=rejections,
            rng=self._random,
        )
        self._pipeline = PlacementPipeline(
            fleet=self,
            directory=self._directory,
            selector=self._selector,
            rejections=rejections,
            cold_endpoints=self._cold_endpoints,
        )
        self._position = 0

    @property
    def endpoint_by_id(self):
        """The known endpoints by id."""
        return self._directory.endpoint_by_id

    def is_replaced(self, placement):
        """Return whether another process is known to run at a placement's address.

        Parameters
        ----------
        placement : Placement

        Returns
        -------
        bool
        """
        return self._directory.is_replaced(placement)

    @property
    def suspected_ids(self):
        """Ids of the endpoints that are avoided because requests there are silent."""
        return self._suspected.ids

    def on_catalog_changed(self, message, *, now):
        """Replace the services with those of a newer configuration."""
        self.service_by_name = message.service_by_name
        self._cold_endpoints.apply_services(self.endpoint_by_id.values(), now)
        self._pipeline.admission.set_ranks(message.ranks_by_service)
        self._update_subsets(now)
        return []

    def on_evacuations_changed(self, message, *, now):
        """Send no more requests to the endpoints of the evacuated failure domains."""
        ended = self.constraints.evacuated_domains - message.failure_domains
        self.constraints.evacuated_domains = message.failure_domains
        self._assume_cold(
            [
                endpoint
                for endpoint in self.endpoint_by_id.values()
                if endpoint.entry.failure_domain in ended
            ],
            now,
        )
        self._update_subsets(now)
        return []

    def on_endpoints_listed(self, message, *, now):
        """Update the endpoints from the platform's list."""
        started = self._directory.update_from_list(message, now)
        self._suspected.refresh(self.endpoint_by_id)
        self._assume_cold(started, now)
        self._update_subsets(now)
        return []

    def on_weights_declared(self, message, *, now):
        """Record a declared version."""
        self.declared.add(
            message.declared,
            earliest=message.at,
            latest=_boottime_received_at(message, now),
            known_until=message.known_until,
            outage_ended_at=message.outage_ended_at,
        )
        return []

    def on_declaration_times_updated(self, message, *, now):
        """Record the earliest possible times of declarations."""
        for version, at in message.earliest_times:
            self.declared.add_bounds(
                message.model,
                DeclarationBounds(version=version, earliest=at),
                source="record",
            )
        return []

    def on_engine_reported(self, message, *, now):
        """Update an endpoint and the declared versions from an agent's report.

        Returns
        -------
        list of EndpointReadmitted
        """
        endpoint = self._directory.at(message.address)
        outcomes = []
        if endpoint is not None:
            if endpoint.matches(message.incarnation):
                self._estimate_remote_prompts(endpoint, message.load, now)
            outcomes = self._readmit_after_gap(endpoint, now)
            restarted = endpoint.update_state(message, now)
            if restarted:
                self._assume_cold([endpoint], now)
                self._suspected.refresh(self.endpoint_by_id)
        self._add_declarations(message, endpoint, now)
        return outcomes

    def on_agent_lost(self, message, *, now):
        """Fall back to the endpoint list for an endpoint whose agent was lost."""
        self._directory.clear_agent_state(message.address)
        return []

    def on_entry_hosts_updated(self, message, *, now):
        """Set the entry host counts and this host's position; update the subsets."""
        near = max(1, message.near)
        self._selector.entry_hosts = (near, max(near, message.all))
        self._position = message.position
        self._cold_endpoints.host_counts.update(
            near=message.near if message.near_is_reported else None,
            all_hosts=message.all if message.all_is_reported else None,
            is_view_whole=message.is_view_whole,
            now=now,
        )
        self._update_subsets(now)
        for name, service in self.service_by_name.items():
            if service.engine is not None:
                sums = self._request_rate_sums(name)
                self._selector.update_request_rate_sums(name, sums, now)
        return []

    def on_request_sent(self, message, *, now):
        """Record a request that was sent."""
        endpoint = self._directory.request_target(message)
        if endpoint is not None:
            endpoint.own_in_flight += 1
            endpoint.own_tokens += message.prompt_tokens + message.answer_tokens
            endpoint.sent_since_report += 1
            for signal in endpoint.signals.restrictions:
                signal.count_request(now)
            engine = self._engine_profile(endpoint)
            if engine is not None:
                seconds = prefill_time(
                    engine, message.prompt_tokens, load=endpoint.load - 1
                )
                seconds *= endpoint.present_pace(now)
                endpoint.prefill_backlog.add(seconds, now)
        return []

    def expected_answer_time(self, placement, *, answer_tokens):
        """Return the expected time from the first token of an answer to its last.

        Parameters
        ----------
        placement : Placement
        answer_tokens : int

        Returns
        -------
        float or None
            Seconds; None for an endpoint without an engine.
        """
        endpoint = self.endpoint_by_id.get(placement.endpoint_id)
        engine = None if endpoint is None else self._engine_profile(endpoint)
        if engine is None:
            return None
        running = min(placement.load + 1, engine.slots)
        step = engine.step + engine.step_per_request * running
        return answer_tokens * step * endpoint.pace

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
            self._estimate_remote_prompts(endpoint, load.requests, now)
            endpoint.record_load(load.requests, now)
            endpoint.record_slowdown(load.slowdown, now)
        changes = endpoint.signals.observe(
            message, incarnation=endpoint.incarnation, now=now, rng=self._random
        )
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
        changed = endpoint.signals.change(
            RATE_LIMIT,
            before=before,
            endpoint_id=endpoint.endpoint_id,
            incarnation=endpoint.incarnation,
        )
        return [changed]

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
        """Record the outcome of a request.

        Returns
        -------
        list of EndpointEjected or EndpointReadmitted
        """
        endpoint = self._directory.request_target(message)
        if endpoint is None:
            return []
        if message.outcome != "unreachable":
            endpoint.record_end(
                tokens=message.tokens, is_refused=message.outcome == "refused"
            )
        if message.outcome == "moved":
            # Another endpoint has the address; its own entry will be listed soon.
            endpoint.moved = True
        if message.outcome in ("left", "moved"):
            return []
        if message.outcome == "silent":
            return self._suspected.suspect(endpoint, now)
        outcomes = count_outcome(endpoint, message, now)
        if message.outcome in ("done", "refused"):
            outcomes += self._suspected.readmit(endpoint, now)
        return outcomes

    def on_endpoint_silent(self, message, *, now):
        """Suspect an endpoint, so that new requests avoid it.

        Returns
        -------
        list of EndpointEjected
        """
        endpoint = self._directory.request_target(message)
        return [] if endpoint is None else self._suspected.suspect(endpoint, now)

    def on_endpoint_responded(self, message, *, now):
        """Trust an endpoint again.

        Returns
        -------
        list of EndpointReadmitted
        """
        endpoint = self._directory.request_target(message)
        if endpoint is None:
            self._suspected.refresh(self.endpoint_by_id)
            return []
        return self._suspected.readmit(endpoint, now)

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
        return [self._pipeline.place(message, service, now)]

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
        service = self.service_by_name.get(message.placement_request.service)
        return [self._pipeline.recheck(message, service, now)]

    def set_regions(self, region_by_failure_domain):
        """Replace the regions of the failure domains.

        Parameters
        ----------
        region_by_failure_domain : dict of str to str
        """
        self.region_by_failure_domain = region_by_failure_domain
        self.constraints.region_by_failure_domain = region_by_failure_domain

    def permit_claims(self, *, now):
        """Return the claims of permits that are due since the last selections.

        Returns
        -------
        list of PermitClaimed
        """
        return self._pipeline.permit_tracker.claims(now)

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

    def request_rates_by_service(self, *, now):
        """Return the RequestRates of this host for each service with engines.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to RequestRates
        """
        return {
            name: self._selector.request_rates(name, now)
            for name, service in self.service_by_name.items()
            if service.engine is not None
        }

    def contended_services(self):
        """Return the services whose endpoints report contention on their hosts.

        Returns
        -------
        frozenset of str
        """
        return frozenset(
            item.entry.service
            for item in self.endpoint_by_id.values()
            if item.contention is not None
        )

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

    def cold_until_by_id(self, *, now):
        """Return the ends of the cold times of all endpoints that are cold.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to float
            Only endpoints of services that limit requests to cold ones.
        """
        return self._cold_endpoints.cold_until_by_id(self.endpoint_by_id.values(), now)

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
            if item.own_in_flight == 0
            and item.accepts(now)
            and item.entry.failure_domain not in self.constraints.evacuated_domains
        ]
        return self._random.sample(idle, min(count, len(idle)))

    def _add_declarations(self, message, endpoint, now):
        """Add what an agent's report says of declared versions."""
        received_at = _boottime_received_at(message, now)
        for bounds in message.declared:
            bounds = replace(bounds, latest=min(bounds.latest, received_at))
            self.declared.add_bounds(message.model, bounds, source=message.address)
        if message.next_version is not None and message.made_at != UNKNOWN_TIME:
            self.declared.add_report(
                message.model,
                message.next_version,
                made_at=message.made_at,
                received_at=received_at,
                is_remote=endpoint is not None
                and not endpoint.is_in(self.failure_domain),
            )

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "declared": self.declared.dump(now=now),
            "constraints": self.constraints.dump(),
            "cold_endpoints": self._cold_endpoints.dump(now=now),
            "admission_by_service": self._pipeline.admission.dump(now=now),
            "subset_by_service": self._selector.dump_subsets(now=now),
            "endpoint_by_id": self._directory.dump(now=now),
        }

    def _assume_cold(self, endpoints, now):
        """Treat endpoints that have come into use as cold; apply all cold times."""
        self._cold_endpoints.assume_cold(endpoints, now)
        self._cold_endpoints.refresh(self.endpoint_by_id.values())

    def _readmit_after_gap(self, endpoint, now):
        """Trust an endpoint again whose host was silent as a whole, and reports now."""
        if endpoint.suspicion.is_active and has_reports_missed(
            endpoint,
            failure_domain=self.failure_domain,
            subset=self._selector.subset(endpoint.entry.service),
            now=now,
        ):
            return self._suspected.readmit(endpoint, now)
        return []

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
                mean_prefill_time=endpoint.present_pace(now)
                * prefill_time(engine, engine.mean_prompt_tokens, load=load),
                now=now,
            )

    def _request_rate_sums(self, service):
        """Return the RequestRates of all entry hosts, None if no agent reports any.

        The largest sums are taken, since an agent that is cut off knows fewer hosts.
        """
        reported = [
            (endpoint, endpoint.state.request_rates)
            for endpoint in self._directory.of_service(service)
            if endpoint.state is not None and endpoint.state.request_rates is not None
        ]
        near = [
            rates.requests
            for endpoint, rates in reported
            if endpoint.is_in(self.failure_domain)
        ]
        if not near:
            return None
        return RequestRates(
            requests=max(near), overflow=max(rates.overflow for _, rates in reported)
        )

    def _update_subsets(self, now):
        """Update the subsets from the available engines and the entry hosts."""
        for name, service in self.service_by_name.items():
            if service.engine is None:
                continue
            active = [
                item
                for item in self._directory.of_service(name)
                if not item.gone
                and not item.is_leaving
                and item.entry.failure_domain not in self.constraints.evacuated_domains
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


def _boottime_received_at(message, now):
    """Return the time of receipt on the clock that includes suspended time."""
    return now if message.boottime_now is None else message.boottime_now
