"""Deadlines of requests."""

from hawthornspoke.fields import parse_digits

#: Deadline in seconds of a request that gives none.
ASSUMED_DEADLINE = 30.0

#: Minimum seconds for which the caller of a stream still waits if its request is sent
#: again. A saturated link delays the request by half a second or more, and the first
#: event takes about 0.2 s.
MIN_RESEND_TIME = 0.7


class RequestDeadlines:
    """Derives the deadlines of requests from their headers and routes.

    Parameters
    ----------
    header_names : HeaderNames
    caller_retries : CallerRetryDetector
    clock : callable
        Returns seconds; includes the time for which the host is suspended.
    """

    __slots__ = ("_header_names", "_caller_retries", "_clock")

    def __init__(self, *, header_names, caller_retries, clock):
        self._header_names = header_names
        self._caller_retries = caller_retries
        self._clock = clock

    def deadline(self, context):
        """Return the deadline of a request whose route is known.

        Parameters
        ----------
        context : RequestContext

        Returns
        -------
        float
            On the clock.
        """
        requested = self._requested_time(context)
        seconds = ASSUMED_DEADLINE if requested is None else requested
        return context.request.boottime_arrived_at + min(seconds, context.route.timeout)

    def set(self, context):
        """Set the deadlines of a request, and the numbers of its tokens.

        Parameters
        ----------
        context : RequestContext
        """
        arrived = context.request.boottime_arrived_at
        requested = self._requested_time(context)
        spent = self._caller_retries.time_spent(
            context.route.name, requested, self._clock()
        )
        context.is_caller_retry = spent > 0
        context.deadline = self.deadline(context)
        context.objective_deadline = arrived - spent + context.route.objective
        context.resend_deadline = context.deadline
        if context.route.event_timeout is not None:
            abandoned_at = min(context.deadline, arrived + context.route.event_timeout)
            context.resend_deadline = abandoned_at - MIN_RESEND_TIME
        tokens = context.request.get(self._header_names.tokens, "").split(",")
        context.prompt_tokens = parse_digits(tokens[0]) or 0
        if len(tokens) > 1:
            context.answer_tokens = parse_digits(tokens[1]) or 0

    def _requested_time(self, context):
        """Return the seconds that the caller waits, None if it doesn't say."""
        value = context.request.get(self._header_names.deadline_ms, "")
        requested_ms = parse_digits(value)
        return None if requested_ms is None else requested_ms / 1000
