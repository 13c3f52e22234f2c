"""How requests end that no endpoint has answered."""

from hawthornspoke.httpio import EndCause, EndKind, RequestEnd
from hawthornspoke.relay._admission import (
    CALLER_LEFT,
    CONFIGURATION_CHANGED,
    DEADLINE_PASSED,
    KEY_NOT_CONFIRMED,
)
from hawthornspoke.relay._suspects import QUARANTINED, SUSPECTED
from hawthornspoke.shutdown import STOPPING

#: Causes of rejections of requests that were admitted.
CAUSE_BY_REJECTION = {
    CALLER_LEFT: EndCause.CALLER,
    CONFIGURATION_CHANGED: EndCause.CONFIGURATION,
    DEADLINE_PASSED: EndCause.DEADLINE,
    KEY_NOT_CONFIRMED: EndCause.CONFIGURATION,
    # These requests end the endpoints that run them.
    QUARANTINED: EndCause.CALLER,
    SUSPECTED: EndCause.CALLER,
    STOPPING: EndCause.SHUTDOWN,
}


def failure_end(context, *, timed_out):
    """Return how a request ends that no endpoint has answered.

    Parameters
    ----------
    context : RequestContext
    timed_out : bool
        Whether its deadline has passed.

    Returns
    -------
    RequestEnd
    """
    if context.reply.started:
        return RequestEnd((EndKind.CUT, _cause_after_send(context, timed_out)))
    if context.may_have_run:
        return RequestEnd((EndKind.ERROR, _cause_after_send(context, timed_out)))
    return RequestEnd((EndKind.REFUSAL, _cause_before_run(context, timed_out)))


def own_failure_end(context):
    """Return how a request ends for which this host has failed.

    Parameters
    ----------
    context : RequestContext

    Returns
    -------
    RequestEnd
    """
    if context.reply.started:
        return RequestEnd.CUT_BY_OWN_FAILURE
    if context.may_have_run:
        return RequestEnd.FAILED_BY_OWN_FAILURE
    return RequestEnd.REFUSED_FOR_OWN_FAILURE


def _cause_after_send(context, timed_out):
    if timed_out or context.rejection == DEADLINE_PASSED:
        return EndCause.DEADLINE
    cause = CAUSE_BY_REJECTION.get(context.rejection, EndCause.ENDPOINT)
    return EndCause.ENDPOINT if cause is EndCause.CALLER else cause


def _cause_before_run(context, timed_out):
    if context.rejection in CAUSE_BY_REJECTION:
        return CAUSE_BY_REJECTION[context.rejection]
    if timed_out:
        return EndCause.DEADLINE
    return EndCause.ENDPOINT if context.sent else EndCause.CAPACITY
