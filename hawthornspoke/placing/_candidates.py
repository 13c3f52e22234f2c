"""Engines that are evaluated for one request."""


class Candidate:
    """An engine that may serve a request, its estimated load and start time.

    ``forecast`` tells whether the request starts before the engine's weights expire.
    """

    __slots__ = ("endpoint", "load", "expected", "forecast")

    def __init__(self, *, endpoint, load, expected, forecast):
        self.endpoint = endpoint
        self.load = load
        self.expected = expected
        self.forecast = forecast


class CandidateGroup:
    """Some of the engines, evaluated for one request.

    Attributes
    ----------
    near : bool
        Whether they are in the own failure domain.
    candidates : list of Candidate
        Engines with eligible weights.
    valid : list of Candidate
        Candidates that start the request before their weights expire.
    on_time : list of Candidate
        Valid candidates that respond in time.
    admitting : list of Candidate
        Those of ``on_time`` whose reserved slots the request leaves free.
    """

    __slots__ = ("near", "candidates", "valid", "on_time", "admitting")

    def __init__(self, *, near, candidates, valid, on_time, admitting):
        self.near = near
        self.candidates = candidates
        self.valid = valid
        self.on_time = on_time
        self.admitting = admitting


class Selection:
    """Selection of an engine for one request.

    Attributes
    ----------
    request : PlacementRequest
    engine : EngineProfile
    eligibility : WeightsEligibility
    known : list of Endpoint
        Endpoints to select from.
    limit : AdmissionLimit or None
    groups : list of CandidateGroup
        Groups evaluated so far.
    """

    __slots__ = ("request", "engine", "eligibility", "known", "limit", "groups")

    def __init__(self, *, request, engine, eligibility, known, limit):
        self.request = request
        self.engine = engine
        self.eligibility = eligibility
        self.known = known
        self.limit = limit
        self.groups = []

    @property
    def queue_share(self):
        """Share of an engine's waiting requests that it starts before this one."""
        return 1.0 if self.limit is None else self.limit.queue_share

    @property
    def has_free_slot(self):
        """Whether an engine has a free slot that the request could have used."""
        return any(
            item.load <= self.engine.slots - 1
            for group in self.groups
            for item in group.valid
        )

    def admitting(self, candidates):
        """Return the candidates whose reserved slots the request leaves free."""
        if self.limit is None or self.limit.reserved_slots is None:
            return candidates
        max_load = self.engine.slots - 1 - self.limit.reserved_slots
        return [item for item in candidates if item.load <= max_load]
