"""How requests end, and why connections of callers are closed."""

import enum


class EndKind(enum.StrEnum):
    """What the caller of a request has got at its end."""

    ANSWER = "answer"
    REFUSAL = "refusal"
    ERROR = "error"
    CALLER_LEFT = "caller_left"
    CUT = "cut"


class EndCause(enum.StrEnum):
    """Who or what is responsible for the end of a request."""

    CALLER = "caller"
    CAPACITY = "capacity"
    CONFIGURATION = "configuration"
    DEADLINE = "deadline"
    ENDPOINT = "endpoint"
    MEMORY = "memory"
    OWN_FAILURE = "own_failure"
    SHUTDOWN = "shutdown"


class RequestEnd(enum.Enum):
    """The ends of a request that was read; each request has exactly one.

    A refusal promises that the request has not run; an error doesn't. A request is cut
    if its connection is closed without a whole response although the caller waits.
    """

    ANSWERED = (EndKind.ANSWER, EndCause.ENDPOINT)
    REFUSED_FOR_CALLER = (EndKind.REFUSAL, EndCause.CALLER)
    REFUSED_FOR_CAPACITY = (EndKind.REFUSAL, EndCause.CAPACITY)
    REFUSED_FOR_CONFIGURATION = (EndKind.REFUSAL, EndCause.CONFIGURATION)
    REFUSED_FOR_DEADLINE = (EndKind.REFUSAL, EndCause.DEADLINE)
    REFUSED_FOR_ENDPOINT = (EndKind.REFUSAL, EndCause.ENDPOINT)
    REFUSED_FOR_MEMORY = (EndKind.REFUSAL, EndCause.MEMORY)
    REFUSED_FOR_OWN_FAILURE = (EndKind.REFUSAL, EndCause.OWN_FAILURE)
    REFUSED_FOR_SHUTDOWN = (EndKind.REFUSAL, EndCause.SHUTDOWN)
    FAILED_BY_CONFIGURATION = (EndKind.ERROR, EndCause.CONFIGURATION)
    FAILED_BY_DEADLINE = (EndKind.ERROR, EndCause.DEADLINE)
    FAILED_BY_ENDPOINT = (EndKind.ERROR, EndCause.ENDPOINT)
    FAILED_BY_OWN_FAILURE = (EndKind.ERROR, EndCause.OWN_FAILURE)
    FAILED_BY_SHUTDOWN = (EndKind.ERROR, EndCause.SHUTDOWN)
    CALLER_LEFT = (EndKind.CALLER_LEFT, EndCause.CALLER)
    CUT_BY_CONFIGURATION = (EndKind.CUT, EndCause.CONFIGURATION)
    CUT_BY_DEADLINE = (EndKind.CUT, EndCause.DEADLINE)
    CUT_BY_ENDPOINT = (EndKind.CUT, EndCause.ENDPOINT)
    CUT_BY_MEMORY = (EndKind.CUT, EndCause.MEMORY)
    CUT_BY_OWN_FAILURE = (EndKind.CUT, EndCause.OWN_FAILURE)
    CUT_BY_SHUTDOWN = (EndKind.CUT, EndCause.SHUTDOWN)

    @property
    def kind(self):
        """The EndKind."""
        return self.value[0]

    @property
    def cause(self):
        """The EndCause."""
        return self.value[1]


class CloseReason(enum.StrEnum):
    """Why this side closes the connection of a caller."""

    HANDLER = "handler"
    IDLE = "idle"
    INVALID_REQUEST = "invalid_request"
    LAST_RESPONSE = "last_response"
    MEMORY = "memory"
    PIPELINED = "pipelined"
    RECEIVE_TIMEOUT = "receive_timeout"
    SHUTDOWN = "shutdown"
    UNREAD_RESPONSE = "unread_response"


#: How a request ends whose connection is closed for a reason before its response is
#: whole; other reasons say nothing about a request.
CUT_BY_REASON = {
    CloseReason.MEMORY: RequestEnd.CUT_BY_MEMORY,
    CloseReason.SHUTDOWN: RequestEnd.CUT_BY_SHUTDOWN,
}
