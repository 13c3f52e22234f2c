"""Error responses to callers: JSON body, status code and headers."""

import math

from hawthornspoke.web import json_response

NOT_RUN = "not_run"
UNKNOWN = "unknown"
DONE = "done"

#: HTTP status by failure code. All other failures map to 503 if the request was not
#: run, and to 502 if its outcome is unknown.
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

#: Retry delay in seconds if the failure does not specify one.
DEFAULT_RETRY_AFTER = 1.0

#: Failures that a later retry cannot resolve.
NON_RETRYABLE_CODES = frozenset(
    ["bad_request", "unauthenticated", "forbidden", "no_such_service", "key_reused"]
)


def error_body(failure, *, outcome, request_id):
    """Build the JSON body of an error response.

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
    if failure.code not in NON_RETRYABLE_CODES:
        error["retry_after"] = round(_retry_after(failure), 3)
    return {"error": error}


def error_response(failure, *, outcome, request_id):
    """Build the response to a request that no endpoint has answered.

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
    if failure.code not in NON_RETRYABLE_CODES:
        headers["Retry-After"] = str(max(1, math.ceil(_retry_after(failure))))
    body = error_body(failure, outcome=outcome, request_id=request_id)
    return json_response(body, status=status, headers=headers)


def _retry_after(failure):
    if failure.retry_after is None:
        return DEFAULT_RETRY_AFTER
    return failure.retry_after
