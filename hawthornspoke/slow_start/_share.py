"""Shares of the rate of a cold endpoint."""

import math

from hawthornspoke.slow_start._send_slots import OPEN_TIME

#: Part of the rate for the hosts of the endpoint's own failure domain, which prefer it.
#: All other hosts divide the rest.
NEAR_PART = 0.8

#: Standard deviations of a Poisson process that the requests of a second may exceed
#: their mean by. Requests on grids spread less than that.
BURST_DEVIATIONS = 2.0


def sustained_rate(rate, *, max_per_second):
    """Return the rate at which random slots leave any second within its bound.

    If demand appears at once on all hosts, one second gets the requests of the slots
    that are open and of those that start in it.

    Parameters
    ----------
    rate : float
        Requests per second that the endpoint bears.
    max_per_second : float
        Requests that it bears in any single second.

    Returns
    -------
    float
        At most ``rate``.
    """
    # Solves rate * window + deviations * sqrt(rate) = max_per_second for the rate.
    window = 1 + OPEN_TIME
    discriminant = BURST_DEVIATIONS**2 + 4 * window * max_per_second
    root = (math.sqrt(discriminant) - BURST_DEVIATIONS) / (2 * window)
    return min(rate, root**2)


def share_of_rate(rate, *, is_near, near, all_hosts):
    """Return the requests per second that this host may send.

    Parameters
    ----------
    rate : float
        Of all hosts together.
    is_near : bool
        Whether the endpoint is in this host's failure domain.
    near : float
        Entry hosts in this host's failure domain.
    all_hosts : float
        Entry hosts in all failure domains.

    Returns
    -------
    float
    """
    if not is_near:
        return rate * (1 - NEAR_PART) / all_hosts
    return rate * NEAR_PART / near
