"""Staggers the switch of a failure domain's engines to a new version, by groups.

Keeps capacity available during the switch. An engine that is ordered to load weights
first finishes its running requests and admits no new ones. All hosts hold all pieces at
about the same time; if all engines were ordered then, none would answer for one to two
seconds, although requests may still start on the older weights.
"""

#: Seconds from a load order until the engine answers with the new weights: it finishes
#: its running requests, one to two seconds of tokens, and then loads.
SWITCH_TIME = 2.0

#: Seconds before its weights expire from which an engine receives no new requests.
#: Requests that have not started are withdrawn then, and entry hosts allow for the time
#: to the first token before it.
DISPATCH_CUTOFF = 0.6

#: Maximum number of groups that switch one after the other. Each further group delays
#: the new version on some hosts, and adds less to the capacity that stays available.
MAX_GROUPS = 4


def order_time(*, complete_at, expires_at, position):
    """Return the time at which a serving engine is to be ordered to load a version.

    The groups are spread over the time until the older weights expire, at intervals of
    no more than one group needs to switch.

    Parameters
    ----------
    complete_at : float
        When all pieces of the version were held.
    expires_at : float
        From when requests may no longer start on the engine's current weights.
    position : int
        Zero-based position of this host in its failure domain.

    Returns
    -------
    float
        On the clock of the two arguments, and not before ``complete_at``.
    """
    span = max(0.0, expires_at - DISPATCH_CUTOFF - complete_at)
    groups = min(MAX_GROUPS, 2 + int(span / SWITCH_TIME))
    interval = min(SWITCH_TIME, span / (groups - 1))
    return complete_at + interval * (position % groups)
