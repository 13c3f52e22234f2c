"""Keeps requests away from cold endpoints beyond this host's share of their rate."""

import math
from dataclasses import replace

from hawthornspoke.slow_start import HostCounts, share_of_rate, sustained_rate


class ColdEndpoints:
    """Decides which endpoints may get one more request as far as they are cold.

    Parameters
    ----------
    fleet : Fleet
        Holds the settings and the services.
    rng : random.Random

    Attributes
    ----------
    host_counts : HostCounts
    """

    __slots__ = ("host_counts", "_fleet", "_prng", "_restricted_until_by_service")

    def __init__(self, *, fleet, rng):
        self.host_counts = HostCounts(
            failure_domains=len(fleet.constraints.region_by_failure_domain)
        )
        self._fleet = fleet
        self._prng = rng
        # No endpoint of the service is restricted from then on.
        self._restricted_until_by_service = {}

    def assume_cold(self, endpoints, now):
        """Treat endpoints that have come into use as cold for a start's time.

        Parameters
        ----------
        endpoints : iterable of Endpoint
        now : float
        """
        for endpoint in endpoints:
            service = self._service_with_limit(endpoint)
            seconds = 0.0 if service is None else service.cold_start_time
            endpoint.cold_state.assume(seconds, now)

    def apply_services(self, endpoints, now):
        """Apply the limits of a configuration.

        Agents report starts before a host that starts has its first one.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            All known ones.
        now : float
        """
        for endpoint in endpoints:
            service = self._service_with_limit(endpoint)
            if service is not None:
                endpoint.cold_state.set_assumed_time(service.cold_start_time, now)
        self.refresh(endpoints)

    def refresh(self, endpoints):
        """Update until when requests to each service are restricted.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            All known ones.
        """
        latest_by_service = {}
        for endpoint in endpoints:
            if self._service_with_limit(endpoint) is None:
                continue
            name = endpoint.entry.service
            latest = latest_by_service.get(name, -math.inf)
            ends_at = endpoint.cold_state.restricted_until
            latest_by_service[name] = max(latest, ends_at)
        self._restricted_until_by_service = latest_by_service

    def split(self, service, endpoints, now):
        """Return the endpoints that may get a request, and those whose share is used.

        Parameters
        ----------
        service : str
        endpoints : list of Endpoint
        now : float

        Returns
        -------
        tuple of (list of Endpoint, list of Endpoint)
        """
        if now >= self._restricted_until_by_service.get(service, -math.inf):
            return endpoints, []
        usable, exhausted = [], []
        for endpoint in endpoints:
            target = usable if self._allows(endpoint, now) else exhausted
            target.append(endpoint)
        return usable, exhausted

    def reserve(self, placement, endpoint, now):
        """Return the placement with a slot if its endpoint is cold.

        Slots are taken at the selection, or requests that are selected together would
        all be sent back right before the write but one.

        Parameters
        ----------
        placement : Placement
        endpoint : Endpoint
        now : float

        Returns
        -------
        Placement
        """
        if self._spacing(endpoint, now) is None:
            return placement
        deadline = endpoint.cold_state.send_slots.take()
        return replace(placement, cold_slot_deadline=deadline)

    def recheck(self, placement, endpoint, now):
        """Return the placement if its request may still be sent, None otherwise.

        The endpoint may have become cold, or the slot may have passed, while the
        request waited for a connection or the process was frozen.

        Parameters
        ----------
        placement : Placement
        endpoint : Endpoint
        now : float

        Returns
        -------
        Placement or None
        """
        if self._spacing(endpoint, now) is None:
            return placement
        deadline = placement.cold_slot_deadline
        is_same_start = placement.incarnation == endpoint.incarnation
        if deadline is not None and now < deadline and is_same_start:
            return placement
        if not self._allows(endpoint, now):
            return None
        return self.reserve(placement, endpoint, now)

    def next_request_at(self, endpoints, now):
        """Return the earliest start of a slot, or end of all restrictions.

        Parameters
        ----------
        endpoints : list of Endpoint
            At least one, all with a used share.
        now : float

        Returns
        -------
        float
        """
        return min(
            min(
                endpoint.cold_state.send_slots.next_at(
                    now, spacing=self._spacing(endpoint, now)
                ),
                endpoint.cold_state.restricted_until,
            )
            for endpoint in endpoints
        )

    def cold_until_by_id(self, endpoints, now):
        """Return the ends of the cold times of all endpoints that are cold.

        Parameters
        ----------
        endpoints : iterable of Endpoint
        now : float

        Returns
        -------
        dict of str to float
        """
        latest = max(self._restricted_until_by_service.values(), default=-math.inf)
        if now >= latest:
            return {}
        return {
            item.endpoint_id: item.cold_state.deadline
            for item in endpoints
            if item.cold_state.is_cold(now)
            and not item.gone
            and self._service_with_limit(item) is not None
        }

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"host_counts": self.host_counts.dump(now=now)}

    def _allows(self, endpoint, now):
        """Return whether an endpoint isn't restricted, or has an open slot."""
        spacing = self._spacing(endpoint, now)
        if spacing is None:
            return True
        state = endpoint.cold_state
        state.send_slots.advance(
            now, spacing=spacing, ends_at=state.restricted_until, rng=self._prng
        )
        return state.send_slots.is_open(now)

    def _spacing(self, endpoint, now):
        """Return the seconds between two requests, None if there is no restriction."""
        state = endpoint.cold_state
        if not state.restricts(now):
            return None
        service = self._service_with_limit(endpoint)
        if service is None:
            return None
        bound = service.cold_rate * self._fleet.cold_overage
        share = share_of_rate(
            sustained_rate(
                service.cold_rate, max_per_second=bound + self._fleet.cold_allowance
            ),
            is_near=endpoint.is_in(self._fleet.failure_domain),
            near=self.host_counts.near(now),
            all_hosts=self.host_counts.all(now),
        )
        return 1 / (share * state.ramp_factor(now)) if share > 0 else math.inf

    def _service_with_limit(self, endpoint):
        """Return the Service if its cold endpoints have a limit, None otherwise."""
        service = self._fleet.service_by_name.get(endpoint.entry.service)
        if service is None or service.cold_rate is None:
            return None
        return service
