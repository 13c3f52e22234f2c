"""Rules of operators on which endpoints may get a request at all.

They hold for first attempts, retries and resumed streams alike, at the selection and
again right before the write. No load makes an exception.
"""

#: Names of the constraints, as reasons of rejections.
REGION_NOT_ALLOWED = "region_not_allowed"
EVACUATED = "evacuated"


class PlacementConstraints:
    """Decides which endpoints operators allow for a request.

    Parameters
    ----------
    region_by_failure_domain : dict of str to str
        An endpoint in a failure domain that is missing here is in no region.

    Attributes
    ----------
    evacuated_domains : frozenset of str
        Failure domains whose endpoints get no requests.
    """

    __slots__ = ("region_by_failure_domain", "evacuated_domains")

    def __init__(self, *, region_by_failure_domain):
        self.region_by_failure_domain = region_by_failure_domain
        self.evacuated_domains = frozenset()

    def violated_by(self, endpoint, request):
        """Return the name of a constraint against an endpoint, None if there is none.

        Parameters
        ----------
        endpoint : Endpoint
        request : PlacementRequest

        Returns
        -------
        str or None
        """
        failure_domain = endpoint.entry.failure_domain
        # The region comes first: where it forbids an endpoint, the end of an evacuation
        # wouldn't help.
        if request.allowed_regions is not None:
            region = self.region_by_failure_domain.get(failure_domain)
            if region not in request.allowed_regions:
                return REGION_NOT_ALLOWED
        return EVACUATED if failure_domain in self.evacuated_domains else None

    def allowed(self, endpoints, request):
        """Return the endpoints that no constraint forbids for a request.

        Parameters
        ----------
        endpoints : list of Endpoint
        request : PlacementRequest

        Returns
        -------
        list of Endpoint
        """
        if not self.evacuated_domains and request.allowed_regions is None:
            return endpoints
        return [item for item in endpoints if self.violated_by(item, request) is None]

    def reason(self, endpoints, request):
        """Return why no endpoint is allowed.

        Parameters
        ----------
        endpoints : list of Endpoint
            At least one.
        request : PlacementRequest

        Returns
        -------
        str
            ``EVACUATED`` if the end of an evacuation would allow some of them, else
            ``REGION_NOT_ALLOWED``.
        """
        reasons = {self.violated_by(item, request) for item in endpoints}
        return EVACUATED if EVACUATED in reasons else REGION_NOT_ALLOWED

    def dump(self):
        """Return the state as plain data."""
        return {"evacuated": sorted(self.evacuated_domains)}
