"""Which endpoints are left alone for a while."""

#: Failure rate above which an endpoint is left alone for a while. Services whose
#: own errors reach one answer in seven stay well below it.
AVOID_RATE = 0.5

#: Failure rate with which it comes back: two more failures put it aside again.
RETURN_RATE = 0.35

#: Seconds for which it is left alone, doubled each time up to the most.
AVOID_FIRST = 0.5
AVOID_MOST = 8.0

#: Part of a service's endpoints that may be left alone at once. If most of them
#: fail the cause is not theirs, and the rest could not carry the load.
AVOID_SHARE = 0.5

#: Seconds without an agent's word after which its engine is left alone: almost three
#: of the times after which it speaks again, in the own failure domain and in others,
#: to a host that keeps to its engine, and to one that does not.
QUIET_NEAR = 0.7
QUIET_FAR = 5.0
QUIET_NEAR_RARE = 2.8
QUIET_FAR_RARE = 8.0

#: Seconds after which an agent has surely been told that a host keeps to its engine,
#: and has spoken since; before, its silence is no sign.
SETTLING_TIME = 1.5

#: Seconds that messages wait on the way to an engine and back from which it is left
#: alone: as long as first events may take. Beside a spread of weights 0.1 s are usual.
LINK_FULL = 0.4


def count_outcome(endpoint, message, now):
    """Count what became of a request, and leave the endpoint alone if it has to be.

    Parameters
    ----------
    endpoint : Endpoint
    message : Finished
    now : float
    """
    endpoint.note(message.outcome in ("failed", "silent", "unreachable"))
    if message.outcome == "done":
        endpoint.avoided = 0
        if message.seconds is not None:
            endpoint.note_time(message.seconds)
    # What doesn't answer at all is dead, cut off or standing still; a few more
    # requests would only wait there for nothing.
    at_once = message.outcome in ("silent", "unreachable")
    if at_once or endpoint.failure_rate > AVOID_RATE:
        _avoid(endpoint, now)


def without_avoided(endpoints, *, failure_domain, subset, now):
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
        if now >= item.avoid_deadline
        and not _is_quiet(item, failure_domain, subset, now)
    ]
    if len(kept) < len(endpoints) * (1 - AVOID_SHARE) or not kept:
        return endpoints
    return kept


def _avoid(endpoint, now):
    if now < endpoint.avoid_deadline:
        return
    pause = min(AVOID_MOST, AVOID_FIRST * 2**endpoint.avoided)
    endpoint.avoided += 1
    endpoint.avoid_deadline = now + pause
    endpoint.failure_rate = RETURN_RATE


def _is_quiet(endpoint, failure_domain, subset, now):
    """Tell whether the agent beside an engine has said nothing for too long.

    The connection of a host that stands still, or is cut off, stays open; the
    first sign of it is that its regular word is missing.
    """
    if endpoint.state is None:
        return False
    if endpoint.link_delay >= LINK_FULL:
        return True
    near = endpoint.is_in(failure_domain)
    if now < endpoint.heard_at + (QUIET_NEAR if near else QUIET_FAR):
        return False
    return now >= endpoint.heard_at + _quiet_time(endpoint, subset, near, now)


def _quiet_time(endpoint, subset, near, now):
    since = subset.since_by_id.get(endpoint.endpoint_id)
    if subset.is_known and (since is None or now < since + SETTLING_TIME):
        return QUIET_NEAR_RARE if near else QUIET_FAR_RARE
    return QUIET_NEAR if near else QUIET_FAR
