"""Outlier ejection: which endpoints get no requests for a while."""

from hawthornspoke.placing._messages import EndpointEjected

#: Failure rate above which an endpoint is ejected. Services that answer one request in
#: seven with an error of their own stay well below it.
EJECTION_FAILURE_RATE = 0.5

#: Failure rate on readmission: two more failures eject the endpoint again.
READMISSION_FAILURE_RATE = 0.35

#: Duration of the first ejection in seconds; it doubles each time up to the maximum.
MIN_EJECTION_TIME = 0.5
MAX_EJECTION_TIME = 8.0

#: Maximum share of a service's endpoints that may be ejected at once. If most of them
#: fail the cause lies elsewhere, and the rest could not carry the load.
MAX_EJECTED_SHARE = 0.5

#: Refusals in a row, by an endpoint whose load leaves free slots, after which it is
#: ejected. One may be about the request, such as a prompt that exceeds its memory.
MAX_REFUSALS_WITH_ROOM = 2

#: Ejections that a first one for such refusals counts as. Each further request there
#: would cost a caller an attempt, while its load looks better than that of the others.
REFUSAL_EJECTION_COUNT = 1

#: Seconds without a report after which an engine is ejected: almost three report
#: intervals. NEAR is for engines of the own failure domain, FAR for those of others;
#: UNFOLLOWED is for engines outside this host's ``Subset``, which report less often.
REPORT_TIMEOUT_NEAR = 0.7
REPORT_TIMEOUT_FAR = 5.0
REPORT_TIMEOUT_NEAR_UNFOLLOWED = 2.8
REPORT_TIMEOUT_FAR_UNFOLLOWED = 8.0

#: Seconds after an engine was added to the subset by which its agent certainly knows
#: that it should report more often, and has done so; until then the longer timeouts of
#: engines outside the subset apply.
FOLLOW_SETTLING_TIME = 1.5

#: Round-trip queueing delay in seconds, on the link of an engine's host, from which the
#: engine is ejected: first tokens are due within this time, so all of them would be
#: late. During a weights rollout 0.1 s are usual.
MAX_LINK_DELAY = 0.4


def count_outcome(endpoint, message, now):
    """Record the outcome of a request and eject the endpoint if necessary.

    Parameters
    ----------
    endpoint : Endpoint
    message : RequestFinished
    now : float

    Returns
    -------
    list of EndpointEjected
    """
    if message.outcome == "refused":
        return _count_refusal(endpoint, now)
    endpoint.record_outcome(message.outcome in ("failed", "oversized", "unreachable"))
    if message.outcome == "oversized":
        # Two in a row eject the endpoint: each of them takes memory and time from the
        # requests to others, and one alone may be about its request.
        endpoint.record_outcome(True)
    if message.outcome == "done":
        endpoint.ejection_count = 0
        endpoint.refusals_with_room = 0
        if message.seconds is not None:
            endpoint.record_response_time(message.seconds)
    # An endpoint that accepts no connections is down or partitioned; further requests
    # would only time out there.
    is_unreachable = message.outcome == "unreachable"
    is_oversized = message.outcome == "oversized"
    if is_unreachable or endpoint.failure_rate > EJECTION_FAILURE_RATE:
        reason = message.outcome if is_unreachable or is_oversized else "failed"
        return _eject(endpoint, now, reason=reason)
    return []


def without_ejected(endpoints, *, failure_domain, subset, now):
    """Return the endpoints that aren't ejected; all if less than half would be left.

    Parameters
    ----------
    endpoints : list of Endpoint
    failure_domain : str
        Of this host.
    subset : Subset
    now : float

    Returns
    -------
    list of Endpoint
    """
    kept = [
        item
        for item in endpoints
        if now >= item.ejected_until
        and (
            item.suspicion.began_at is None
            or not item.suspicion.excludes_request(
                now, is_observed=item.own_in_flight > 0
            )
        )
        and not _is_unresponsive(item, failure_domain, subset, now)
    ]
    if len(kept) < len(endpoints) * (1 - MAX_EJECTED_SHARE) or not kept:
        return endpoints
    return kept


