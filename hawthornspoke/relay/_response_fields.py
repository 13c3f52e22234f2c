"""Finds header fields of endpoints' responses that nothing here handles."""

from hawthornspoke.httpio import HOP_BY_HOP

#: Fields that describe the content or its delivery, in lower case. They are passed on
#: to the caller and say nothing about the endpoint.
CONTENT_FIELDS = frozenset(
    (
        "accept-ranges",
        "age",
        "allow",
        "cache-control",
        "content-disposition",
        "content-encoding",
        "content-language",
        "content-location",
        "content-range",
        "content-type",
        "date",
        "etag",
        "expires",
        "last-modified",
        "link",
        "location",
        "pragma",
        "server",
        "set-cookie",
        "vary",
        "via",
        "warning",
        "www-authenticate",
    )
)

#: Maximum number of unhandled names that are remembered and counted by name.
MAX_NAMES = 50

#: Maximum length of a value in the log.
MAX_VALUE_LENGTH = 80


class ResponseFieldMonitor:
    """Logs each unhandled response field once, and counts all responses with it.

    An endpoint may say something of itself in a field that this version doesn't know.
    Without a log entry, nobody would notice that it has no effect.

    Parameters
    ----------
    header_names : HeaderNames
    log : EventLog
    metrics : Metrics
    """

    __slots__ = ("_handled", "_seen", "_log", "_metrics")

    def __init__(self, *, header_names, log, metrics):
        self._handled = HOP_BY_HOP | CONTENT_FIELDS | header_names.response_fields()
        self._seen = set()
        self._log = log
        self._metrics = metrics

    def observe(self, attempt):
        """Check the response head of an attempt.

        Parameters
        ----------
        attempt : Attempt
        """
        for name, value in attempt.head.headers:
            lower = name.lower()
            if lower not in self._handled:
                self._record(lower, value, attempt)

    def _record(self, name, value, attempt):
        if name not in self._seen:
            if len(self._seen) >= MAX_NAMES:
                return
            self._seen.add(name)
            self._log.change(
                "response_field_unhandled",
                field=name,
                value=value[:MAX_VALUE_LENGTH],
                status=attempt.head.status,
                endpoint=attempt.placement.endpoint_id,
            )
        self._metrics.count("response_fields_unhandled_total", field=name)
