"""Selection of the endpoint for a request, by exchangeable policies."""

from hawthornspoke.routing._candidates import Candidate, RequestTraits
from hawthornspoke.routing._policies import POLICIES
from hawthornspoke.routing._router import (
    AttemptEnded,
    EndpointSelected,
    LoadReported,
    Router,
    RoutingRequest,
    Unroutable,
)

__all__ = [
    "POLICIES",
    "AttemptEnded",
    "Candidate",
    "EndpointSelected",
    "LoadReported",
    "RequestTraits",
    "Router",
    "RoutingRequest",
    "Unroutable",
]
