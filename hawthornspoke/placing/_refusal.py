"""Refusals, and when a refused caller is told to come back."""

from hawthornspoke.placing._messages import Decline

#: Seconds until endpoints of a service that has none may be known.
NO_ENDPOINT_RETRY_AFTER = 0.5

#: Seconds until weights may be there if no agent tells when.
NO_WEIGHTS_RETRY_AFTER = 1.0

#: Part of the remaining time that callers are willing to wait before they return.
MAX_WAIT_SHARE = 1 / 3

#: Least seconds that a refused caller is told to wait: below this it comes back
#: before anything has changed.
MIN_RETRY_AFTER = 0.2


class RejectionBuilder:
    """Declines requests.

    Parameters
    ----------
    chance : random.Random
    """

    __slots__ = ("_chance",)

    def __init__(self, *, rng):
        self._chance = rng

    def no_endpoint(self, ask):
        """Return a Decline for want of an endpoint."""
        return self._decline(ask, "no_endpoint", NO_ENDPOINT_RETRY_AFTER)

    def no_weights(self, ask, endpoints, now):
        """Return a Decline for want of weights that may answer.

        Parameters
        ----------
        ask : Ask
        endpoints : list of Endpoint
            Those that may have them soon.
        now : float

        Returns
        -------
        Decline
        """
        times = [
            endpoint.current_state.next_ready_at
            for endpoint in endpoints
            if endpoint.current_state is not None
            and endpoint.current_state.next_ready_at is not None
        ]
        soonest = max(0.0, min(times) - now) if times else NO_WEIGHTS_RETRY_AFTER
        return self._decline(ask, "no_weights", soonest)

    def full(self, ask, seconds):
        """Return a Decline for want of room.

        Parameters
        ----------
        ask : Ask
        seconds : float
            Until there may be some.

        Returns
        -------
        Decline
        """
        return self._decline(ask, "full", seconds)

    def _decline(self, ask, reason, seconds):
        # Callers refused together come back over a span, not at one moment. They
        # wait a third of their time at most, so a later time would only be cut.
        most = max(MIN_RETRY_AFTER, ask.time_left * MAX_WAIT_SHARE)
        earliest = min(max(MIN_RETRY_AFTER, seconds), most)
        spread = earliest + (most - earliest) * self._chance.random()
        return Decline(reason=reason, retry_after=round(spread, 3))
