"""Names of the header fields exchanged with callers and endpoints."""

from hawthornspoke.signals import LOAD, SIGNALS


class HeaderNames:
    """Header names; the defaults are those of the project's own protocol.

    Parameters
    ----------
    request_id : str
        Id that the caller gives to one attempt; endpoints echo it.
    deadline_ms : str
        Milliseconds for which the sender still waits.
    key : str
        API key of the caller; never forwarded.
    organisation : str
        Organisation of the caller; a value sent by the caller is replaced.
    expected_endpoint : str
        Id of the only endpoint that may run the request.
    expected_version : str
        Weights version of the only engines that may run the request.
    priority : str
        0 to 9; 0 is the most urgent.
    last_event : str
        Id of the event after which a stream resumes.
    seal : str
        Signature of the endpoint's response.
    not_run : str
        Present if the endpoint guarantees that it has not run the request.
    endpoint_id : str
        Id of the endpoint that responded.
    versions : str
        Version of the weights that produced the response.
    tokens : str
        Number of prompt tokens, and maximum number of output tokens.
    path : str
        Engines that the request passes through.
    prompt_parts : str
        Comma-separated ``ID:TOKENS`` parts of the prompt, which other requests may
        share except for the last one.
    signals : dict of str to str
        Fields in which endpoints say something of themselves, by name in ``SIGNALS``;
        those left out have the names of the project's own protocol.

    Raises
    ------
    ValueError
        If there is no signal of a name.
    """

    #: Fields of responses that are read besides the signals.
    RESPONSE_FIELDS = ("request_id", "seal", "not_run", "endpoint_id", "versions")
    #: Fields of requests only.
    REQUEST_FIELDS = (
        "deadline_ms",
        "key",
        "organisation",
        "expected_endpoint",
        "expected_version",
        "priority",
        "last_event",
        "tokens",
        "path",
        "prompt_parts",
    )
    __slots__ = (*RESPONSE_FIELDS, *REQUEST_FIELDS, "signals")

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
        endpoint_id="X-Endpoint-Id",
        versions="X-Weights-Version",
        tokens="X-Tokens",
        path="X-Path",
        prompt_parts="X-Prompt-Parts",
        signals=(),
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
        self.endpoint_id = endpoint_id
        self.versions = versions
        self.tokens = tokens
        self.path = path
        self.prompt_parts = prompt_parts
        self.signals = {name: SIGNALS.get(name).HEADER for name in SIGNALS.names()}
        for name, field in dict(signals).items():
            if name not in SIGNALS:
                raise ValueError(f"no endpoint signal is named {name!r}")
            self.signals[name] = field

    def reserved(self):
        """Return the names, in lower case, that callers may not set."""
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

    def response_fields(self):
        """Return the names, in lower case, of the fields that are read in responses."""
        names = [getattr(self, name) for name in self.RESPONSE_FIELDS]
        names += self.signals.values()
        return frozenset(name.lower() for name in names)

    def internal(self):
        """Return the names, in lower case, that are removed from responses."""
        return frozenset((self.signals[LOAD].lower(), self.endpoint_id.lower()))
