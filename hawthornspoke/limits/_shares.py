"""Rate limits divided among entry hosts by gossip of demand."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Failure, Machine

OVER_LIMIT = Failure(code="over_limit")

#: Part of a limit that is divided equally whatever the demand, so that an entry
#: host whose demand starts from nothing can admit before the others hear of it.
EQUAL_PART = 0.2

#: Seconds of its part that a host may admit at once when it starts.
START_SECONDS = 0.25

#: Seconds over which demand is averaged.
DEMAND_WINDOW = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SetLimits:
    """Limits by the document in force.

    Parameters
    ----------
    rate_by_organisation : dict of str to float
        Requests a second over all entry hosts.
    burst_by_organisation : dict of str to float
        Requests that may come at once over all entry hosts.
    """

    rate_by_organisation: dict
    burst_by_organisation: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class PeersKnown:
    """How many entry hosts each claimant stands for.

    Parameters
    ----------
    hosts_by_claimant : dict of str to int
        Without this host. A claimant is an entry host of the own failure
        domain, or a whole other failure domain.
    """

    hosts_by_claimant: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class DemandHeard:
    """A claimant's demand by organisation, in requests a second."""

    claimant: str
    demand_by_organisation: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class Request:
    """A request of an organisation asks to be admitted."""

    organisation: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Admitted:
    """The request is within the limit."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Limited:
    """The request is over the limit; the failure says when to come back."""

    failure: object


class _Bucket:
    __slots__ = ("tokens", "filled_at", "arrivals", "demand", "counted_at")

    def __init__(self, *, now):
        self.tokens = None
        self.filled_at = now
        self.arrivals = 0
        self.demand = 0.0
        self.counted_at = now


class _Claimant:
    __slots__ = ("demand_by_organisation", "stale_deadline")

    def __init__(self, *, demand_by_organisation, stale_deadline):
        self.demand_by_organisation = demand_by_organisation
        self.stale_deadline = stale_deadline


@MACHINES.register("rate_shares")
class RateShares(Machine):
    """This entry host's part of each organisation's limit.

    Parameters
    ----------
    stale_after : float, default=5.0
        Seconds after which a claimant that is not heard is no longer believed.

    Notes
    -----
    Each claimant that is heard gets a part by its demand. For one that is not
    heard (dead, or behind a cut) its equal part is set aside: it may be alive
    and admitting, and by the same rule it takes no more than that. So a cut
    lowers use a little and the sum over all hosts stays near the limit, without
    any state shared at the time of a request.
    """

    __slots__ = (
        "stale_after",
        "rate_by_organisation",
        "burst_by_organisation",
        "hosts_by_claimant",
        "by_claimant",
        "by_organisation",
        "admitted",
        "limited",
    )
    PARAMS = {"stale_after": Bounds(kind=(int, float), low=0.01)}

    def __init__(self, *, stale_after=5.0):
        self.stale_after = stale_after
        self.rate_by_organisation = {}
        self.burst_by_organisation = {}
        self.hosts_by_claimant = {}
        self.by_claimant = {}
        self.by_organisation = {}
        self.admitted = 0
        self.limited = 0

    def on_set_limits(self, message, *, now):
        """Take the limits of a new document."""
        self.rate_by_organisation = dict(message.rate_by_organisation)
        self.burst_by_organisation = dict(message.burst_by_organisation)
        return []

    def on_peers_known(self, message, *, now):
        """Take the entry hosts that are known, heard or not."""
        self.hosts_by_claimant = dict(message.hosts_by_claimant)
        for claimant in list(self.by_claimant):
            if claimant not in self.hosts_by_claimant:
                del self.by_claimant[claimant]
        return []

    def on_demand_heard(self, message, *, now):
        """Take a claimant's demand."""
        self.by_claimant[message.claimant] = _Claimant(
            demand_by_organisation=dict(message.demand_by_organisation),
            stale_deadline=now + self.stale_after,
        )
        return []

    def on_request(self, message, *, now):
        """Admit or refuse one request.

        Parameters
        ----------
        message : Request
        now : float

        Returns
        -------
        list of Admitted or Limited
        """
        rate = self.rate_by_organisation.get(message.organisation)
        bucket = self._bucket(message.organisation, now=now)
        bucket.arrivals += 1
        if rate is None:
            return [Admitted()]
        part = self.part(message.organisation, now=now)
        self._fill(bucket, message.organisation, rate, part, now=now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            self.admitted += 1
            return [Admitted()]
        self.limited += 1
        wait = (1.0 - bucket.tokens) / max(rate * part, 1e-6)
        reason = f"over {rate:g} requests/s of {message.organisation}"
        return [Limited(failure=OVER_LIMIT.because(reason, retry_after=wait))]

    def demand(self, *, now):
        """Return this host's own demand, to be gossiped.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to float
            Requests a second by organisation.
        """
        demands = {}
        for name, bucket in self.by_organisation.items():
            self._count(bucket, now=now)
            if bucket.demand > 0.01:
                demands[name] = round(bucket.demand, 2)
        return demands

    def part(self, organisation, *, now):
        """Return this host's part of a limit, between 0 and 1.

        Parameters
        ----------
        organisation : str
        now : float

        Returns
        -------
        float
        """
        hosts = 1 + sum(self.hosts_by_claimant.values())
        heard = [
            (count, self.by_claimant[name])
            for name, count in self.hosts_by_claimant.items()
            if name in self.by_claimant and now < self.by_claimant[name].stale_deadline
        ]
        heard_hosts = 1 + sum(count for count, _ in heard)
        shared = heard_hosts / hosts
        own = self._bucket(organisation, now=now)
        self._count(own, now=now)
        others = sum(
            claimant.demand_by_organisation.get(organisation, 0.0)
            for _, claimant in heard
        )
        total = own.demand + others
        by_demand = own.demand / total if total > 0 else 1.0 / heard_hosts
        equal = 1.0 / heard_hosts
        return shared * (EQUAL_PART * equal + (1 - EQUAL_PART) * by_demand)

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
                    "part": round(self.part(name, now=now), 4),
                    "demand": round(bucket.demand, 2),
                    "tokens": None if bucket.tokens is None else bucket.tokens,
                }
                for name, bucket in list(self.by_organisation.items())
            },
        }

    def _bucket(self, organisation, *, now):
        bucket = self.by_organisation.get(organisation)
        if bucket is None:
            bucket = self.by_organisation[organisation] = _Bucket(now=now)
        return bucket

    def _count(self, bucket, *, now):
        elapsed = now - bucket.counted_at
        if elapsed < DEMAND_WINDOW / 4:
            return
        rate = bucket.arrivals / elapsed
        weight = min(1.0, elapsed / DEMAND_WINDOW)
        bucket.demand += weight * (rate - bucket.demand)
        bucket.arrivals = 0
        bucket.counted_at = now

    def _fill(self, bucket, organisation, rate, part, *, now):
        burst = self.burst_by_organisation.get(organisation, rate)
        capacity = max(1.0, burst * part)
        if bucket.tokens is None:
            # A host that joins or restarts must not bring a whole new burst,
            # nor refuse the second caller of its life.
            bucket.tokens = min(capacity, max(1.0, START_SECONDS * rate * part))
        earned = (now - bucket.filled_at) * rate * part
        bucket.tokens = min(capacity, bucket.tokens + earned)
        bucket.filled_at = now
