"""Which endpoints are left alone for a while."""

#: Failure rate above which an endpoint is left alone for a while. Services whose
#: own errors reach one answer in seven stay well below it.
EJECTION_FAILURE_RATE = 0.5

#: Failure rate with which it comes back: two more failures put it aside again.
READMISSION_FAILURE_RATE = 0.35

#: Seconds for which it is left alone, doubled each time up to the most.
MIN_EJECTION_TIME = 0.5
MAX_EJECTION_TIME = 8.0

#: Part of a service's endpoints that may be left alone at once. If most of them
#: fail the cause is not theirs, and the rest could not carry the load.
AVOID_SHARE = 0.5

#: Seconds without an agent's word after which its engine is left alone: almost three
#: of the times after which it speaks again, in the own failure domain and in others,
#: to a host that keeps to its engine, and to one that does not.
REPORT_TIMEOUT_NEAR = 0.7
REPORT_TIMEOUT_FAR = 5.0
REPORT_TIMEOUT_NEAR_UNFOLLOWED = 2.8
REPORT_TIMEOUT_FAR_UNFOLLOWED = 8.0

#: Seconds after which an agent has surely been told that a host keeps to its engine,
#: and has spoken since; before, its silence is no sign.
FOLLOW_SETTLING_TIME = 1.5

#: Seconds that messages wait on the way to an engine and back from which it is left
#: alone: as long as first events may take. Beside a spread of weights 0.1 s are usual.
MAX_LINK_DELAY = 0.4


def count_outcome(endpoint, message, now):
    """Count what became of a request, and leave the endpoint alone if it has to be.

    Parameters
    ----------
    endpoint : Endpoint
    message : Finished
    now : float
    """
    endpoint.record_outcome(message.outcome in ("failed", "silent", "unreachable"))
    if message.outcome == "done":
        endpoint.ejection_count = 0
        if message.seconds is not None:
            endpoint.record_response_time(message.seconds)
    # What doesn't answer at all is dead, cut off or standing still; a few more
    # requests would only wait there for nothing.
    at_once = message.outcome in ("silent", "unreachable")
    if at_once or endpoint.failure_rate > EJECTION_FAILURE_RATE:
        _eject(endpoint, now)


def without_ejected(endpoints, *, failure_domain, subset, now):
    """Return the endpoints that are not left alone; all if most of them would be.

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
        and not _is_unresponsive(item, failure_domain, subset, now)
    ]
    if len(kept) < len(endpoints) * (1 - AVOID_SHARE) or not kept:
        return endpoints
    return kept


def _eject(endpoint, now):
    if now < endpoint.ejected_until:
        return
    pause = min(MAX_EJECTION_TIME, MIN_EJECTION_TIME * 2**endpoint.ejection_count)
    endpoint.ejection_count += 1
    endpoint.ejected_until = now + pause
    endpoint.failure_rate = READMISSION_FAILURE_RATE


def _is_unresponsive(endpoint, failure_domain, subset, now):
    """Tell whether the agent beside an engine has said nothing for too long.

    The connection of a host that stands still, or is cut off, stays open; the
    first sign of it is that its regular word is missing.
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
    since = subset.since_by_id.get(endpoint.endpoint_id)
    if subset.is_known and (since is None or now < since + FOLLOW_SETTLING_TIME):
        return REPORT_TIMEOUT_NEAR_UNFOLLOWED if near else REPORT_TIMEOUT_FAR_UNFOLLOWED
    return REPORT_TIMEOUT_NEAR if near else REPORT_TIMEOUT_FAR
