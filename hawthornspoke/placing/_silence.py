"""Endpoints that are suspected because requests there make no progress."""

import math

from hawthornspoke.placing._messages import EndpointEjected, EndpointReadmitted

#: Seconds between trial requests to a suspected endpoint at which this host has no
#: request in progress.
TRIAL_INTERVAL = 0.5

#: The same while this host has requests there: they show when the endpoint goes on,
#: unless their connections are dead.
OBSERVED_TRIAL_INTERVAL = 2.0


class Suspicion:
    """Whether an endpoint is suspected, and when it may get a trial request.

    Silence is evidence of a delay, not of a failure. So a suspicion is no ejection for
    some time: it ends with the next response data, whenever that comes. If no request
    is left that could bring it, one request at a time tries the endpoint.

    Attributes
    ----------
    began_at : float or None
        None if the endpoint isn't suspected.
    """

    __slots__ = ("began_at", "_evidence_at")

    def __init__(self):
        self.began_at = None
        self._evidence_at = -math.inf

    @property
    def is_active(self):
        """Whether the endpoint is suspected."""
        return self.began_at is not None

    def record_silence(self, now):
        """Record that a request there is silent."""
        if self.began_at is None:
            self.began_at = now
        self._evidence_at = now

    def record_trial(self, now):
        """Record that a request is about to be sent there."""
        self._evidence_at = now

    def end(self):
        """Trust the endpoint again."""
        self.began_at = None

    def excludes_request(self, now, *, is_observed):
        """Return whether a new request shouldn't be sent there.

        Parameters
        ----------
        now : float
        is_observed : bool
            Whether this host has a request in progress there.

        Returns
        -------
        bool
        """
        if self.began_at is None:
            return False
        interval = OBSERVED_TRIAL_INTERVAL if is_observed else TRIAL_INTERVAL
        return now < self._evidence_at + interval


class SuspectedEndpoints:
    """Keeps track of all endpoints that are suspected.

    Attributes
    ----------
    ids : set of str
    """

    __slots__ = ("ids",)

    def __init__(self):
        self.ids = set()

    def suspect(self, endpoint, now):
        """Suspect an endpoint with a silent request.

        Parameters
        ----------
        endpoint : Endpoint
        now : float

        Returns
        -------
        list of EndpointEjected
            Empty if it was suspected before.
        """
        was_suspected = endpoint.suspicion.is_active
        endpoint.suspicion.record_silence(now)
        self.ids.add(endpoint.endpoint_id)
        if was_suspected:
            return []
        ejected = EndpointEjected(
            endpoint_id=endpoint.endpoint_id,
            reason="silent",
            seconds=TRIAL_INTERVAL,
            load=endpoint.load,
        )
        return [ejected]

    def readmit(self, endpoint, now):
        """End the suspicion of an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
        now : float

        Returns
        -------
        list of EndpointReadmitted
            Empty if it wasn't suspected.
        """
        self.ids.discard(endpoint.endpoint_id)
        began_at = endpoint.suspicion.began_at
        if began_at is None:
            return []
        endpoint.suspicion.end()
        readmitted = EndpointReadmitted(
            endpoint_id=endpoint.endpoint_id, seconds=now - began_at
        )
        return [readmitted]

    def refresh(self, endpoint_by_id):
        """Drop endpoints that have restarted or are no longer known.

        Parameters
        ----------
        endpoint_by_id : dict of str to Endpoint
        """
        for endpoint_id in list(self.ids):
            endpoint = endpoint_by_id.get(endpoint_id)
            if endpoint is None or not endpoint.suspicion.is_active:
                self.ids.discard(endpoint_id)
