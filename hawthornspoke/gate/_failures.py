"""Why a gate refuses: each proves that the request was not run."""

from hawthornspoke.base import Failure

#: The endpoint is leaving and takes no new work.
DRAINING = Failure(code="draining")

#: The weights that the request was routed for are not the live ones here.
WRONG_DIGEST = Failure(code="wrong_digest")

#: The queue is full, or the wait would outlast the deadline.
BUSY = Failure(code="busy")

#: A more urgent request took the place in the queue.
OUTRANKED = Failure(code="outranked")

#: The deadline passed while the request waited.
DEADLINE_PASSED = Failure(code="deadline_passed")

#: The same request id was submitted before.
DUPLICATE = Failure(code="duplicate")
