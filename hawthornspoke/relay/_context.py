"""The state of a request while it is handled."""


class RequestContext:
    """Properties of a request, and the state of its processing.

    Parameters
    ----------
    request : Request
    reply : Reply
    request_id : str

    Attributes
    ----------
    fingerprint : str
        The same for identical requests of an organisation; empty until the caller is
        known.
    features : tuple of str
        The fingerprint, and what the request may share with others.
    catalog : Catalog or None
        The configuration by which the request was last allowed.
    deadline : float
        Time by which the response has to be complete. All three deadlines are on a
        clock that includes the time for which the host is suspended, since callers
        don't wait longer for a suspended host.
    objective_deadline : float
        Time by which the first byte has to be sent for the response to be on time.
    resend_deadline : float
        Time after which the request is not sent again, unless its stream has started.
    is_caller_retry : bool
        Whether the request seems to repeat an earlier one of the caller: its deadline
        is shorter than the longest one seen on its route.
    prompt_tokens, answer_tokens : int
        Number of tokens of the prompt, and maximum number of those of the answer.
    allowed_regions : frozenset of str or None
        Regions whose endpoints may get the request by its route and organisation; None
        if all may.
    tried : list of str
        Ids of the endpoints selected so far.
    sent, resumed : int
        Number of times that the request, or a resumption of its stream, was sent.
    refused : int
        Number of times that an endpoint said that it didn't run the request.
    may_have_run : bool
        Whether an endpoint may have run the request.
    rejection : Failure or None
        Why the request may not be sent to any endpoint any more.
    """

    __slots__ = (
        "request",
        "reply",
        "request_id",
        "fingerprint",
        "features",
        "catalog",
        "route",
        "service",
        "organisation",
        "deadline",
        "objective_deadline",
        "resend_deadline",
        "is_caller_retry",
        "prompt_tokens",
        "answer_tokens",
        "allowed_regions",
        "tried",
        "sent",
        "refused",
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
        self.features = ()
        self.catalog = None
        self.route = None
        self.service = ""
        self.organisation = None
        self.deadline = None
        self.objective_deadline = None
        self.resend_deadline = None
        self.is_caller_retry = False
        self.prompt_tokens = 0
        self.answer_tokens = 0
        self.allowed_regions = None
        self.tried = []
        self.sent = 0
        self.refused = 0
        self.may_have_run = False
        self.rejection = None
        self.last_response = None
        self.last_reason = ""
        self.retry_after = None
        self.outcome = "unfinished"
        self.first_byte_at = None
        self.resumed = 0
