"""Answers to callers: one JSON shape for errors, and the headers."""

import math

from hawthornspoke.web import json_response

NOT_RUN = "not_run"
UNKNOWN = "unknown"
DONE = "done"

#: HTTP status by failure code. Everything else that was not run is 503, and
#: everything else whose outcome is unknown is 502.
STATUS_BY_CODE = {
    "bad_request": 400,
    "unauthenticated": 401,
    "forbidden": 403,
    "no_such_service": 404,
    "deadline_passed": 408,
    "too_late": 408,
    "no_time_to_retry": 408,
    "outcome_unknown": 409,
    "key_reused": 422,
    "over_limit": 429,
    "timed_out": 504,
}

#: Seconds named to a caller where the state that refused does not say.
DEFAULT_RETRY_AFTER = 1.0

#: Failures for which trying again later changes nothing.
FINAL_CODES = frozenset(
    ["bad_request", "unauthenticated", "forbidden", "no_such_service", "key_reused"]
)


def error_tree(failure, *, outcome, request_id):
    """Return the JSON of an error.

    Parameters
    ----------
    failure : Failure
    outcome : str
        ``"not_run"`` or ``"unknown"``.
    request_id : str

    Returns
    -------
    dict
    """
    error = {
        "code": failure.code,
        "message": failure.reason or failure.code,
        "outcome": outcome,
        "request_id": request_id,
    }
    if failure.code not in FINAL_CODES:
        error["retry_after"] = round(_retry_after(failure), 3)
    return {"error": error}


def error_response(failure, *, outcome, request_id):
    """Return the final answer to a request that was not answered by an endpoint.

    Parameters
    ----------
    failure : Failure
    outcome : str
        ``"not_run"`` or ``"unknown"``.
    request_id : str

    Returns
    -------
    Response
    """
    default = 503 if outcome == NOT_RUN else 502
    status = STATUS_BY_CODE.get(failure.code, default)
    headers = {"X-Request-Id": request_id, "X-Outcome": outcome}
    if failure.code not in FINAL_CODES:
        headers["Retry-After"] = str(max(1, math.ceil(_retry_after(failure))))
    tree = error_tree(failure, outcome=outcome, request_id=request_id)
    return json_response(tree, status=status, headers=headers)


def _retry_after(failure):
    if failure.retry_after is None:
        return DEFAULT_RETRY_AFTER
    return failure.retry_after
