"""When the engines of a failure domain change to a version, one group after the other.

Answers the load of callers while a version comes into use. An engine that is ordered
finishes what runs, takes nothing new meanwhile, and then loads; with all pieces there
at the same moment on all hosts, all engines did so together, and for one to two seconds
nobody answered, though the older weights still might.
"""

#: Seconds that an engine needs from the order until it answers with new weights:
#: it finishes what runs, one to two seconds of tokens, then loads.
CHANGE_TIME = 2.0

#: Seconds before the bound of its weights from which an engine gets no new requests:
#: what has not begun is withdrawn, and entry hosts reckon with the time to the first
#: token before that.
DISPATCH_CUTOFF = 0.6

#: Groups that change one after the other at the most. More would leave a host without
#: the new version for longer, and save less of the fleet each.
MAX_GROUPS = 4


def order_time(*, complete_at, expires_at, position):
    """Return when an engine that answers is to be ordered.

    The groups are spread over the time until the older weights may answer no more, but
    no further apart than one needs to change.

    Parameters
    ----------
    complete_at : float
        When all pieces were there.
    expires_at : float
        When the engine's weights may no longer begin to answer.
    position : int
        Number of this host in its failure domain, from 0.

    Returns
    -------
    float
        On the clock of both moments, ``complete_at`` at the least.
    """
    span = max(0.0, expires_at - DISPATCH_CUTOFF - complete_at)
    groups = min(MAX_GROUPS, 2 + int(span / CHANGE_TIME))
    pause = min(CHANGE_TIME, span / (groups - 1))
    return complete_at + pause * (position % groups)
