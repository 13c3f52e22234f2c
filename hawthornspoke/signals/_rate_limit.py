"""The rate limit of one endpoint, and this host's permits to send requests to it."""

from hawthornspoke.signals._signal import SIGNALS, Signal, decode_number

RATE_LIMIT = "rate_limit"


@SIGNALS.register(RATE_LIMIT)
class RateLimit(Signal):
    """The requests that this host may send to an endpoint that names a rate limit.

    Without a limit any number may be sent; with one, each needs a permit.
    """

    HEADER = "X-Rate-Limit"
    __slots__ = (
        "_learned_at",
        "_permits",
        "_usable_at",
        "_expires_at",
        "_next_claim_at",
        "_wanted",
    )

    def __init__(self):
        super().__init__()
        self._learned_at = float("-inf")
        self._permits = 0
        self._usable_at = 0.0
        self._expires_at = 0.0
        self._next_claim_at = 0.0
        self._wanted = 0

    @property
    def rate(self):
        """Requests per second that the endpoint accepts from all entry hosts together.

        None if it names no limit.
        """
        return self.value

    @classmethod
    def decode(cls, text, *, status):
        """Return the requests per second."""
        return decode_number(text)

    def observe(self, value, *, now, rng):
        """Set the limit; return whether it changed."""
        return self.set_rate(value, now=now)

    def observe_absence(self, response, *, now):
        """End the limit if the response shows that there is none any more.

        Only a success does. A response to an earlier request than the one that showed
        the limit may have been overtaken.
        """
        is_newer = response.sent_at >= self._learned_at
        if self.rate is None or not response.is_success or not is_newer:
            return False
        return self.set_rate(None, now=now)

    def set_rate(self, rate, *, now):
        """Set the limit; return whether it changed."""
        changed = rate != self.rate
        self.value = rate
        self._learned_at = now
        if rate is None:
            self._permits = 0
            self._wanted = 0
        return changed

    def has_permit(self, now):
        """Return whether a request may be sent now."""
        return self.rate is None or self._has_usable_permit(now)

    def take_permit(self, now):
        """Use a permit, and return until when the request may be sent.

        Returns
        -------
        float or None
            None if no permit is usable.
        """
        if not self._has_usable_permit(now):
            return None
        self._permits -= 1
        return self._expires_at

    def want_permit(self):
        """Count a request that could have used a permit."""
        self._wanted += 1

    def start_claim(self, *, now, retry_at):
        """Return how many permits to claim now, 0 if no claim is due.

        Parameters
        ----------
        now : float
        retry_at : float
            Time of the next claim if this one isn't answered.

        Returns
        -------
        int
        """
        holds_permits = self._permits and now < self._expires_at
        if self.rate is None or holds_permits or now < self._next_claim_at:
            return 0
        wanted, self._wanted = self._wanted, 0
        self._next_claim_at = retry_at
        return wanted

    def add_permits(self, count, *, usable_at, expires_at):
        """Record granted permits."""
        if self.rate is None:
            return
        self._permits = count
        self._usable_at = usable_at
        self._expires_at = expires_at
        self._next_claim_at = 0.0

    def defer_claim(self, retry_at):
        """Record that no permits are to be had before a time."""
        self._next_claim_at = retry_at

    def permits_expected_at(self, now):
        """Return the earliest time at which permits may be usable."""
        if self._permits and now < self._expires_at:
            return max(now, self._usable_at)
        return max(now, self._next_claim_at)

    def dump(self, *, now):
        """Return the state as plain data."""
        if self.rate is None:
            return None
        return {
            "rate": self.rate,
            "permits": self._permits if now < self._expires_at else 0,
            "usable_in": round(max(0.0, self._usable_at - now), 3),
        }

    def _has_usable_permit(self, now):
        return self._permits > 0 and self._usable_at <= now < self._expires_at
