"""Selection of the endpoint for a request."""

from hawthornspoke.routing._candidates import Candidate, RequestTraits
from hawthornspoke.routing._policies import POLICIES
from hawthornspoke.routing._router import (
    Choose,
    Chosen,
    LoadHeard,
    Outcome,
    Router,
    Unroutable,
)

__all__ = [
    "POLICIES",
    "Candidate",
    "Choose",
    "Chosen",
    "LoadHeard",
    "Outcome",
    "RequestTraits",
    "Router",
    "Unroutable",
]
