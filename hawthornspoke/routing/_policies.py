"""Routing policies, by name.

Each policy has one method: ``choose(candidates, traits, *, rng)`` returns the name of
one of the candidates, of which there is at least one.
"""

from hawthornspoke.base import Registry, rendezvous_order

POLICIES = Registry(kind="routing policy")

#: Load per slot by which the endpoint that likely caches a prompt's prefix may exceed
#: the mean before another one is selected: a cached prompt saves about one prefill, and
#: queueing behind a full batch costs more than that.
AFFINITY_SLACK = 0.5

#: Load per slot from which an endpoint counts as full; once all endpoints of the own
#: failure domain are full, those of other failure domains are candidates as well.
FULL_LOAD = 1.0


@POLICIES.register("random")
class RandomChoice:
    """Selects any candidate; the baseline."""

    __slots__ = ()

    def choose(self, candidates, traits, *, rng):
        """Return the selected candidate's name; see the module docstring."""
        return rng.choice(candidates).node


@POLICIES.register("round_robin")
class RoundRobin:
    """Selects candidates in order of their names, separately for each service."""

    __slots__ = ("_next_index_by_service",)

    def __init__(self):
        self._next_index_by_service = {}

    def choose(self, candidates, traits, *, rng):
        """Return the selected candidate's name; see the module docstring."""
        ordered = sorted(candidates, key=lambda item: item.node)
        index = self._next_index_by_service.get(traits.service, 0)
        self._next_index_by_service[traits.service] = index + 1
        return ordered[index % len(ordered)].node


@POLICIES.register("least_in_flight")
class LeastInFlight:
    """Selects the candidate with the fewest in-flight requests of this host."""

    __slots__ = ()

    def choose(self, candidates, traits, *, rng):
        """Return the selected candidate's name; see the module docstring."""
        min_in_flight = min(item.in_flight for item in candidates)
        tied = [item for item in candidates if item.in_flight == min_in_flight]
        return rng.choice(tied).node


@POLICIES.register("two_choices")
class TwoChoices:
    """Selects the better of two random candidates, own failure domain first.

    Notes
    -----
    All entry hosts see the same delayed load reports. Selecting the least loaded
    endpoint would send all of them to the same one until the next report; two random
    choices spread the requests.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
           balancing", IEEE TPDS 12 (10), 2001.
    """

    __slots__ = ()

    def choose(self, candidates, traits, *, rng):
        """Return the selected candidate's name; see the module docstring."""
        pool = prefer_near(candidates)
        if len(pool) > 2:
            pool = rng.sample(pool, 2)
        return min(pool, key=cost).node


@POLICIES.register("prefix_affinity")
class PrefixAffinity:
    """Selects the endpoint that likely caches the prompt's prefix, unless it is full.

    Notes
    -----
    Endpoints' reports of what they cache are delayed and incomplete, so endpoints are
    ordered by a rendezvous hash of the prefix instead: all entry hosts prefer the same
    endpoint for a prefix, even if they received no report. The preference depends on
    the load: of the first two endpoints in hash order, the first that is within
    ``AFFINITY_SLACK`` of the mean load and isn't slow gets the request; if neither is,
    the better of two random candidates gets it.
    """

    __slots__ = ("_fallback",)

    def __init__(self):
        self._fallback = TwoChoices()

    def choose(self, candidates, traits, *, rng):
        """Return the selected candidate's name; see the module docstring."""
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
    """Return the own failure domain's candidates unless all of them are full.

    Parameters
    ----------
    candidates : list of Candidate

    Returns
    -------
    list of Candidate
    """
    near = [item for item in candidates if item.near]
    if near and min(item.load for item in near) < FULL_LOAD:
        return near
    return candidates


def cost(candidate):
    """Return the cost of sending a request to a candidate, for comparison.

    Parameters
    ----------
    candidate : Candidate

    Returns
    -------
    float
        Product of load and latency: a slow endpoint with an empty queue is no better
        than a fast one with a short queue.
    """
    return (candidate.load + 1.0 / candidate.slots) * max(candidate.latency, 0.001)


def is_slow(candidate, best_latency):
    """Return whether a candidate is slow compared with the best.

    Parameters
    ----------
    candidate : Candidate
    best_latency : float

    Returns
    -------
    bool
    """
    return candidate.latency > 3.0 * max(best_latency, 0.001)
