"""Lookup of the route of a request, and choice of its service."""

import xxhash

#: Number of values of a 32-bit hash.
HASH_RANGE = 2**32


class RouteTable:
    """Finds routes by host and longest path prefix.

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
            Value of the Host header.
        target : str
            Request target: path and query as on the request line.

        Returns
        -------
        Route or None
        """
        by_prefix = self._route_by_prefix_by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        # Prefixes end in a slash, so one lookup per slash in the path is enough. A scan
        # of all routes would take time linear in their number, which can be hundreds.
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route, key):
    """Choose the service for a request by hashing, in proportion to the weights.

    Parameters
    ----------
    route : Route
    key : str
        Request id; the same id always maps to the same service.

    Returns
    -------
    str
        Name of the service.
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
