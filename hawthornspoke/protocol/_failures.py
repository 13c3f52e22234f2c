"""How a call to another process fails, as far as the caller can know."""

from hawthornspoke.base import Failure

#: No byte of the call left this host: the other side has not acted on it.
NOT_SENT = Failure(code="not_sent")

#: Bytes left and no whole reply came: the other side may have acted.
REPLY_LOST = Failure(code="reply_lost")

#: The deadline passed before the call was made; nothing was sent.
TOO_LATE = Failure(code="too_late")

#: The engine's process ended under the request; the reason names that end.
ENGINE_ENDED = Failure(code="engine_ended")
