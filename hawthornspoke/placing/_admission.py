"""Applies the admission by rank to the selection of engines."""

import random
from dataclasses import replace

from hawthornspoke.admission import ServiceAdmission, SharedCapacity
from hawthornspoke.placing._messages import Placement, Rejection
from hawthornspoke.placing._predict import slot_release_interval


class RankAdmission:
    """Selects engines within the limits of each request's rank.

    Parameters
    ----------
    policy : str
        Name in ``RANK_POLICIES``.
    selector : EndpointSelector
    seed : int
        Differs between entry hosts.
    """

    __slots__ = ("_policy", "_selector", "_random", "_admission_by_service")

    def __init__(self, *, policy, selector, seed):
        self._policy = policy
        self._selector = selector
        self._random = random.Random(seed)
        self._admission_by_service = {}

    def set_ranks(self, ranks_by_service):
        """Set the ranks that requests for each service may have.

        Parameters
        ----------
        ranks_by_service : dict of str to frozenset of int
        """
        for service in set(self._admission_by_service) - set(ranks_by_service):
            del self._admission_by_service[service]
        for service, ranks in ranks_by_service.items():
            admission = self._admission_by_service.get(service)
            if admission is None:
                admission = ServiceAdmission(policy=self._policy, rng=self._random)
                self._admission_by_service[service] = admission
            admission.set_ranks(ranks)

    def select_engine(self, request, endpoints, engine, eligibility):
        """Return a Placement at one of the engines, or a Rejection.

        The outcome isn't counted yet.

        Parameters
        ----------
        request : PlacementRequest
        endpoints : list of Endpoint
        engine : EngineProfile
        eligibility : WeightsEligibility
            Evaluated at the current time.

        Returns
        -------
        Placement, Rejection or None
            None if no engine has eligible weights.
        """
        admission = self._admission_by_service.get(request.service)
        if admission is None or not admission.is_active:
            return self._selector.select_engine(request, endpoints, engine, eligibility)
        now = eligibility.now

        def capacity():
            usable = [
                item for item in endpoints if eligibility.allows(item, engine, request)
            ]
            return self._shared_capacity(usable, engine)

        limit = admission.limit(request, capacity, now)
        decision = self._selector.select_engine(
            request, endpoints, engine, eligibility, limit=limit
        )
        if limit is not None and isinstance(decision, Rejection):
            return replace(decision, scarcity=limit.scarcity, step=limit.step)
        return decision

    def count_outcome(self, request, decision, now, *, awaits_permit=False):
        """Count what became of a request, once after all its selections.

        Parameters
        ----------
        request : PlacementRequest
        decision : Placement, Rejection or None
            None, if no engine has eligible weights, isn't counted.
        now : float
        awaits_permit : bool, default=False
            Whether a rejected request may be selected for again once there is a permit,
            and is counted then.
        """
        admission = self._admission_by_service.get(request.service)
        if admission is None or not admission.is_active or decision is None:
            return
        is_placed = isinstance(decision, Placement)
        if is_placed or not awaits_permit:
            admission.count_outcome(request, now, is_placed=is_placed)

    def dump(self, *, now):
        """Return the state by service as plain data."""
        return {
            service: admission.dump(now=now)
            for service, admission in self._admission_by_service.items()
            if admission.is_active
        }

    def _shared_capacity(self, usable, engine):
        _, hosts = self._selector.entry_hosts
        return SharedCapacity(
            engines=len(usable),
            slots=engine.slots,
            mean_load=self._mean_load(usable),
            release_interval=slot_release_interval(engine),
            hosts=hosts,
        )

    def _mean_load(self, usable):
        """Return the mean load of the near or the far engines, the lower of the two.

        Requests go to other failure domains once the own one is full.
        """
        domain = self._selector.failure_domain
        near = [item.load for item in usable if item.is_in(domain)]
        far = [item.load for item in usable if not item.is_in(domain)]
        means = [sum(loads) / len(loads) for loads in (near, far) if loads]
        return min(means, default=0.0)
