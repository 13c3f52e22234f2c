"""Failures that the platform clients return."""

from hawthornspoke.base import Failure

#: The row did not meet the condition of the write; nothing was written.
CONFLICT = Failure(code="conflict")

#: The row or object does not exist.
NOT_FOUND = Failure(code="not_found")

#: The platform rejected the request or was unreachable; nothing was written.
UNAVAILABLE = Failure(code="unavailable")

#: A write was sent but not acknowledged; it may have been applied.
WRITE_UNCONFIRMED = Failure(code="unsure")
