"""Permits for requests to endpoints that name a rate limit."""

from dataclasses import replace

from hawthornspoke.permits import PermitClaimed

#: Seconds after which a claim that wasn't answered is repeated. It exceeds the timeout
#: of a claim, after which this host grants itself permits.
UNANSWERED_CLAIM_TIME = 1.0

#: Maximum seconds between two claims. The next permit may be far away for this host
#: alone, but not once it reaches an agent again.
MAX_CLAIM_DELAY = 2.0


class PermitTracker:
    """Keeps requests away from endpoints for which this host has no permits.

    Permits are claimed for endpoints that would have been candidates for a request.
    Meanwhile the request goes to another endpoint.
    """

    __slots__ = ("_wanting_by_id",)

    def __init__(self):
        self._wanting_by_id = {}

    def split(self, endpoints, now):
        """Return the endpoints that may get a request, and those that lack a permit.

        Parameters
        ----------
        endpoints : list of Endpoint
        now : float

        Returns
        -------
        tuple of (list of Endpoint, list of Endpoint)
        """
        lacking = [
            item
            for item in endpoints
            if item.rate_limit.value is not None and not item.rate_limit.has_permit(now)
        ]
        if not lacking:
            return endpoints, []
        return [item for item in endpoints if item not in lacking], lacking

    def want(self, endpoints):
        """Record that a request could have used permits for these endpoints."""
        for endpoint in endpoints:
            endpoint.rate_limit.want_permit()
            self._wanting_by_id[endpoint.endpoint_id] = endpoint

    def claims(self, now):
        """Return the claims that are due.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of PermitClaimed
        """
        if not self._wanting_by_id:
            return []
        claims = []
        for endpoint in self._wanting_by_id.values():
            count = endpoint.rate_limit.start_claim(
                now=now, retry_at=now + UNANSWERED_CLAIM_TIME
            )
            if count:
                claims.append(
                    PermitClaimed(
                        endpoint_id=endpoint.endpoint_id,
                        rate=endpoint.rate_limit.rate,
                        incarnation=endpoint.incarnation,
                        wanted=count,
                    )
                )
        self._wanting_by_id.clear()
        return claims


def with_permit(placement, endpoint_by_id, now):
    """Return a placement with a permit if its endpoint has a limit.

    Parameters
    ----------
    placement : Placement
    endpoint_by_id : dict of str to Endpoint
    now : float

    Returns
    -------
    Placement
    """
    if placement.rate_limit is None:
        return placement
    rate_limit = endpoint_by_id[placement.endpoint_id].rate_limit
    return replace(placement, permit_deadline=rate_limit.take_permit(now))


def recheck_permit(placement, endpoint, now):
    """Return the placement if its request may still be sent, None otherwise.

    The endpoint may have named a limit, or the permit may have expired, while the
    request waited for a connection.

    Parameters
    ----------
    placement : Placement
    endpoint : Endpoint
    now : float

    Returns
    -------
    Placement or None
    """
    if endpoint.rate_limit.rate is None:
        return placement
    deadline = placement.permit_deadline
    if deadline is None or now >= deadline:
        deadline = endpoint.rate_limit.take_permit(now)
    return None if deadline is None else replace(placement, permit_deadline=deadline)
