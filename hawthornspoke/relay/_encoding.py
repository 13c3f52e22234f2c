"""Encodes requests for endpoints, and the headers of responses for callers."""

from hawthornspoke.catalog import rank_of
from hawthornspoke.httpio import encode_request

#: Seconds reserved for returning the response to the caller; endpoints get a deadline
#: that is earlier by this.
RESPONSE_RETURN_TIME = 0.005

#: A configured priority is multiplied by PRIORITY_STEP before it is sent, so that late
#: requests can be sent one level lower; LOWEST_PRIORITY is the least urgent level.
PRIORITY_STEP = 2
LOWEST_PRIORITY = 9


class Encoder:
    """Encodes requests, with the header fields that are set by this host.

    Parameters
    ----------
    header_names : HeaderNames
    clock : callable
        Returns the time on the clock that request deadlines are measured on.
    """

    __slots__ = ("_header_names", "_clock")

    def __init__(self, *, header_names, clock):
        self._header_names = header_names
        self._clock = clock

    def encode(self, context, placement, *, last_event, version):
        """Return the bytes of a request for an endpoint.

        Parameters
        ----------
        context : RequestContext
        placement : Placement
        last_event, version : int or None
            Id of the last event received and weights version of a stream to resume.

        Returns
        -------
        bytes
        """
        request = context.request
        headers = self._headers(context, placement, last_event=last_event)
        if version is not None:
            headers.append((self._header_names.expected_version, str(version)))
        return encode_request(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
        )

    def response_headers(self, response):
        """Return the header fields of an endpoint's response that callers receive."""
        return response.end_to_end(without=self._header_names.internal())

    def _headers(self, context, placement, *, last_event=None):
        header_names = self._header_names
        without = set(header_names.reserved())
        if last_event is not None:
            without.add(header_names.last_event.lower())
        headers = context.request.end_to_end(without=without)
        remaining = context.deadline - RESPONSE_RETURN_TIME - self._clock()
        headers.append((header_names.deadline_ms, str(max(1, int(remaining * 1000)))))
        headers.append((header_names.expected_endpoint, placement.endpoint_id))
        if context.organisation is not None:
            headers.append((header_names.organisation, context.organisation.name))
        headers.append((header_names.priority, str(self._priority(context))))
        if last_event is not None:
            headers.append((header_names.last_event, str(last_event)))
        return headers

    def _priority(self, context):
        base_priority = rank_of(context.route, context.organisation)
        # A late request gains nothing from being served first, and would delay requests
        # that can still be on time.
        now = self._clock()
        is_late = context.is_caller_retry or now > context.objective_deadline
        return min(LOWEST_PRIORITY, base_priority * PRIORITY_STEP + int(is_late))
