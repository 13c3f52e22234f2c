"""Failures of calls to other processes; each says whether the call may have run."""

from hawthornspoke.base import Failure

#: No byte of the call was sent: the other process has not run it.
NOT_SENT = Failure(code="not_sent")

#: Bytes were sent and no complete reply arrived: the call may have run.
REPLY_LOST = Failure(code="reply_lost")

#: The deadline passed before the call; nothing was sent.
TOO_LATE = Failure(code="too_late")

#: The engine's process exited during the request; the reason holds an identifier of
#: the exit, the same for all requests that it interrupted.
ENGINE_ENDED = Failure(code="engine_ended")
