"""Names of the header fields that callers and endpoints speak."""


class Dialect:
    """Header names, the project's own unless an adapter gives others.

    Parameters
    ----------
    request_id : str
        The caller's id of one try; endpoints echo it.
    deadline_ms : str
        Milliseconds that the sender will still wait.
    key : str
        The caller's key; never passed on.
    organisation : str
        Whose request it is; set here, whatever the caller sent.
    expected_endpoint : str
        Only the endpoint with this id may run the request.
    expected_version : str
        Only an engine with this version of the weights may run it.
    priority : str
        0 to 9, 0 goes first.
    last_event : str
        A stream goes on after this event.
    seal : str
        An endpoint's signature under its answer.
    not_run : str
        Present where the endpoint says that it has not run the request.
    load : str
        Running, waiting, slots.
    endpoint_id : str
        Who answered.
    versions : str
        Version of the weights that answered.
    tokens : str
        Prompt tokens and most output tokens.
    path : str
        Engines that a request passes through.
    """

    __slots__ = (
        "request_id",
        "deadline_ms",
        "key",
        "organisation",
        "expected_endpoint",
        "expected_version",
        "priority",
        "last_event",
        "seal",
        "not_run",
        "load",
        "endpoint_id",
        "versions",
        "tokens",
        "path",
    )

    def __init__(
        self,
        *,
        request_id="X-Request-Id",
        deadline_ms="X-Deadline-Ms",
        key="X-Api-Key",
        organisation="X-Organisation",
        expected_endpoint="X-Expect-Endpoint",
        expected_version="X-Expect-Version",
        priority="X-Priority",
        last_event="Last-Event-Id",
        seal="X-Seal",
        not_run="X-Not-Run",
        load="X-Load",
        endpoint_id="X-Endpoint-Id",
        versions="X-Weights-Version",
        tokens="X-Tokens",
        path="X-Path",
    ):
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.key = key
        self.organisation = organisation
        self.expected_endpoint = expected_endpoint
        self.expected_version = expected_version
        self.priority = priority
        self.last_event = last_event
        self.seal = seal
        self.not_run = not_run
        self.load = load
        self.endpoint_id = endpoint_id
        self.versions = versions
        self.tokens = tokens
        self.path = path

    def reserved(self):
        """Return the names, in lower case, that a caller may not set itself."""
        names = (
            self.deadline_ms,
            self.key,
            self.organisation,
            self.expected_endpoint,
            self.expected_version,
            self.priority,
            self.path,
        )
        return frozenset(name.lower() for name in names)

    def internal(self):
        """Return the names, in lower case, that callers don't get to see."""
        return frozenset((self.load.lower(), self.endpoint_id.lower()))
