"""Finding a request's route."""

import xxhash

HASH_RANGE = 2**32


class RouteTable:
    """Routes by host, the longest prefix first.

    Parameters
    ----------
    routes : iterable of Route
    """

    __slots__ = ("_route_by_prefix_by_host",)

    def __init__(self, *, routes):
        self._route_by_prefix_by_host = {}
        for route in routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, *, host, target):
        """Return the route of a request.

        Parameters
        ----------
        host : str
            The request's Host field.
        target : str
            Path and query as they stand on the request line.

        Returns
        -------
        Route or None
        """
        by_prefix = self._route_by_prefix_by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        # Prefixes end in a slash, so only as many as the path has are looked up;
        # a walk over all routes would grow with a configuration of hundreds.
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_share(route, key):
    """Choose the service that serves a request.

    Parameters
    ----------
    route : Route
    key : str
        The request's id: one request always gets the same service.

    Returns
    -------
    str
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh32_intdigest(key.encode()) / HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
