"""Rate limits divided among entry hosts by their gossiped demand.

The demand of a host is the rate of the requests that it receives for an organisation.
"""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine

OVER_LIMIT = Failure(code="over_limit")

#: Share of a limit that is divided equally regardless of demand, so that an entry host
#: with new demand can admit requests before the others know of it.
EQUAL_SHARE = 0.2

#: Initial tokens of a host's bucket: those that its share of the limit earns in this
#: many seconds.
INITIAL_FILL_SECONDS = 0.25

#: Time constant in seconds of the demand average.
DEMAND_WINDOW = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SetLimits:
    """Limits of the current configuration document.

    Parameters
    ----------
    rate_by_organisation : dict of str to float
        Requests per second over all entry hosts.
    burst_by_organisation : dict of str to float
        Burst size in requests over all entry hosts.
    """

    rate_by_organisation: dict
    burst_by_organisation: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimantsUpdated:
    """The known claimants, among which limits are divided, and their entry hosts.

    Parameters
    ----------
    hosts_by_claimant : dict of str to int
        Number of entry hosts that each claimant represents, without this host. A
        claimant is an entry host of the own failure domain (1), or another failure
        domain as a whole.
    """

    hosts_by_claimant: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class DemandReported:
    """A claimant's demand by organisation, in requests per second."""

    claimant: str
    demand_by_organisation: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class AdmissionRequest:
    """Asks whether a request of an organisation is within its limit."""

    organisation: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Admitted:
    """The request is within the limit."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RateLimited:
    """The request is over the limit; the failure has the retry delay."""

    failure: object


class _TokenBucket:
    __slots__ = ("tokens", "refilled_at", "arrivals", "demand", "measured_at")

    def __init__(self, *, now):
        self.tokens = None
        self.refilled_at = now
        self.arrivals = 0
        self.demand = 0.0
        self.measured_at = now


class _ClaimantDemand:
    __slots__ = ("demand_by_organisation", "stale_deadline")

    def __init__(self, *, demand_by_organisation, stale_deadline):
        self.demand_by_organisation = demand_by_organisation
        self.stale_deadline = stale_deadline


@MACHINES.register("rate_shares")
class RateShares(Machine):
    """Enforces this entry host's share of each organisation's rate limit.

    Parameters
    ----------
    stale_after : float, default=5.0
        Seconds after which the demand of a silent claimant expires.

    Notes
    -----
    Claimants whose demand was reported recently share a limit by demand. A claimant
    that has been silent may be dead or partitioned. In the latter case it still admits
    requests, but by the same rule no more than an equal part of the limit for each of
    its hosts, so this part is left to it. A partition therefore lowers utilization a
    little, and the sum over all hosts stays near the limit without shared state at
    request time.
    """

    __slots__ = (
        "stale_after",
        "rate_by_organisation",
        "burst_by_organisation",
        "hosts_by_claimant",
        "demand_by_claimant",
        "bucket_by_organisation",
        "admitted",
        "limited",
    )
    PARAMS = {"stale_after": Bounds(kind=(int, float), low=0.01)}

    def __init__(self, *, stale_after=5.0):
        self.stale_after = stale_after
        self.rate_by_organisation = {}
        self.burst_by_organisation = {}
        self.hosts_by_claimant = {}
        self.demand_by_claimant = {}
        self.bucket_by_organisation = {}
        self.admitted = 0
        self.limited = 0

    def on_set_limits(self, message, *, now):
        """Set the limits of a new configuration document."""
        self.rate_by_organisation = dict(message.rate_by_organisation)
        self.burst_by_organisation = dict(message.burst_by_organisation)
        return []

    def on_claimants_updated(self, message, *, now):
        """Set the known claimants, whether or not their demand is current."""
        self.hosts_by_claimant = dict(message.hosts_by_claimant)
        for claimant in list(self.demand_by_claimant):
            if claimant not in self.hosts_by_claimant:
                del self.demand_by_claimant[claimant]
        return []

    def on_demand_reported(self, message, *, now):
        """Record a claimant's demand."""
        self.demand_by_claimant[message.claimant] = _ClaimantDemand(
            demand_by_organisation=dict(message.demand_by_organisation),
            stale_deadline=now + self.stale_after,
        )
        return []

    def on_admission_request(self, message, *, now):
        """Admit or reject a request.

        Parameters
        ----------
        message : AdmissionRequest
        now : float

        Returns
        -------
        list of Admitted or RateLimited
        """
        rate = self.rate_by_organisation.get(message.organisation)
        bucket = self._bucket(message.organisation, now=now)
        bucket.arrivals += 1
        if rate is None:
            return [Admitted()]
        share = self.share(message.organisation, now=now)
        self._refill(bucket, message.organisation, rate, share, now=now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            self.admitted += 1
            return [Admitted()]
        self.limited += 1
        wait = (1.0 - bucket.tokens) / max(rate * share, 1e-6)
        reason = f"over {rate:g} requests/s of {message.organisation}"
        return [RateLimited(failure=OVER_LIMIT.with_reason(reason, retry_after=wait))]

    def demand(self, *, now):
        """Return this host's demand, to be gossiped to the other claimants.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to float
            Requests per second by organisation.
        """
        demands = {}
        for name, bucket in self.bucket_by_organisation.items():
            self._update_demand(bucket, now=now)
            if bucket.demand > 0.01:
                demands[name] = round(bucket.demand, 2)
        return demands

    def share(self, organisation, *, now):
        """Return this host's share of a limit, between 0 and 1.

        Parameters
        ----------
        organisation : str
        now : float

        Returns
        -------
        float
        """
        hosts = 1 + sum(self.hosts_by_claimant.values())
        active = [
            (count, self.demand_by_claimant[name])
            for name, count in self.hosts_by_claimant.items()
            if name in self.demand_by_claimant
            and now < self.demand_by_claimant[name].stale_deadline
        ]
        active_hosts = 1 + sum(count for count, _ in active)
        active_share = active_hosts / hosts
        own = self._bucket(organisation, now=now)
        self._update_demand(own, now=now)
        other_demand = sum(
            claimant.demand_by_organisation.get(organisation, 0.0)
            for _, claimant in active
        )
        total = own.demand + other_demand
        demand_share = own.demand / total if total > 0 else 1.0 / active_hosts
        equal_share = 1.0 / active_hosts
        return active_share * (
            EQUAL_SHARE * equal_share + (1 - EQUAL_SHARE) * demand_share
        )

    def dump(self, *, now):
        """Return the state as plain data.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict
        """
        return {
            "hosts_by_claimant": dict(self.hosts_by_claimant),
            "admitted": self.admitted,
            "limited": self.limited,
            "by_organisation": {
                name: {
                    "part": round(self.share(name, now=now), 4),
                    "demand": round(bucket.demand, 2),
                    "tokens": None if bucket.tokens is None else bucket.tokens,
                }
                for name, bucket in list(self.bucket_by_organisation.items())
            },
        }

    def _bucket(self, organisation, *, now):
        bucket = self.bucket_by_organisation.get(organisation)
        if bucket is None:
            bucket = self.bucket_by_organisation[organisation] = _TokenBucket(now=now)
        return bucket

    def _update_demand(self, bucket, *, now):
        elapsed = now - bucket.measured_at
        if elapsed < DEMAND_WINDOW / 4:
            return
        rate = bucket.arrivals / elapsed
        weight = min(1.0, elapsed / DEMAND_WINDOW)
        bucket.demand += weight * (rate - bucket.demand)
        bucket.arrivals = 0
        bucket.measured_at = now

    def _refill(self, bucket, organisation, rate, share, *, now):
        burst = self.burst_by_organisation.get(organisation, rate)
        capacity = max(1.0, burst * share)
        if bucket.tokens is None:
            # A host that joins or restarts must not admit a whole burst in addition to
            # those of the other hosts, nor reject the second request that it gets.
            bucket.tokens = min(capacity, max(1.0, INITIAL_FILL_SECONDS * rate * share))
        earned = (now - bucket.refilled_at) * rate * share
        bucket.tokens = min(capacity, bucket.tokens + earned)
        bucket.refilled_at = now
