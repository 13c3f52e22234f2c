"""One request on its way through the filters."""


class Work:
    """What the filters found out about a request, and what became of it.

    Parameters
    ----------
    request : Request
    reply : Reply
    request_id : str
    """

    __slots__ = (
        "request",
        "reply",
        "request_id",
        "route",
        "service",
        "organisation",
        "deadline",
        "objective_deadline",
        "resend_deadline",
        "returned",
        "prompt_tokens",
        "tried",
        "sent",
        "may_have_run",
        "last_response",
        "last_reason",
        "retry_after",
        "outcome",
        "first_byte_at",
        "resumed",
    )

    def __init__(self, *, request, reply, request_id):
        self.request = request
        self.reply = reply
        self.request_id = request_id
        self.route = None
        self.service = ""
        self.organisation = None
        self.deadline = None
        self.objective_deadline = None
        self.resend_deadline = None
        self.returned = False
        self.prompt_tokens = 0
        self.tried = []
        self.sent = 0
        self.may_have_run = False
        self.last_response = None
        self.last_reason = ""
        self.retry_after = None
        self.outcome = "unfinished"
        self.first_byte_at = None
        self.resumed = 0
