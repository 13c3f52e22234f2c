"""Shifts requests to other failure domains while the own one is more loaded.

Callers of one failure domain may ask for much more than those of another with as many
engines. Without a shift, the engines of the first are used up to where requests get
late before any other engine gets one.
"""

#: Share of the slots in use, at engines of the own failure domain, from which others
#: are considered. Below it a request is on time anywhere, and stays near.
MIN_OCCUPANCY = 0.75

#: Seconds by which a request must be served sooner in another failure domain: the
#: network between them, and the uncertainty of loads that are a second old.
MIN_ADVANTAGE = 0.03

#: Advantage in seconds at which as many requests as possible are shifted. The shift
#: grows with the advantage and reduces it in turn, so that it settles instead of
#: swinging from one failure domain to the other.
FULL_ADVANTAGE = 0.3

#: Largest share of the requests that is shifted while near engines are on time.
MAX_SHIFT_SHARE = 0.5

#: Age of a reported load in seconds up to which an engine in another failure domain
#: gets shifted requests. Agents report unchanged loads there every 3.6 s at least.
MAX_LOAD_AGE = 5.0


def has_recent_load(report_age):
    """Return whether a load is recent enough for a shift.

    An engine whose load isn't reported would count as empty.

    Parameters
    ----------
    report_age : float or None
        Seconds; None if no load was reported.

    Returns
    -------
    bool
    """
    return report_age is not None and report_age < MAX_LOAD_AGE


def is_loaded(loads, slots):
    """Return whether the engines of the own failure domain are loaded.

    Parameters
    ----------
    loads : list of float
        Requests at each engine; at least one.
    slots : int
        Of an engine.

    Returns
    -------
    bool
    """
    return sum(loads) >= MIN_OCCUPANCY * slots * len(loads)


def shift_share(*, near_cost, far_cost):
    """Return the share of requests to send to other failure domains.

    Parameters
    ----------
    near_cost, far_cost : float
        What a request costs at the engines of the own failure domain and at others, in
        seconds.

    Returns
    -------
    float
        From 0 to ``MAX_SHIFT_SHARE``.
    """
    advantage = near_cost - far_cost - MIN_ADVANTAGE
    share = MAX_SHIFT_SHARE * advantage / (FULL_ADVANTAGE - MIN_ADVANTAGE)
    return min(MAX_SHIFT_SHARE, max(0.0, share))
