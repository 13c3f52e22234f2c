"""One request on its way through the filters."""


class RequestContext:
    """What the filters found out about a request, and what became of it.

    Parameters
    ----------
    request : Request
    reply : Reply
    request_id : str

    Attributes
    ----------
    fingerprint : str
        What it has in common with its repeats; empty until its caller is known.
    catalog : Catalog or None
        The configuration by which it was last found to be allowed.
    deadline, objective_deadline, resend_deadline : float
        On the clock that goes on while the host is suspended: callers don't wait
        longer for a host that was.
    objection : Failure or None
        Why it may not be sent to any endpoint any more.
    """

    __slots__ = (
        "request",
        "reply",
        "request_id",
        "fingerprint",
        "catalog",
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
        "rejection",
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
        self.fingerprint = ""
        self.catalog = None
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
        self.rejection = None
        self.last_response = None
        self.last_reason = ""
        self.retry_after = None
        self.outcome = "unfinished"
        self.first_byte_at = None
        self.resumed = 0
