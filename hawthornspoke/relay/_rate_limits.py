"""Rate limits that endpoints name in their responses."""

from hawthornspoke.base import monotonic
from hawthornspoke.httpio import decode_rate_limit
from hawthornspoke.placing import RateLimitObserved


class EndpointRateLimits:
    """Reads rate limits from responses.

    Parameters
    ----------
    fleet : Fleet
    header_names : HeaderNames
    log : EventLog
    metrics : Metrics
    """

    __slots__ = ("_fleet", "_header_names", "_log", "_metrics")

    def __init__(self, *, fleet, header_names, log, metrics):
        self._fleet = fleet
        self._header_names = header_names
        self._log = log
        self._metrics = metrics

    def observe(self, attempt):
        """Record the rate limit in a response head, or that it names none.

        Parameters
        ----------
        attempt : Attempt
        """
        rate = decode_rate_limit(attempt.head.get(self._header_names.rate_limit))
        if rate is not None:
            self._metrics.count("responses_with_rate_limit_total")
        placement = attempt.placement
        message = RateLimitObserved(
            endpoint_id=placement.endpoint_id,
            rate=rate,
            incarnation=placement.incarnation,
        )
        for changed in self._fleet.step(message, now=monotonic()):
            self._log.change(
                "rate_limit",
                endpoint=changed.endpoint_id,
                before=changed.before,
                rate=changed.rate,
            )