def trusted_only(endpoints, *, failure_domain, subset, now):
    """Return the endpoints that are neither ejected nor suspected, however few.

    Parameters
    ----------
    endpoints : list of Endpoint
    failure_domain : str
        Of this host.
    subset : Subset
    now : float

    Returns
    -------
    list of Endpoint
    """
    return [
        item
        for item in endpoints
        if now >= item.ejected_until
        and not item.suspicion.is_active
        and not _is_unresponsive(item, failure_domain, subset, now)
    ]


def has_reports_missed(endpoint, *, failure_domain, subset, now):
    """Return whether the agent of an engine has missed reports until now.

    Parameters
    ----------
    endpoint : Endpoint
    failure_domain : str
        Of this host.
    subset : Subset
    now : float

    Returns
    -------
    bool
    """
    if endpoint.state is None:
        return False
    # Agents report frequently to hosts of their failure domain only.
    timeout = REPORT_TIMEOUT_NEAR_UNFOLLOWED
    if endpoint.is_in(failure_domain):
        timeout = _report_timeout(endpoint, subset, True, now)
    return now >= endpoint.last_report_at + timeout


def _count_refusal(endpoint, now):
    """Eject an endpoint that refuses requests although it has free slots.

    It doesn't ask for a pause, and its load falls as it refuses: by its load alone it
    would get most of the requests. Endpoints that are full refuse as well, which is no
    fault, and so do those that have asked for a pause or named a rate limit.
    """
    if endpoint.load >= endpoint.entry.slots or _restricts_requests(endpoint, now):
        endpoint.refusals_with_room = 0
        return []
    endpoint.refusals_with_room += 1
    has_been_ejected = endpoint.ejection_count > 0
    if has_been_ejected or endpoint.refusals_with_room >= MAX_REFUSALS_WITH_ROOM:
        endpoint.ejection_count = max(endpoint.ejection_count, REFUSAL_EJECTION_COUNT)
        return _eject(endpoint, now, reason="refused_with_room")
    return []


def _restricts_requests(endpoint, now):
    if endpoint.rate_limit.rate is not None:
        return True
    return any(signal.restricts(now) for signal in endpoint.signals.restrictions)


def _eject(endpoint, now, *, reason):
    if now < endpoint.ejected_until:
        return []
    duration = min(MAX_EJECTION_TIME, MIN_EJECTION_TIME * 2**endpoint.ejection_count)
    endpoint.ejection_count += 1
    endpoint.ejected_until = now + duration
    endpoint.failure_rate = READMISSION_FAILURE_RATE
    ejected = EndpointEjected(
        endpoint_id=endpoint.endpoint_id,
        reason=reason,
        seconds=duration,
        load=endpoint.load,
    )
    return [ejected]


def _is_unresponsive(endpoint, failure_domain, subset, now):
    """Return whether the agent of an engine has been silent for too long.

    The connection to a host that is frozen or partitioned stays open; missing periodic
    reports are the first sign of it.
    """
    if endpoint.state is None:
        return False
    if endpoint.link_delay >= MAX_LINK_DELAY:
        return True
    near = endpoint.is_in(failure_domain)
    if now < endpoint.last_report_at + (
        REPORT_TIMEOUT_NEAR if near else REPORT_TIMEOUT_FAR
    ):
        return False
    return now >= endpoint.last_report_at + _report_timeout(endpoint, subset, near, now)


def _report_timeout(endpoint, subset, near, now):
    since = subset.added_at_by_id.get(endpoint.endpoint_id)
    if subset.is_known and (since is None or now < since + FOLLOW_SETTLING_TIME):
        return REPORT_TIMEOUT_NEAR_UNFOLLOWED if near else REPORT_TIMEOUT_FAR_UNFOLLOWED
    return REPORT_TIMEOUT_NEAR if near else REPORT_TIMEOUT_FAR
