"""Polling intervals for the platform's tables."""

#: Long-poll seconds for the operators' table, which contains the configuration and the
#: declared versions of weights. Each answer confirms that no API key was revoked before
#: it, and a missing answer shows that this host is partitioned from the platform.
#: Neighbours that query this host then still have time to read the platform before a
#: change has to be in force, two seconds after it was accepted.
OPERATORS_POLL_WAIT = 1.0

#: Long-poll seconds for the endpoints' table. If the answer to a query is lost, no
#: change is received until the query times out. With a wait of ten seconds, the host
#: that reads the platform and the hosts that query it learned of a leaving endpoint
#: after 11.5 s, but such an endpoint must get no requests after two seconds.
ENDPOINTS_POLL_WAIT = 1.0

#: Seconds between an answer with changed endpoints and the next query. Many engines
#: load weights within a second, and each load is a change. Entry hosts learn of loads
#: from the agents already, but a leaving endpoint must be noticed within two seconds.
ENDPOINTS_CHANGE_PAUSE = 0.2

#: Seconds between an answer with a changed operators' table and the next query. A
#: configuration has 30 to 200 KB and may change a dozen times per second; one host of
#: each failure domain reads it over a link between regions that also carries live
#: requests.
OPERATORS_CHANGE_PAUSE = 0.4

#: Seconds by which the answer to a long poll may be overdue before a hedged request is
#: sent. The platform takes 0.24 s when it is 60 times slower than usual.
HEDGE_AFTER = 0.3

#: Maximum time, in seconds, that a restarted entry host waits for an agent to name the
#: others of its failure domain. Covers hosts that restart within 0.3 s of each other,
#: and reading the list of endpoints over a busy link between regions.
DISCOVERY_TIMEOUT = 0.8


def discovery_timeout(*, first_start):
    """Return the maximum wait in seconds for an agent to name the neighbours.

    Parameters
    ----------
    first_start : bool
        Whether all hosts start for the first time. No endpoints are listed then, so no
        agent can be asked.

    Returns
    -------
    float
    """
    return 0.0 if first_start else DISCOVERY_TIMEOUT
