"""What endpoints are sent of a request, and callers of an answer."""

from hawthornspoke.httpio import encode_request

#: Seconds kept for the answer's own way back to the caller.
RESPONSE_RETURN_TIME = 0.005

#: Levels on the wire between two priorities of ours, and the least urgent level.
PRIORITY_STEP = 2
LOWEST_PRIORITY = 9


class Encoder:
    """Sets the fields that are ours.

    Parameters
    ----------
    dialect : Dialect
    clock : callable
        Returns the moment on the clock of a request's deadlines.
    """

    __slots__ = ("_dialect", "_clock")

    def __init__(self, *, dialect, clock):
        self._dialect = dialect
        self._clock = clock

    def encode(self, context, place, *, last_event, version):
        """Return the bytes of a request for an endpoint.

        Parameters
        ----------
        context : RequestContext
        place : Place
        last_event, version : int or None
            After which event a stream goes on, and of which weights.

        Returns
        -------
        bytes
        """
        request = context.request
        headers = self._headers(context, place, last_event=last_event)
        if version is not None:
            headers.append((self._dialect.expected_version, str(version)))
        return encode_request(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
        )

    def response_headers(self, response):
        """Return the fields of an endpoint's answer that callers get."""
        return response.end_to_end(without=self._dialect.internal())

    def _headers(self, context, place, *, last_event=None):
        dialect = self._dialect
        without = set(dialect.reserved())
        if last_event is not None:
            without.add(dialect.last_event.lower())
        headers = context.request.end_to_end(without=without)
        remaining = context.deadline - RESPONSE_RETURN_TIME - self._clock()
        headers.append((dialect.deadline_ms, str(max(1, int(remaining * 1000)))))
        headers.append((dialect.expected_endpoint, place.endpoint_id))
        if context.organisation is not None:
            headers.append((dialect.organisation, context.organisation.name))
        headers.append((dialect.priority, str(self._priority(context))))
        if last_event is not None:
            headers.append((dialect.last_event, str(last_event)))
        return headers

    def _priority(self, context):
        base_priority = context.route.priority
        if (
            context.organisation is not None
            and context.organisation.priority is not None
        ):
            base_priority = context.organisation.priority
        # A caller that is late already gains nothing by going first, and one that
        # is not would become late behind it.
        now = self._clock()
        is_late = context.returned or now > context.objective_deadline
        return min(LOWEST_PRIORITY, base_priority * PRIORITY_STEP + int(is_late))
