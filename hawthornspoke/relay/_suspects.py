"""Detection and quarantine of poison requests, which crash endpoints.

Suspects are requests here, not hosts or endpoints. Evidence against a request is that
it was running at an endpoint when the endpoint's process ended. Enough of it puts the
request into quarantine: no endpoint gets it.
"""

import asyncio
import collections

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.httpio import refuses_connections
from hawthornspoke.quarantine import (
    EndpointEnded,
    EvidenceReceived,
    EvidenceUpdate,
    Quarantine,
    Quarantined,
    RequestCompleted,
    decode_evidence,
)
from hawthornspoke.relay._sharing import EvidenceSharing

QUARANTINED = Failure(code="quarantined")

#: Timeout in seconds of the check whether an endpoint still accepts connections.
PROBE_TIMEOUT = 0.3

#: Number of idle endpoints that are probed if the only one in use has ended. Two that
#: have ended as well can't be explained by one request, which has two attempts.
IDLE_PROBES = 2

#: Maximum number of fingerprints kept of requests that this host had sent to an
#: endpoint and that were running there when it ended. If one of them is quarantined,
#: this host stores the evidence.
MAX_OBSERVED = 512


class PoisonRequestTracker:
    """Finds out which requests crash endpoints, and shares the evidence.

    Parameters
    ----------
    fleet : Fleet
    log : EventLog
    metrics : Metrics

    Attributes
    ----------
    quarantine : Quarantine
    sharing : EvidenceSharing
    """

    __slots__ = (
        "quarantine",
        "sharing",
        "_fleet",
        "_log",
        "_metrics",
        "_attempts_by_fingerprint",
        "_requests_by_incarnation",
        "_probe_by_incarnation",
        "_observed_locally",
        "_unrecorded",
        "_has_unrecorded",
    )

    def __init__(self, *, fleet, log, metrics):
        self.quarantine = Quarantine()
        self.sharing = EvidenceSharing(
            quarantine=self.quarantine, failure_domain_at=fleet.failure_domain_at
        )
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._attempts_by_fingerprint = {}
        self._requests_by_incarnation = {}
        self._probe_by_incarnation = {}
        self._observed_locally = collections.deque(maxlen=MAX_OBSERVED)
        self._unrecorded = set()
        self._has_unrecorded = asyncio.Event()

    def refusal(self, fingerprint):
        """Return why a request may not be sent to any endpoint.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        None or Failure
            ``QUARANTINED``, with the seconds until it may be sent again.
        """
        now = monotonic()
        until = self.quarantine.quarantined_until(fingerprint, now=now)
        if until is None:
            return None
        return QUARANTINED.with_reason(fingerprint, retry_after=round(until - now, 1))

    def record_answered(self, fingerprint):
        """Clear the evidence against a request that an endpoint answered."""
        self._step(RequestCompleted(fingerprint=fingerprint))

    def add_attempt(self, fingerprint, attempt):
        """Track an attempt of a request, so that a quarantine can cancel it.

        Parameters
        ----------
        fingerprint : str
        attempt : Attempt
        """
        self._attempts_by_fingerprint.setdefault(fingerprint, set()).add(attempt)

    def remove_attempt(self, fingerprint, attempt):
        """Stop tracking an attempt that has ended; see ``add_attempt``."""
        attempts = self._attempts_by_fingerprint.get(fingerprint)
        if attempts is None:
            return
        attempts.discard(attempt)
        if not attempts:
            del self._attempts_by_fingerprint[fingerprint]

    def record_disconnect(self, fingerprint, placement, *, service):
        """Record a connection closed during a request; probe if the endpoint ended.

        Parameters
        ----------
        fingerprint : str
        placement : Placement
            The endpoint that had the request.
        service : str
        """
        incarnation_id = _incarnation_id(placement)
        self._requests_by_incarnation.setdefault(incarnation_id, set()).add(fingerprint)
        if incarnation_id not in self._probe_by_incarnation:
            probe = asyncio.get_running_loop().create_task(
                self._probe(incarnation_id, placement, service)
            )
            self._probe_by_incarnation[incarnation_id] = probe

    async def wait_for_probes(self, fingerprint):
        """Wait until it is known which endpoints a suspected request has crashed.

        Otherwise it would be sent to another endpoint in the meantime and might crash
        that one as well. A request with one broken connection and no other evidence
        doesn't wait.

        Parameters
        ----------
        fingerprint : str
        """
        probes = [
            self._probe_by_incarnation[incarnation_id]
            for incarnation_id, fingerprints in self._requests_by_incarnation.items()
            if fingerprint in fingerprints
        ]
        is_suspected = self.quarantine.has_evidence(fingerprint)
        if len(probes) > 1 or (probes and is_suspected):
            await asyncio.wait(probes)

    def merge_evidence(self, frame):
        """Merge evidence received from an agent.

        Parameters
        ----------
        frame : Frame
        """
        items = decode_evidence(frame.evidence, now=monotonic())
        self._step(EvidenceReceived(items=items), share=False)

    def merge_recorded(self, items):
        """Merge evidence recorded before this process started, and share it.

        Parameters
        ----------
        items : tuple of Evidence
        """
        self._step(EvidenceReceived(items=items))

    async def wait_for_unstored_evidence(self):
        """Wait for quarantined requests whose evidence the platform hasn't stored yet.

        Each host stores it only for requests that it had itself sent to an endpoint
        that ended.

        Returns
        -------
        list of Evidence
        """
        await self._has_unrecorded.wait()
        self._has_unrecorded.clear()
        unrecorded, self._unrecorded = self._unrecorded, set()
        return [
            item
            for item in self.quarantine.evidence(now=monotonic())
            if item.fingerprint in unrecorded and not item.cleared
        ]

    def close(self):
        """Cancel all probes of endpoints."""
        for probe in self._probe_by_incarnation.values():
            probe.cancel()

    async def _probe(self, incarnation_id, placement, service):
        try:
            has_ended = await refuses_connections(
                placement.address, timeout=PROBE_TIMEOUT
            )
        finally:
            del self._probe_by_incarnation[incarnation_id]
            fingerprints = self._requests_by_incarnation.pop(incarnation_id)
        if not has_ended:
            return
        self._log.change(
            "endpoint_ended",
            endpoint=placement.endpoint_id,
            started_ms=placement.incarnation.started_ms,
            requests=len(fingerprints),
        )
        self._observed_locally.extend(fingerprints)
        in_use = self._fleet.endpoints_in_use(service)
        idle_ended = () if in_use else await self._probe_idle(placement, service)
        ended = EndpointEnded(
            incarnation_id=incarnation_id,
            fingerprints=tuple(sorted(fingerprints)),
            other_endpoints_in_use=in_use,
            idle_ended=idle_ended,
        )
        self._step(ended)

    async def _probe_idle(self, placement, service):
        """Return idle endpoints that have ended, if all of those probed have.

        A host with all its requests at one endpoint can't tell by them whether that
        endpoint ended alone.
        """
        candidates = self._fleet.idle_endpoints(
            service, count=IDLE_PROBES + 1, now=monotonic()
        )
        probed = [
            item for item in candidates if item.endpoint_id != placement.endpoint_id
        ][:IDLE_PROBES]
        if len(probed) < IDLE_PROBES:
            return ()
        has_ended = await asyncio.gather(
            *(
                refuses_connections(item.entry.address, timeout=PROBE_TIMEOUT)
                for item in probed
            )
        )
        return tuple(map(_incarnation_id, probed)) if all(has_ended) else ()

    def _step(self, message, *, share=True):
        for outcome in self.quarantine.step(message, now=monotonic()):
            if isinstance(outcome, EvidenceUpdate):
                if share:
                    self.sharing.share(outcome.items)
            elif isinstance(outcome, Quarantined):
                self._on_quarantined(outcome)
            else:
                self._log.change("released", fingerprint=outcome.fingerprint)

    def _on_quarantined(self, outcome):
        self._metrics.count("requests_quarantined_total")
        self._log.change(
            "quarantined",
            fingerprint=outcome.fingerprint,
            endpoints_ended=list(outcome.incarnation_ids),
        )
        # The request may still be queued at other endpoints and would crash them too.
        for attempt in list(self._attempts_by_fingerprint.get(outcome.fingerprint, ())):
            attempt.withdraw(QUARANTINED)
        if outcome.fingerprint in self._observed_locally:
            self._unrecorded.add(outcome.fingerprint)
            self._has_unrecorded.set()


def _incarnation_id(target):
    """Return an id of one incarnation (process run) of an endpoint.

    It is the same on all hosts, so that their evidence can be combined.

    Parameters
    ----------
    target : Placement or Endpoint
    """
    started_ms = target.incarnation.started_ms
    return (
        target.endpoint_id
        if started_ms is None
        else f"{target.endpoint_id}@{started_ms}"
    )
