"""How requests spread over engines whose reported loads are a moment old.

Until the next reports, all entry hosts see the same loads, and each sends its requests
by them. If all take the best engine, or the better of two among a few that look free,
several requests reach one engine at the same moment, which reads their prompts one
after the other: the first tokens of most of them are late.
"""

from bisect import bisect_right
from itertools import accumulate

from hawthornspoke.base import Registry

SPREADING = Registry(kind="spreading of requests")

#: Requests of other hosts before the next reports below which they are not reckoned
#: with: there are next to none, or this host hasn't learned of the others yet.
MIN_ARRIVALS = 1.0


@SPREADING.register("better_of_two")
def better_of_two(costs, *, arrivals, cost_per_request, point, rng):
    """Return the index of the cheaper of two random engines.

    Parameters
    ----------
    costs : list of float
        Seconds; at least one.
    arrivals : float
        Not used.
    cost_per_request : float
        Not used.
    point : float
        Not used.
    rng : random.Random

    Returns
    -------
    int
    """
    pair = rng.sample(range(len(costs)), min(2, len(costs)))
    return min(pair, key=costs.__getitem__)


@SPREADING.register("common_level")
def common_level(costs, *, arrivals, cost_per_request, point, rng):
    """Return the index of an engine, drawn so that all hosts together level the costs.

    The requests that the other hosts send before the next reports would, if they were
    assigned one by one to the cheapest engine, raise the cheap engines to a common
    level. Each engine is drawn with a probability in proportion to what it lacks to
    this level. With few other requests these are the cheapest engines; with many, the
    draw is nearly even. M. Dahlin, Interpreting Stale Load Information (1999).

    Parameters
    ----------
    costs : list of float
        Seconds; at least one.
    arrivals : float
        Requests expected from other hosts before the next reports.
    cost_per_request : float
        Seconds by which a request raises the cost of its engine.
    point : float
        From 0 to 1, where to draw.
    rng : random.Random

    Returns
    -------
    int
    """
    if arrivals < MIN_ARRIVALS:
        return better_of_two(
            costs,
            arrivals=arrivals,
            cost_per_request=cost_per_request,
            point=point,
            rng=rng,
        )
    level = _level(costs, arrivals * cost_per_request)
    weights = [level - seconds if seconds < level else 0.0 for seconds in costs]
    sums = list(accumulate(weights))
    return min(bisect_right(sums, point * sums[-1]), len(sums) - 1)


def _level(costs, amount):
    """Return the level up to which an amount fills the lowest of some costs."""
    total, level = 0.0, 0.0
    ordered = sorted(costs)
    for count, seconds in enumerate(ordered, start=1):
        total += seconds
        level = (total + amount) / count
        if count == len(ordered) or level <= ordered[count]:
            break
    return level
