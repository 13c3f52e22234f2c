"""Failures with which a gate refuses a request; all imply that it was not run."""

from hawthornspoke.base import Failure

#: The endpoint is being drained and accepts no new requests.
DRAINING = Failure(code="draining")

#: The request was routed for weights other than those that this endpoint now uses.
WRONG_DIGEST = Failure(code="wrong_digest")

#: The queue is full, or the expected wait exceeds the deadline.
BUSY = Failure(code="busy")

#: A more urgent request has displaced the request from the full queue.
OUTRANKED = Failure(code="outranked")

#: The deadline passed before the request was started.
DEADLINE_PASSED = Failure(code="deadline_passed")

#: The request id has already been submitted.
DUPLICATE = Failure(code="duplicate")
