"""Per-request state, and parsing of request path, headers and body."""

import uuid

from hawthornspoke.base import Failure, boottime_clock, digest_of, monotonic
from hawthornspoke.fields import parse_digits
from hawthornspoke.quarantine import fingerprint_of

BAD_REQUEST = Failure(code="bad_request")

IDEMPOTENT_METHODS = frozenset(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"])
MODEL_PATHS = frozenset(["/v1/completions", "/v1/chat/completions"])
SERVICE_PREFIX = "/services/"
DEFAULT_URGENCY = 3
MAX_URGENCY_VALUE = 7
MAX_TIMEOUT = 3600.0
MAX_IDEMPOTENCY_KEY_LENGTH = 256

#: Number of characters of a prompt by which the router finds an endpoint that has
#: probably cached the prompt's start.
PREFIX_LENGTH = 256

HEADER_TIMEOUT = "x-request-timeout"
HEADER_IDEMPOTENCY_KEY = "idempotency-key"
HEADER_IDEMPOTENT = "x-idempotent"
HEADER_PRIORITY = "priority"


class RequestContext:
    """State of one request, filled in by the filters of the pipeline.

    Parameters
    ----------
    request : hawthornspoke.web.Request
    default_timeout : float
        Timeout in seconds if the caller does not set one.
    """

    __slots__ = (
        "request",
        "request_id",
        "arrived_at",
        "boottime_arrived_at",
        "deadline",
        "urgency",
        "idempotency_key",
        "repeatable",
        "is_model",
        "service_name",
        "adapter",
        "path",
        "parsed_body",
        "streaming",
        "prompt_prefix_digest",
        "organisation",
        "service",
        "claim",
        "attempts",
        "_quarantine_fingerprint",
    )

    def __init__(self, *, request, default_timeout):
        self.request = request
        self.request_id = uuid.uuid4().hex
        self.arrived_at = monotonic()
        self.boottime_arrived_at = boottime_clock()
        self.deadline = self.arrived_at + default_timeout
        self.urgency = DEFAULT_URGENCY
        self.idempotency_key = ""
        self.repeatable = True
        self.is_model = False
        self.service_name = ""
        self.adapter = ""
        self.path = ""
        self.parsed_body = None
        self.streaming = False
        self.prompt_prefix_digest = ""
        self.organisation = ""
        self.service = None
        self.claim = None
        self.attempts = 0
        self._quarantine_fingerprint = None

    def remaining(self):
        """Return the seconds until the deadline.

        Returns
        -------
        float
            Minimum over both clocks. The monotonic clock stops while the host is
            suspended, but the caller's time does not.
        """
        timeout_seconds = self.deadline - self.arrived_at
        boottime_remaining = (
            self.boottime_arrived_at + timeout_seconds - boottime_clock()
        )
        return min(boottime_remaining, self.deadline - monotonic())

    def quarantine_fingerprint(self):
        """Return the identifier by which the quarantine recognises repeated requests.

        Returns
        -------
        str
        """
        if self._quarantine_fingerprint is None:
            self._quarantine_fingerprint = fingerprint_of(
                organisation=self.organisation,
                method=self.request.method,
                host=self.service_name,
                target=self.path,
                body=self.request.body,
            )
        return self._quarantine_fingerprint

    def claim_fingerprint(self):
        """Return the digest by which a claim detects a reused key.

        Returns
        -------
        str
            Digest of method, path, service and body.
        """
        head = f"{self.request.method} {self.path} {self.service_name} "
        return digest_of(head.encode() + self.request.body)


def read_context(context):
    """Fill a context from path, headers and body of its request.

    Parameters
    ----------
    context : RequestContext

    Returns
    -------
    None or Failure
    """
    failure = _read_headers(context)
    if failure is not None:
        return failure
    path = context.request.path
    if path in MODEL_PATHS:
        return _read_model_request(context)
    if path.startswith(SERVICE_PREFIX):
        return _read_service_request(context)
    return BAD_REQUEST.with_reason(f"no such path: {path}")


def _read_headers(context):
    headers = context.request.headers
    context.idempotency_key = headers.get(HEADER_IDEMPOTENCY_KEY, "").strip('"')
    if len(context.idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        return BAD_REQUEST.with_reason(
            f"Idempotency-Key over {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
        )
    timeout = _parse_float(headers.get(HEADER_TIMEOUT))
    if timeout is not None:
        if not 0 < timeout <= MAX_TIMEOUT:
            reason = f"X-Request-Timeout: seconds, 0 to {MAX_TIMEOUT:g}"
            return BAD_REQUEST.with_reason(reason)
        context.deadline = context.arrived_at + timeout
    elif HEADER_TIMEOUT in headers:
        return BAD_REQUEST.with_reason("X-Request-Timeout: not a number of seconds")
    return _read_priority(context, headers.get(HEADER_PRIORITY, ""))


def _read_priority(context, text):
    for item in text.split(","):
        name, equals, value = item.strip().partition("=")
        if name != "u" or not equals:
            continue
        urgency = parse_digits(value)
        if urgency is None or urgency > MAX_URGENCY_VALUE:
            return BAD_REQUEST.with_reason("Priority: u=0 to u=7")
        context.urgency = urgency
    return None


def _read_model_request(context):
    if context.request.method != "POST":
        return BAD_REQUEST.with_reason("completions are asked for by POST")
    parsed = context.request.json()
    if not isinstance(parsed, dict) or not isinstance(parsed.get("model"), str):
        return BAD_REQUEST.with_reason('the body has to be JSON with a "model"')
    context.is_model = True
    context.parsed_body = parsed
    context.path = context.request.path
    context.streaming = parsed.get("stream") is True
    name, _, context.adapter = parsed["model"].partition(":")
    context.service_name = name
    context.repeatable = not _is_marked_non_idempotent(context)
    prompt = str(parsed.get("messages") or parsed.get("prompt") or "")
    context.prompt_prefix_digest = digest_of(prompt[:PREFIX_LENGTH].encode())[:16]
    return None


def _read_service_request(context):
    rest = context.request.path[len(SERVICE_PREFIX) :]
    context.service_name, slash, path = rest.partition("/")
    context.path = slash + path or "/"
    if context.request.query:
        context.path += "?" + context.request.query
    is_idempotent = context.request.method in IDEMPOTENT_METHODS
    context.repeatable = is_idempotent and not _is_marked_non_idempotent(context)
    return None


def _is_marked_non_idempotent(context):
    """Return whether the caller has marked the request as not idempotent."""
    marker = context.request.headers.get(HEADER_IDEMPOTENT, "").lower()
    return bool(context.idempotency_key) or marker in ("false", "no", "0", "?0")


def _parse_float(text):
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
