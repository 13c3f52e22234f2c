"""Detection and quarantine of poison requests, which crash endpoints.

Suspects are features of requests here, not hosts or endpoints: the whole request, or
something that requests share. Evidence against a feature is that a request with it was
running at an endpoint when the endpoint's process ended. Enough of it puts requests
with that feature into quarantine: no endpoint gets them.
"""

import asyncio
import collections
import random

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.httpio import refuses_connections
from hawthornspoke.quarantine import (
    Blocked,
    Confirmed,
    EndpointEnded,
    EvidenceReceived,
    EvidenceUpdate,
    Isolated,
    Quarantine,
    Quarantined,
    Released,
    RequestCompleted,
    StreamContinued,
    Suspected,
    decode_evidence,
    kind_of,
)
from hawthornspoke.relay._broken_off import BrokenOff, UnexplainedBreaks
from hawthornspoke.relay._retrial_claims import RetrialClaims
from hawthornspoke.relay._sharing import EvidenceSharing

#: Timeout in seconds of the check whether an endpoint still accepts connections.
PROBE_TIMEOUT = 0.3

QUARANTINED = Failure(code="quarantined")

#: The request may be sent once another one with the same suspected features has ended.
SUSPECTED = Failure(code="suspected")

#: Minimum and maximum Retry-After in seconds of a suspected request. An answer at any
#: host may clear it before its turn.
SUSPECTED_RETRY_AFTER = (0.2, 1.0)

#: Number of idle endpoints that are probed if the only one in use has ended. Two that
#: have ended as well can't be explained by one request, which has two attempts.
IDLE_PROBES = 2

#: Maximum number of features kept of requests that this host had sent to an endpoint
#: and that were running there when it ended. If one of them is quarantined, this host
#: stores the evidence.
MAX_OBSERVED = 4096

#: Seconds from the head of an answer for which an endpoint counts as just beginning it,
#: if it has sent an event since.
JUST_BEGUN = 0.25

#: The same from which a stream shows that its shared features don't crash endpoints.
#: Crashes that come about ``JUST_BEGUN`` after the head mustn't clear earlier ones.
CONTINUED = 2 * JUST_BEGUN


