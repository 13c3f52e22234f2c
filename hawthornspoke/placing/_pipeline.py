"""The decisions between a request and its placement, in their order.

1. Constraints: which endpoints operators allow (regions, evacuations).
2. Availability: which of them accept requests at all (leaving, backoff, outliers).
3. Rates: which of them may get one more request now (rate limits, cold
   endpoints).
4. Admission: which free slots the request leaves to more urgent ones.
5. Selection: the endpoint, or that none can serve the request in time. Endpoints whose
   engine lacks memory for the request's tokens are left out.
"""

import math
from dataclasses import replace

from hawthornspoke.placing._admission import RankAdmission
from hawthornspoke.placing._avoidance import trusted_only, without_ejected
from hawthornspoke.placing._messages import Placement, Rejection
from hawthornspoke.placing._permits import PermitTracker, recheck_permit, with_permit
from hawthornspoke.placing._token_capacity import has_token_capacity
from hawthornspoke.placing._weights_eligibility import WeightsEligibility

#: Retry delay in seconds if no engine has memory for a request's tokens: about the time
#: of a usual answer.
TOKENS_RETRY_AFTER = 1.0


#: Retry delay in seconds of a hedge that found no free slot.
HEDGE_RETRY_AFTER = 0.3


class PlacementPipeline:
    """Takes requests through all decisions about their placement.

    Parameters
    ----------
    fleet : Fleet
        Holds the settings and the state that several decisions read.
    directory : EndpointDirectory
    selector : EndpointSelector
    rejections : RejectionBuilder
    cold_endpoints : ColdEndpoints

    Attributes
    ----------
    admission : RankAdmission
    permit_tracker : PermitTracker
    """

    __slots__ = (
        "admission",
        "permit_tracker",
        "_fleet",
        "_directory",
        "_selector",
        "_rejections",
        "_cold_endpoints",
    )

    def __init__(self, *, fleet, directory, selector, rejections, cold_endpoints):
        self.admission = RankAdmission(
            policy=fleet.admission_policy, selector=selector, seed=fleet.seed
        )
        self.permit_tracker = PermitTracker()
        self._fleet = fleet
        self._directory = directory
        self._selector = selector
        self._rejections = rejections
        self._cold_endpoints = cold_endpoints

    def place(self, request, service, now):
        """Return a Placement of a request, or a Rejection.

        Parameters
        ----------
        request : PlacementRequest
        service : Service or None
            None if the configuration has no such service.
        now : float

        Returns
        -------
        Placement or Rejection
        """
        listed = self._directory.of_service(request.service)
        constraints = self._fleet.constraints
        allowed = constraints.allowed(listed, request)
        if listed and not allowed:
            return self._rejections.constrained(
                request, constraints.reason(listed, request)
            )
        known = [
            endpoint
            for endpoint in allowed
            if endpoint.accepts(now) and endpoint.endpoint_id not in request.tried
        ]
        if service is None or not known:
            return self._no_endpoint(request, allowed, now)
        known = self._responsive(request, known, now)
        if not known:
            return self._rejections.silent(request)
        if request.is_hedge:
            known = [item for item in known if _has_free_slot(item, service.engine)]
            if not known:
                return self._rejections.full(request, HEDGE_RETRY_AFTER)
        decision = self._select_within_limits(request, service.engine, known, now)
        if isinstance(decision, Placement):
            endpoint = self._directory.endpoint_by_id[decision.endpoint_id]
            endpoint.suspicion.record_trial(now)
        return decision

    def recheck(self, message, service, now):
        """Return the Placement of a request as of now, or a Rejection.

        Parameters
        ----------
        message : PlacementRecheck
        service : Service or None
        now : float

        Returns
        -------
        Placement or Rejection
        """
        request, placement = message.placement_request, message.selected
        endpoint = self._directory.endpoint_by_id.get(placement.endpoint_id)
        if endpoint is not None:
            violated = self._fleet.constraints.violated_by(endpoint, request)
            if violated is not None:
                return self._rejections.constrained(request, violated)
        restriction = None if endpoint is None else endpoint.signals.forbidding(now)
        if restriction is not None:
            return self._rejections.restricted(request, restriction)
        is_available = endpoint is not None and endpoint.accepts(now)
        if (
            service is None
            or not is_available
            or endpoint.entry.address != placement.address
        ):
            return self._rejections.no_endpoint(request)
        placement = recheck_permit(placement, endpoint, now)
        if placement is None:
            return self._rejections.rate_limited(request, [endpoint], now)
        placement = self._cold_endpoints.recheck(placement, endpoint, now)
        if placement is None:
            return self._cold(request, [endpoint], now)
        engine = service.engine
        if engine is None:
            return placement
        eligibility = self._eligibility(request, now)
        if not eligibility.allows(endpoint, engine, request):
            return self._rejections.no_weights(request, [endpoint], now)
        if not has_token_capacity(endpoint, engine, request):
            return self._rejections.full(request, TOKENS_RETRY_AFTER)
        placement = replace(placement, weights_version=endpoint.weights_version)
        return eligibility.with_deadline(placement, engine, endpoint)

    def _responsive(self, request, known, now):
        """Return the endpoints that aren't avoided; none may be left for a hedge."""
        select = trusted_only if request.is_hedge else without_ejected
        return select(
            known,
            failure_domain=self._fleet.failure_domain,
            subset=self._selector.subset(request.service),
            now=now,
        )

    def _no_endpoint(self, request, allowed, now):
        """Return a Rejection with the time at which an endpoint may be used again.

        The ones that the request was already sent to count as well, since its caller
        may send it again.
        """
        accepting = [endpoint for endpoint in allowed if endpoint.accepts(now)]
        usable, exhausted = self._cold_endpoints.split(request.service, accepting, now)
        if exhausted and not usable:
            return self._cold(request, exhausted, now)
        times = [endpoint.next_request_at(now) for endpoint in allowed]
        earliest = min(times, default=math.inf)
        if now < earliest < math.inf:
            return self._rejections.backing_off(request, earliest - now)
        return self._rejections.no_endpoint(request)

    def _select_within_limits(self, request, engine, known, now):
        """Select an endpoint that isn't cold, or a cold one with an open slot."""
        usable, exhausted = self._cold_endpoints.split(request.service, known, now)
        if exhausted and engine is not None:
            eligibility = self._eligibility(request, now)
            exhausted = [
                item for item in exhausted if eligibility.allows(item, engine, request)
            ]
        if not usable:
            if exhausted:
                return self._cold(request, exhausted, now)
            return self._rejections.no_weights(request, known, now)
        decision = self._select_with_permit(request, engine, usable, now)
        if isinstance(decision, Rejection):
            lacks_weights = decision.reason == "no_weights"
            if exhausted and lacks_weights and not decision.awaited_permits:
                return self._cold(request, exhausted, now)
            return decision
        endpoint = self._directory.endpoint_by_id[decision.endpoint_id]
        return self._cold_endpoints.reserve(decision, endpoint, now)

    def _cold(self, request, exhausted, now):
        """Return a Rejection with the time of the next slot of a cold endpoint."""
        next_at = self._cold_endpoints.next_request_at(exhausted, now)
        return self._rejections.cold(request, next_at - now)

    def _select_with_permit(self, request, engine, known, now):
        """Select an endpoint without a rate limit, or one with a permit for it."""
        usable, lacking = self.permit_tracker.split(known, now)
        if lacking and engine is not None:
            eligibility = self._eligibility(request, now)
            lacking = [
                item for item in lacking if eligibility.allows(item, engine, request)
            ]
        if usable:
            decision = self._select(
                request, engine, usable, now, awaits_permit=bool(lacking)
            )
        elif lacking:
            decision = self._rejections.rate_limited(request, lacking, now)
        else:
            decision = self._rejections.no_weights(request, known, now)
        if isinstance(decision, Rejection):
            self.permit_tracker.want(lacking)
            awaited = tuple(item.endpoint_id for item in lacking)
            return replace(decision, awaited_permits=awaited)
        # The others are only needed once those that this host prefers are full.
        self.permit_tracker.want(
            item for item in lacking if self._is_preferred(item, request.service)
        )
        return with_permit(decision, self._directory.endpoint_by_id, now)

    def _is_preferred(self, endpoint, service):
        """Return whether an endpoint is among those that this host chooses first."""
        if not endpoint.is_in(self._fleet.failure_domain):
            return False
        subset = self._selector.subset(service)
        return not subset.is_known or endpoint.endpoint_id in subset.added_at_by_id

    def _select(self, request, engine, known, now, *, awaits_permit):
        if engine is None:
            return self._selector.select_plain(request, known, now)
        eligibility = self._eligibility(request, now)
        decision = self._select_engine(request, engine, known, eligibility)
        if not request.is_hedge:
            self.admission.count_outcome(
                request, decision, now, awaits_permit=awaits_permit
            )
        if decision is None:
            return self._rejections.no_weights(request, known, now)
        if isinstance(decision, Placement):
            endpoint = self._directory.endpoint_by_id[decision.endpoint_id]
            decision = eligibility.with_deadline(decision, engine, endpoint)
        return decision

    def _select_engine(self, request, engine, known, eligibility):
        """Select an engine that has memory for the request's tokens."""
        decision = self.admission.select_engine(request, known, engine, eligibility)
        if not self._lacks_token_capacity(decision, engine, request):
            return decision
        # Checking the selected engine alone costs little in the usual case.
        known = [item for item in known if has_token_capacity(item, engine, request)]
        if not known:
            return self._rejections.full(request, TOKENS_RETRY_AFTER)
        return self.admission.select_engine(request, known, engine, eligibility)

    def _lacks_token_capacity(self, decision, engine, request):
        if not isinstance(decision, Placement):
            return False
        endpoint = self._directory.endpoint_by_id[decision.endpoint_id]
        return not has_token_capacity(endpoint, engine, request)

    def _eligibility(self, request, now):
        """Return which weights are eligible at the current time."""
        return WeightsEligibility(
            declared=self._fleet.declared,
            version_bound=self._fleet.version_bound,
            version_margin=self._fleet.version_margin,
            failure_domain=self._fleet.failure_domain,
            boottime_now=now if request.boottime_now is None else request.boottime_now,
            now=now,
        )


def _has_free_slot(endpoint, engine):
    slots = endpoint.entry.slots if engine is None else engine.slots
    return endpoint.load < slots
