"""Routing policies, by name.

Each has one verb: ``choose(candidates, traits, *, rng)`` returns the name of one
of the candidates, of which there is at least one.
"""

from hawthornspoke.base import Registry, rendezvous_order

POLICIES = Registry(kind="routing policy")

#: How much fuller, in requests per slot, the endpoint that holds a prefix may be
#: than the mean before affinity gives way: one cached prompt saves about a
#: prefill, and waiting behind a full batch costs more than that.
AFFINITY_SLACK = 0.5

#: Load per slot from which an endpoint counts as full and a failure domain is
#: left for another.
FULL = 1.0


@POLICIES.register("random")
class RandomChoice:
    """Any candidate: the baseline."""

    __slots__ = ()

    def choose(self, candidates, traits, *, rng):
        """Return a candidate's name; see the module."""
        return rng.choice(candidates).node


@POLICIES.register("round_robin")
class RoundRobin:
    """The next candidate in order of names, for each service."""

    __slots__ = ("_turn_by_service",)

    def __init__(self):
        self._turn_by_service = {}

    def choose(self, candidates, traits, *, rng):
        """Return a candidate's name; see the module."""
        ordered = sorted(candidates, key=lambda item: item.node)
        turn = self._turn_by_service.get(traits.service, 0)
        self._turn_by_service[traits.service] = turn + 1
        return ordered[turn % len(ordered)].node


@POLICIES.register("least_in_flight")
class LeastInFlight:
    """The candidate with the fewest requests of this entry host."""

    __slots__ = ()

    def choose(self, candidates, traits, *, rng):
        """Return a candidate's name; see the module."""
        fewest = min(item.in_flight for item in candidates)
        tied = [item for item in candidates if item.in_flight == fewest]
        return rng.choice(tied).node


@POLICIES.register("two_choices")
class TwoChoices:
    """The better of two random candidates, own failure domain first.

    Notes
    -----
    All entry hosts see the same late load reports. Taking the least loaded
    endpoint would send all of them to the same one until the next report; two
    random choices spread them.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
           balancing", IEEE TPDS 12 (10), 2001.
    """

    __slots__ = ()

    def choose(self, candidates, traits, *, rng):
        """Return a candidate's name; see the module."""
        pool = prefer_near(candidates)
        if len(pool) > 2:
            pool = rng.sample(pool, 2)
        return min(pool, key=cost).node


@POLICIES.register("prefix_affinity")
class PrefixAffinity:
    """The endpoint that likely holds the prompt's prefix, unless it is full.

    Notes
    -----
    Cache events come late and with gaps, so affinity is by rendezvous hash of
    the prefix: an entry host that has heard no event still sends a prefix to
    where the others send it. It bends under load: the first in hash order that
    is within ``AFFINITY_SLACK`` of the mean load takes the request.
    """

    __slots__ = ("_fallback",)

    def __init__(self):
        self._fallback = TwoChoices()

    def choose(self, candidates, traits, *, rng):
        """Return a candidate's name; see the module."""
        if not traits.prefix:
            return self._fallback.choose(candidates, traits, rng=rng)
        pool = prefer_near(candidates)
        by_name = {item.node: item for item in pool}
        mean = sum(item.load for item in pool) / len(pool)
        limit = mean + AFFINITY_SLACK
        best_latency = min(item.latency for item in pool)
        for name in rendezvous_order(key=traits.prefix, nodes=by_name)[:2]:
            item = by_name[name]
            if item.load <= limit and not is_slow(item, best_latency):
                return name
        return self._fallback.choose(candidates, traits, rng=rng)


def prefer_near(candidates):
    """Return the own failure domain's candidates while they are not all full.

    Parameters
    ----------
    candidates : list of Candidate

    Returns
    -------
    list of Candidate
    """
    near = [item for item in candidates if item.near]
    if near and min(item.load for item in near) < FULL:
        return near
    return candidates


def cost(candidate):
    """Return what a request would suffer at a candidate, for comparison.

    Parameters
    ----------
    candidate : Candidate

    Returns
    -------
    float
        Load and slowness multiply: a slow endpoint with an empty queue is no
        better than a quick one with a short queue.
    """
    return (candidate.load + 1.0 / candidate.slots) * max(candidate.latency, 0.001)


def is_slow(candidate, best_latency):
    """Tell whether a candidate is slow compared with the best.

    Parameters
    ----------
    candidate : Candidate
    best_latency : float

    Returns
    -------
    bool
    """
    return candidate.latency > 3.0 * max(best_latency, 0.001)