class PoisonRequestTracker:
    """Finds out which requests crash endpoints, and shares the evidence.

    Parameters
    ----------
    fleet : Fleet
    log : EventLog
    metrics : Metrics
    entry_hosts : callable or None, default=None
        Returns the number of entry hosts.

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
        "_entry_hosts",
        "_features_by_attempt",
        "_continued_attempts",
        "_isolated_attempt",
        "_features_by_incarnation",
        "_probe_by_incarnation",
        "_observed_locally",
        "_unrecorded",
        "_has_unrecorded",
        "_claims",
        "_unexplained_breaks",
        "_record_deadline",
    )

    def __init__(self, *, fleet, log, metrics, entry_hosts=None):
        self.quarantine = Quarantine(phase=random.random())
        self.sharing = EvidenceSharing(
            quarantine=self.quarantine, failure_domain_at=fleet.failure_domain_at
        )
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._entry_hosts = entry_hosts or (lambda: 1)
        self._features_by_attempt = {}
        self._continued_attempts = set()
        self._isolated_attempt = None
        self._features_by_incarnation = {}
        self._probe_by_incarnation = {}
        self._observed_locally = collections.deque(maxlen=MAX_OBSERVED)
        self._unrecorded = set()
        self._has_unrecorded = asyncio.Event()
        self._claims = RetrialClaims(
            sharing=self.sharing, on_granted=self._step, metrics=metrics
        )
        self._unexplained_breaks = UnexplainedBreaks(fleet=fleet)
        self._record_deadline = None

    def await_record(self, deadline):
        """Serve no requests before the stored evidence is merged, or a deadline.

        Parameters
        ----------
        deadline : float
            Until which the platform may be away.
        """
        if self._record_deadline is None:
            self._record_deadline = deadline

    @property
    def is_informed(self):
        """Whether the evidence of earlier processes is known, or can't be had."""
        return self._record_deadline is None or monotonic() >= self._record_deadline

    def refusal(self, features):
        """Return why a request may not be sent to any endpoint.

        Parameters
        ----------
        features : tuple of str
            Of the request.

        Returns
        -------
        None or Failure
            ``QUARANTINED`` or ``SUSPECTED``, with the features and the seconds until it
            may be sent.
        """
        now = monotonic()
        verdict = self._verdict(features, now)
        if verdict is None:
            return None
        names = " ".join(sorted(verdict.features))
        if isinstance(verdict, Blocked):
            if verdict.is_due:
                self._claims.claim(verdict.features)
            return QUARANTINED.with_reason(
                names, retry_after=round(verdict.deadline - now, 1)
            )
        if verdict.free_at <= now:
            return None
        low, high = SUSPECTED_RETRY_AFTER
        retry_after = min(high, max(low, round(verdict.free_at - now, 2)))
        return SUSPECTED.with_reason(names, retry_after=retry_after)

    async def claim_turn(self, features):
        """Ask an agent to let a request be sent that would wait for this host's window.

        Parameters
        ----------
        features : tuple of str
            Of the request.

        Returns
        -------
        bool
            Whether an agent has decided, and so whether ``refusal`` may have changed.
        """
        verdict = self._verdict(features, monotonic())
        if not isinstance(verdict, Isolated) or not verdict.is_due:
            return False
        decisions = self._claims.claim(verdict.features)
        if not decisions:
            return False
        await asyncio.wait(decisions)
        return True

    def record_answered(self, features, *, is_success):
        """Clear the evidence against a request that an endpoint answered.

        Parameters
        ----------
        features : tuple of str
        is_success : bool
            Only a success clears the features that it shares with other requests: an
            endpoint may fail a request without having run it.
        """
        if not features:
            return
        fingerprint, *shared = features
        message = RequestCompleted(
            fingerprint=fingerprint, shared=tuple(shared) if is_success else ()
        )
        self._step(message)

    def add_attempt(self, features, attempt, *, request_id):
        """Track an attempt that was just sent, so that a quarantine can cancel it.

        Parameters
        ----------
        features : tuple of str
        attempt : Attempt
        request_id : str
        """
        self._features_by_attempt[attempt] = features
        now = monotonic()
        verdict = self._verdict(features, now)
        if isinstance(verdict, Isolated):
            retrials = self.quarantine.begin_trial(verdict.features, now=now)
            self._share_retrials(retrials)
            self._isolated_attempt = attempt
            self._metrics.count("requests_isolated_total", reason=verdict.reason)
            self._log.change(
                "isolated",
                request=request_id,
                endpoint=attempt.placement.endpoint_id,
                features=sorted(verdict.features),
                reason=verdict.reason,
                retrials={item.fingerprint: item.count for item in retrials},
            )

    def record_event(self, attempt):
        """Clear shared features of a stream that gets events beyond its beginning.

        Its answer may take many seconds more.

        Parameters
        ----------
        attempt : Attempt
        """
        if attempt in self._continued_attempts or attempt.is_beginning(CONTINUED):
            return
        features = self._features_by_attempt.get(attempt)
        if features is not None:
            self._continued_attempts.add(attempt)
            self._step(StreamContinued(shared=tuple(features[1:])))

    def remove_attempt(self, attempt):
        """Stop tracking an attempt that has ended; see ``add_attempt``."""
        self._features_by_attempt.pop(attempt, None)
        self._continued_attempts.discard(attempt)
        if attempt is self._isolated_attempt:
            self._isolated_attempt = None
            # The result of the probe decides on the next one otherwise.
            if not attempt.is_broken:
                self.quarantine.end_trial()

    def record_disconnect(self, features, attempt, *, service, is_stream):
        """Record a connection closed during a request; probe if the endpoint ended.

        Parameters
        ----------
        features : tuple of str
        attempt : Attempt
            The attempt whose connection was closed.
        service : str
        is_stream : bool
            Whether a response head shows that the answer has begun. A shared feature
            is no suspect before that, nor if its answer had begun long ago.
        """
        placement = attempt.placement
        incarnation_id = _incarnation_id(placement)
        may_be_beginning = attempt.head_at is None and not is_stream
        if not (may_be_beginning or attempt.is_beginning(JUST_BEGUN)):
            features = features[:1]
        self._features_by_incarnation.setdefault(incarnation_id, set()).update(features)
        if incarnation_id not in self._probe_by_incarnation:
            broken = BrokenOff(placement=placement, service=service)
            probe = asyncio.get_running_loop().create_task(
                self._probe(incarnation_id, broken)
            )
            self._probe_by_incarnation[incarnation_id] = probe

    async def wait_for_probes(self, features):
        """Wait until it is known which endpoints a suspected request has crashed.

        Otherwise it would be sent to another endpoint in the meantime and might crash
        that one as well. A request with one broken connection and no other evidence
        doesn't wait.

        Parameters
        ----------
        features : tuple of str
        """
        probes = [
            self._probe_by_incarnation[incarnation_id]
            for incarnation_id, present in self._features_by_incarnation.items()
            if features[0] in present
        ]
        is_suspected = any(map(self.quarantine.has_evidence, features))
        if len(probes) > 1 or (probes and is_suspected):
            await asyncio.wait(probes)

    def on_endpoints_listed(self):
        """Record ends that the platform's list shows.

        They count against shared features only. The list comes too late to tell a mass
        failure, at which whole requests that come often may have been at each endpoint.
        """
        for incarnation_id, broken in self._unexplained_breaks.pop_ended():
            self._record_late_end(incarnation_id, broken)

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
        items : tuple of Evidence or Retrial
        """
        # The deadline has passed once the record is known.
        self._record_deadline = float("-inf")
        if items:
            self._step(EvidenceReceived(items=items))

    async def wait_for_unstored_evidence(self):
        """Wait for quarantined requests whose evidence the platform hasn't stored yet.

        Each host stores it only for requests that it had itself sent to an endpoint
        that ended.

        Returns
        -------
        list of Evidence or Retrial
        """
        await self._has_unrecorded.wait()
        self._has_unrecorded.clear()
        unrecorded, self._unrecorded = self._unrecorded, set()
        return [
            item
            for item in self.quarantine.evidence(now=monotonic())
            if item.fingerprint in unrecorded and not item.cleared
        ]

    def cleared_incarnations(self, feature):
        """Return the incarnations that a feature is known not to have ended."""
        return self.quarantine.cleared_incarnations(feature, now=monotonic())

    def close(self):
        """Cancel all probes of endpoints, and all claims."""
        for probe in self._probe_by_incarnation.values():
            probe.cancel()
        self._claims.close()

    async def _probe(self, incarnation_id, broken):
        placement = broken.placement
        try:
            has_ended = await refuses_connections(
                placement.address, timeout=PROBE_TIMEOUT
            )
        finally:
            del self._probe_by_incarnation[incarnation_id]
            features = self._features_by_incarnation.pop(incarnation_id)
        broken.features |= features
        if has_ended:
            in_use = self._fleet.endpoints_in_use(broken.service)
            idle_ended = ()
            if not in_use:
                idle_ended = await self._probe_idle(placement, broken.service)
            self._record_end(
                incarnation_id, broken, in_use=in_use, idle_ended=idle_ended
            )
            return
        self._log.change(
            "endpoint_still_listens",
            endpoint=placement.endpoint_id,
            started_ms=placement.incarnation.started_ms,
            shared=sorted(name for name in features if kind_of(name).IS_SHARED),
        )
        self._unexplained_breaks.add(incarnation_id, broken)
        self.on_endpoints_listed()

    def _record_late_end(self, incarnation_id, broken):
        broken.features = {name for name in broken.features if kind_of(name).IS_SHARED}
        in_use = self._fleet.endpoints_in_use(broken.service)
        self._record_end(incarnation_id, broken, in_use=in_use, is_late=True)

    def _record_end(
        self, incarnation_id, broken, *, in_use, idle_ended=(), is_late=False
    ):
        placement, features = broken.placement, broken.features
        self._log.change(
            "endpoint_ended",
            endpoint=placement.endpoint_id,
            started_ms=placement.incarnation.started_ms,
            requests=sum(not kind_of(feature).IS_SHARED for feature in features),
            shared=sorted(name for name in features if kind_of(name).IS_SHARED),
            is_late=is_late,
        )
        self._observed_locally.extend(features)
        ended = EndpointEnded(
            incarnation_id=incarnation_id,
            fingerprints=tuple(sorted(features)),
            other_endpoints_in_use=in_use,
            idle_ended=idle_ended,
            ended_at=broken.at,
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
            elif isinstance(outcome, Suspected):
                self._on_suspected(outcome)
            elif isinstance(outcome, Confirmed):
                self._record_observed({outcome.fingerprint})
            elif isinstance(outcome, Released):
                self._log.change("released", fingerprint=outcome.fingerprint)
                self._record_observed({outcome.fingerprint})

    def _share_retrials(self, retrials):
        self.sharing.share(retrials)
        if retrials:
            self._unrecorded |= {item.fingerprint for item in retrials}
            self._has_unrecorded.set()

    def _verdict(self, features, now):
        self.quarantine.hosts = self._entry_hosts()
        return self.quarantine.verdict(features, now=now)

    def _on_quarantined(self, outcome):
        self._metrics.count("requests_quarantined_total")
        self._log.change(
            "quarantined",
            fingerprint=outcome.fingerprint,
            endpoints_ended=list(outcome.incarnation_ids),
        )
        self._withdraw_blocked({outcome.fingerprint})
        self._record_observed({outcome.fingerprint})

    def _on_suspected(self, outcome):
        self._metrics.count("features_suspected_total", len(outcome.fingerprints))
        self._log.change(
            "suspected",
            features=list(outcome.fingerprints),
            endpoints_ended=list(outcome.incarnation_ids),
        )
        self._withdraw_blocked(set(outcome.fingerprints))
        self._record_observed(set(outcome.fingerprints))

    def _withdraw_blocked(self, changed):
        """Cancel requests queued at endpoints, which would crash these as well.

        A request that gets events while others crash endpoints may be sound, and its
        caller has a part of the answer already.
        """
        now = monotonic()
        for attempt, features in list(self._features_by_attempt.items()):
            if changed.isdisjoint(features) or attempt.has_events:
                continue
            if isinstance(self._verdict(features, now), Blocked):
                attempt.withdraw(QUARANTINED)

    def _record_observed(self, features):
        observed = features.intersection(self._observed_locally)
        if observed:
            self._unrecorded |= observed
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
