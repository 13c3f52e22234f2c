"""Builds rejections and their retry delays."""

from hawthornspoke.placing._messages import Rejection
from hawthornspoke.signals import BACKOFF

#: Retry delay in seconds for a service without known endpoints.
NO_ENDPOINT_RETRY_AFTER = 0.5

#: Retry delay in seconds if operators allow no endpoint. Only operators change that, so
#: callers return as late as they can.
CONSTRAINED_RETRY_AFTER = 2.0

#: Retry delay in seconds for missing weights if no agent reports when they are ready.
NO_WEIGHTS_RETRY_AFTER = 1.0

#: Share of the remaining time that a caller is willing to wait before it retries.
MAX_WAIT_SHARE = 1 / 3

#: Minimum retry delay in seconds: below it callers return before anything has changed.
MIN_RETRY_AFTER = 0.2


class RejectionBuilder:
    """Builds Rejection messages with a retry delay.

    Parameters
    ----------
    rng : random.Random
    """

    __slots__ = ("_prng",)

    def __init__(self, *, rng):
        self._prng = rng

    def no_endpoint(self, request):
        """Return a Rejection because the service has no endpoint."""
        return self._reject(request, "no_endpoint", NO_ENDPOINT_RETRY_AFTER)

    def backing_off(self, request, seconds):
        """Return a Rejection because all endpoints asked for a pause.

        Parameters
        ----------
        request : PlacementRequest
        seconds : float
            Time until the first pause ends.

        Returns
        -------
        Rejection
        """
        return self._reject(request, BACKOFF, seconds)

    def constrained(self, request, constraint):
        """Return a Rejection because operators allow no endpoint that there is.

        Parameters
        ----------
        request : PlacementRequest
        constraint : str
            Name of the constraint.

        Returns
        -------
        Rejection
        """
        return self._reject(request, constraint, CONSTRAINED_RETRY_AFTER)

    def restricted(self, request, signal):
        """Return a Rejection because a signal of the selected endpoint forbids it.

        Parameters
        ----------
        request : PlacementRequest
        signal : str
            Name of the signal.

        Returns
        -------
        Rejection
        """
        return self._reject(request, signal, NO_ENDPOINT_RETRY_AFTER)

    def no_weights(self, request, endpoints, now):
        """Return a Rejection because no endpoint has weights that may be used.

        Parameters
        ----------
        request : PlacementRequest
        endpoints : list of Endpoint
            Endpoints that may have such weights soon.
        now : float

        Returns
        -------
        Rejection
        """
        times = [
            endpoint.current_state.next_ready_at
            for endpoint in endpoints
            if endpoint.current_state is not None
            and endpoint.current_state.next_ready_at is not None
        ]
        soonest = max(0.0, min(times) - now) if times else NO_WEIGHTS_RETRY_AFTER
        return self._reject(request, "no_weights", soonest)

    def full(self, request, seconds):
        """Return a Rejection because all endpoints are full.

        Parameters
        ----------
        request : PlacementRequest
        seconds : float
            Time until capacity is expected.

        Returns
        -------
        Rejection
        """
        return self._reject(request, "full", seconds)

    def silent(self, request):
        """Return a Rejection because all endpoints are suspected or ejected."""
        return self._reject(request, "silent", NO_ENDPOINT_RETRY_AFTER)

    def reserved(self, request, seconds):
        """Return a Rejection because the free slots are left to other requests.

        Parameters
        ----------
        request : PlacementRequest
        seconds : float
            Time until more slots are expected to be free.

        Returns
        -------
        Rejection
        """
        return self._reject(request, "reserved", seconds)

    def rate_limited(self, request, endpoints, now):
        """Return a Rejection because all endpoints are at their rate limits.

        Parameters
        ----------
        request : PlacementRequest
        endpoints : list of Endpoint
            Endpoints with a rate limit.
        now : float

        Returns
        -------
        Rejection
        """
        soonest = min(item.rate_limit.permits_expected_at(now) for item in endpoints)
        return self._reject(request, "rate_limited", soonest - now)

    def cold(self, request, seconds):
        """Return a Rejection because only cold endpoints without a free slot are left.

        Parameters
        ----------
        request : PlacementRequest
        seconds : float
            Time until the next slot.

        Returns
        -------
        Rejection
        """
        return self._reject(request, "cold", seconds)

    def _reject(self, request, reason, seconds):
        # Jitter keeps callers that were rejected together from returning together.
        # They wait a third of their remaining time at most, so a longer delay is cut.
        longest_wait = max(MIN_RETRY_AFTER, request.time_left * MAX_WAIT_SHARE)
        earliest = min(max(MIN_RETRY_AFTER, seconds), longest_wait)
        jittered = earliest + (longest_wait - earliest) * self._prng.random()
        return Rejection(reason=reason, retry_after=round(jittered, 3))
