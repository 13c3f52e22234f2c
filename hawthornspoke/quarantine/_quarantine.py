"""State machine that decides which requests are no longer sent to endpoints."""

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.quarantine._answers import RecentAnswers
from hawthornspoke.quarantine._blame import BLAME_RULES, Suspicion, count_ends
from hawthornspoke.quarantine._evidence import (
    EVIDENCE_LIFETIME,
    Evidence,
    EvidenceStore,
)
from hawthornspoke.quarantine._features import kind_of
from hawthornspoke.quarantine._mass_failures import MassFailures
from hawthornspoke.quarantine._messages import (
    Blocked,
    Confirmed,
    EndpointEnded,
    EvidenceReceived,
    EvidenceUpdate,
    Isolated,
    Quarantined,
    Released,
    RequestCompleted,
    RetrialGranted,
    StreamContinued,
    Suspected,
)
from hawthornspoke.quarantine._retrials import Retrial
from hawthornspoke.quarantine._trials import Trials

#: Messages that the machine handles.
MESSAGES = (
    RequestCompleted,
    StreamContinued,
    EndpointEnded,
    EvidenceReceived,
    RetrialGranted,
)

#: Number of ends above the threshold from which a request that never ran alone is
#: refused, and a feature that was answered before as well.
SHARED_ENDS_MARGIN = 2

#: Maximum number of features among which the causes are looked for: those with most
#: ends. After a mass failure hundreds of parts may have some.
MAX_CANDIDATES = 48

#: Maximum number of ends kept of a quarantined feature.
MAX_KEPT_ENDS = 64


@MACHINES.register("quarantine")
class Quarantine(Machine):
    """Separates requests that crash endpoints from those that ran beside them.

    A "query of death" may crash each process that starts to run it. The caller repeats
    it under new ids and at other hosts, or other requests share the part that crashes,
    so that more and more endpoints are lost. Requests with a feature that was running
    when enough endpoints ended, and whose ends aren't explained by another feature, are
    refused without being sent.

    Parameters
    ----------
    end_threshold : int, default=3
        Number of endpoint ends from which a feature is suspected.
    rule : str, default="explanation"
        Name in ``BLAME_RULES``.
    phase : float, default=0.0
        Position of this host among all hosts, drawn from 0 to 1, which keeps them from
        testing a suspected feature at the same time.
    hosts : int, default=1
        Number of these hosts.

    Notes
    -----
    The ends of a feature are those of endpoints at which a request with it was running.
    A feature of a request that an endpoint completes is cleared: its earlier ends no
    longer count. If most endpoints in use end at once, these ends don't count against
    requests that ran at only some of them, unless a request had been one end short of
    the threshold before.

    If nothing tells some features apart, requests with all of them are refused, and
    those with some of them run one at a time: an answer clears them, and an end shows
    which one is the cause. Whole requests that nothing tells apart are refused with
    ``SHARED_ENDS_MARGIN`` ends above the threshold. A feature that was answered not
    long before is run one at a time until it has that many ends as well, as it has
    probably only been beside the cause.
    """

    __slots__ = (
        "end_threshold",
        "rule",
        "phase",
        "hosts",
        "_store",
        "_mass_failures",
        "_candidates",
        "_suspicions",
        "_quarantined",
        "_confirmed",
        "_answers",
        "_earlier_ends_by_feature",
        "_trials",
    )
    PARAMS = {
        "end_threshold": Bounds(kind=int, low=1),
        "rule": Bounds(kind=str),
        "phase": Bounds(kind=float, low=0.0, high=1.0),
        "hosts": Bounds(kind=int, low=1),
    }

    def __init__(self, *, end_threshold=3, rule="explanation", phase=0.0, hosts=1):
        self.end_threshold = end_threshold
        self.rule = rule
        self.phase = phase
        self.hosts = hosts
        self._store = EvidenceStore()
        self._mass_failures = MassFailures()
        self._candidates = set()
        self._suspicions = []
        self._quarantined = set()
        self._confirmed = set()
        self._answers = RecentAnswers()
        self._earlier_ends_by_feature = {}
        self._trials = Trials(retrials=self._store.retrials)

    def on_endpoint_ended(self, message, *, now):
        """Add an endpoint's end as evidence against what it was running.

        Parameters
        ----------
        message : EndpointEnded
        now : float

        Returns
        -------
        list of EvidenceUpdate, Quarantined, Confirmed, Suspected or Released
        """
        ended_at = now if message.ended_at is None else message.ended_at
        self._mass_failures.record(message, known=self._store.incarnations(), now=now)
        items = [
            Evidence(
                fingerprint=name,
                incarnation_id=message.incarnation_id,
                deadline=ended_at + EVIDENCE_LIFETIME,
            )
            for name in message.fingerprints
            if not self._answers.is_later(name, ended_at)
        ]
        if self._mass_failures.is_mass_failure(message):
            items += self._clear_mass_failure(now)
        return self._merge(items, now)

    def on_evidence_received(self, message, *, now):
        """Merge evidence received from another process.

        Parameters
        ----------
        message : EvidenceReceived
        now : float

        Returns
        -------
        list of EvidenceUpdate, Quarantined, Confirmed, Suspected or Released
        """
        return self._merge(message.items, now)

    def on_retrial_granted(self, message, *, now):
        """Allow one request with a suspected or quarantined feature."""
        self._trials.grant(message.fingerprint, expires_at=message.expires_at)
        return []

    def on_request_completed(self, message, *, now):
        """Clear the features of a request that an endpoint has completed.

        Parameters
        ----------
        message : RequestCompleted
        now : float

        Returns
        -------
        list of EvidenceUpdate or Released
        """
        return self._record_answer(
            message.shared, (message.fingerprint, *message.shared), now
        )

    def on_stream_continued(self, message, *, now):
        """Clear the features that crash endpoints only as an answer begins.

        Parameters
        ----------
        message : StreamContinued
        now : float

        Returns
        -------
        list of EvidenceUpdate or Released
        """
        return self._record_answer(message.shared, message.shared, now)

    def verdict(self, features, *, now):
        """Decide whether a request may be sent.

        Parameters
        ----------
        features : collection of str
            Of the request.
        now : float

        Returns
        -------
        None, Blocked or Isolated
            None if it may be sent.
        """
        isolated = set()
        free_at, reason = now, "turn"
        is_due = True
        for suspicion, present, deadline in self._suspected_among(features, now):
            if deadline > now:
                if not self._trials.is_granted(present, now=now):
                    is_due = self._trials.is_due(present, now=now)
                    return Blocked(features=present, deadline=deadline, is_due=is_due)
                reason = self._trials.retrial_reason(present, now=now)
                isolated |= present
                continue
            may_start_at = self._trials.free_at(
                suspicion, present, phase=self.phase, hosts=self.hosts, now=now
            )
            free_at = max(free_at, may_start_at)
            is_due &= self._trials.is_turn_due(suspicion, present, now=now)
            if self._trials.has_grant(present, now=now):
                reason = "granted_turn"
            isolated |= present
        if not isolated:
            return None
        return Isolated(
            features=frozenset(isolated),
            free_at=free_at,
            reason=reason,
            is_due=is_due and now < free_at,
        )

    def begin_trial(self, features, *, now):
        """Record that an isolated request is sent.

        Parameters
        ----------
        features : collection of str
            See ``Isolated``.
        now : float

        Returns
        -------
        list of Retrial
            To be sent to other processes.
        """
        return self._trials.begin(features, now=now)

    def retrial(self, feature, *, now):
        """Return what is known of all hosts' retrials of a feature.

        Parameters
        ----------
        feature : str
        now : float

        Returns
        -------
        Retrial
        """
        return self._store.retrials.get(feature, now=now)

    def end_trial(self):
        """Record that the isolated request has ended."""
        self._trials.end()

    def quarantined_until(self, fingerprint, *, now):
        """Return until when requests with a feature are quarantined.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        float or None
            On the monotonic clock; None if the feature alone is no reason to refuse a
            request.
        """
        deadlines = [
            deadline
            for _, _, deadline in self._suspected_among((fingerprint,), now)
            if deadline > now
        ]
        return max(deadlines, default=None)

    def cleared_incarnations(self, feature, *, now):
        """Return the incarnations that a feature is known not to have ended.

        Parameters
        ----------
        feature : str
        now : float

        Returns
        -------
        set of str
        """
        items = self._store.items_of(feature, now=now)
        return {item.incarnation_id for item in items if item.cleared}

    def has_evidence(self, fingerprint):
        """Return whether a feature was running at an endpoint that ended.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        bool
        """
        return fingerprint in self._store

    def evidence(self, *, now):
        """Return all evidence, to be sent to a process that has just started.

        Returns
        -------
        list of Evidence or Retrial
        """
        self._store.sweep(now=now)
        items = [
            item
            for fingerprint in self._store.fingerprints()
            for item in self._store.items_of(fingerprint, now=now)
        ]
        return items + self._store.retrials.all(now=now)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "requests": len(self._store),
            "refused_for": {
                fingerprint: round(deadline - now, 1)
                for fingerprint in sorted(self._quarantined)
                if (deadline := self.quarantined_until(fingerprint, now=now))
                is not None
            },
            "suspected": [
                sorted(suspicion.features)
                for suspicion in self._suspicions
                if len(suspicion.features) > 1
            ],
            "answered": len(self._answers),
        }

    def _record_answer(self, shared, features, now):
        self._answers.record(shared, now=now)
        cleared = [
            _cleared(item)
            for feature in features
            if feature in self._store
            for item in self._store.items_of(feature, now=now)
            if not item.cleared
        ]
        if not cleared:
            return []
        retrials = [
            retrial.after_answer(now=now)
            for feature in {item.fingerprint for item in cleared}
            if (retrial := self.retrial(feature, now=now)).count
        ]
        return self._merge([*cleared, *retrials], now)

    def _merge(self, items, now):
        added = tuple(item for item in items if self._store.add(item, now=now))
        if not added:
            return []
        for item in added:
            if isinstance(item, Retrial):
                continue
            if item.cleared:
                self._earlier_ends_by_feature.pop(item.fingerprint, None)
            else:
                self._trials.record_end(item.fingerprint, now=now)
        changed = {item.fingerprint for item in added if not isinstance(item, Retrial)}
        if not changed:
            return [EvidenceUpdate(items=added)]
        known = self._candidates & changed
        self._candidates = (self._candidates - changed) | {
            feature
            for feature in changed
            if len(self._store.suspected_incarnations(feature, now=now))
            >= self.end_threshold
        }
        update = EvidenceUpdate(items=added)
        # Most evidence is about features with too few ends to be suspected. Another end
        # may still make a suspicion doubtful.
        has_ends = not all(item.cleared for item in added)
        is_relevant = known or not self._candidates.isdisjoint(changed)
        if not is_relevant and not (has_ends and self._suspicions):
            return [update]
        return [update, *self._update_quarantine(now)]

    def _select_candidates(self, now):
        """Return the ends of the features that may be suspected, by feature."""
        ended_at_by_feature = {
            feature: {**self._earlier_ends_by_feature.get(feature, {}), **ended_at}
            for feature in self._candidates
            if len(ended_at := self._store.ended_at_by_incarnation(feature, now=now))
            >= self.end_threshold
        }
        self._candidates = set(ended_at_by_feature)
        if len(ended_at_by_feature) <= MAX_CANDIDATES:
            return ended_at_by_feature
        most_likely = sorted(
            ended_at_by_feature,
            key=lambda feature: (
                self._answers.is_recent(feature, now=now),
                -len(ended_at_by_feature[feature]),
                feature,
            ),
        )
        return {
            feature: ended_at_by_feature[feature]
            for feature in most_likely[:MAX_CANDIDATES]
        }

    def _update_quarantine(self, now):
        """Update the suspected features; return the changes."""
        ended_at_by_feature = self._select_candidates(now)
        answered = {
            feature
            for feature in ended_at_by_feature
            if self._answers.is_recent(feature, now=now)
        }
        previous = {item.features: item for item in self._suspicions}
        self._suspicions = BLAME_RULES.get(self.rule)(
            ended_at_by_feature, threshold=self.end_threshold, answered=answered
        )
        self._suspicions += self._certain_requests(ended_at_by_feature)
        previously_quarantined = self._quarantined
        self._quarantined = {
            feature
            for suspicion in self._suspicions
            for feature in suspicion.features
            if self._is_quarantined_alone(suspicion, feature, now)
        }
        self._keep_earlier_ends(ended_at_by_feature)
        recent = self._store.recent_incarnations(now=now)
        for suspicion in self._suspicions:
            for feature in suspicion.features:
                items = self._store.items_of(feature, now=now)
                self._trials.suspect(
                    feature,
                    explained=suspicion.incarnation_ids,
                    present={item.incarnation_id for item in items},
                    recent=recent,
                    now=now,
                )
        quarantined = [
            Quarantined(
                fingerprint=feature,
                incarnation_ids=tuple(sorted(ended_at_by_feature[feature])),
            )
            for feature in sorted(self._quarantined - previously_quarantined)
        ]
        previously_confirmed = self._confirmed
        self._confirmed = {
            feature for feature in self._quarantined if self._is_certain(feature, now)
        }
        confirmed = sorted(self._confirmed - previously_confirmed)
        suspected = [
            Suspected(
                fingerprints=tuple(sorted(suspicion.features)),
                incarnation_ids=tuple(sorted(suspicion.incarnation_ids)),
            )
            for suspicion in self._suspicions
            if len(suspicion.features) > 1 and suspicion.features not in previous
        ]
        current = {feature for item in self._suspicions for feature in item.features}
        released = sorted(
            ({feature for features in previous for feature in features} - current)
            | (previously_quarantined - self._quarantined - current)
        )
        for feature in released:
            self._trials.forget(feature)
        return [
            *quarantined,
            *(Confirmed(fingerprint=feature) for feature in confirmed),
            *suspected,
            *(Released(fingerprint=feature) for feature in released),
        ]

    def _certain_requests(self, ended_at_by_feature):
        """Return suspicions of whole requests with more ends than chance explains.

        A common part may be at all ends of a request, and explain them, but the request
        wouldn't run at as many endpoints that end.
        """
        suspected = {name for item in self._suspicions for name in item.features}
        return [
            Suspicion(
                features=frozenset((feature,)),
                leaders=frozenset((feature,)),
                incarnation_ids=frozenset(ended_at),
            )
            for feature, ended_at in ended_at_by_feature.items()
            if feature not in suspected
            and not kind_of(feature).IS_SHARED
            and len(ended_at) >= self.end_threshold + SHARED_ENDS_MARGIN
        ]

    def _keep_earlier_ends(self, ended_at_by_feature):
        """Keep ends under quarantined features beyond their bounded evidence.

        Other features that were at more of these ends would be blamed for those that
        the evidence no longer covers.
        """
        self._earlier_ends_by_feature = {
            feature: dict(list(ended_at_by_feature[feature].items())[-MAX_KEPT_ENDS:])
            for feature in self._quarantined
        }

    def _suspected_among(self, features, now):
        """Return the suspected ones of a request's features, by suspicion.

        Returns
        -------
        list of tuple of (Suspicion, frozenset of str, float)
            The suspicion, the features, and until when they are a reason to refuse the
            request; ``now`` if it may run by itself.
        """
        if not self._suspicions:
            return []
        features = frozenset(features)
        found = [
            (suspicion, present, self._blocked_until(suspicion, present, now))
            for suspicion in self._suspicions
            if (present := suspicion.features & features)
        ]
        return [item for item in found if item[2] is not None]

    def _is_quarantined_alone(self, suspicion, feature, now):
        """Return whether requests with one feature of a suspicion are refused."""
        is_certain = self._is_certain(feature, now)
        if len(suspicion.features) > 1:
            return is_certain and not kind_of(feature).IS_SHARED
        return is_certain or not self._answers.is_recent(feature, now=now)

    def _is_certain(self, feature, now):
        count = self._count_ends(feature, now)
        return count >= self.end_threshold + SHARED_ENDS_MARGIN

    def _blocked_until(self, suspicion, present, now):
        """Return until when requests with some features of a suspicion are refused.

        Returns
        -------
        float or None
            ``now`` if they may run one at a time; None if the evidence has expired,
            which no message reports.
        """
        deadlines = {
            feature: deadline
            for feature in suspicion.features
            if (deadline := self._suspected_until(feature, now)) is not None
        }
        if len(deadlines) < len(suspicion.features):
            self._update_quarantine(now)
            return None
        alone = [deadlines[name] for name in present if name in self._quarantined]
        if alone:
            return max(alone)
        if len(suspicion.features) > 1 and present == suspicion.features:
            return min(deadlines.values())
        return now

    def _suspected_until(self, feature, now):
        """Return when so much evidence has expired that too few ends are left."""
        deadlines = sorted(
            item.deadline
            for item in self._store.items_of(feature, now=now)
            if not item.cleared
        )
        if len(deadlines) < self.end_threshold:
            return None
        return deadlines[-self.end_threshold]

    def _count_ends(self, feature, now):
        return count_ends(
            feature, self._store.ended_at_by_incarnation(feature, now=now)
        )

    def _clear_mass_failure(self, now):
        """Return items that clear features which ran at only some of the endpoints."""
        return [
            Evidence(
                fingerprint=feature,
                incarnation_id=incarnation_id,
                deadline=now + EVIDENCE_LIFETIME,
                cleared=True,
            )
            for feature, incarnation_id in self._mass_failures.partly_present()
            if not self._is_near_threshold(feature, now)
        ]

    def _is_near_threshold(self, fingerprint, now):
        """Return whether a request was one end short of the threshold before.

        Recent ends, which count as one event, are left out.
        """
        suspected_incarnations = self._store.suspected_incarnations(
            fingerprint, now=now
        )
        return (
            len(suspected_incarnations - self._mass_failures.incarnations())
            >= self.end_threshold - 1
        )


def _cleared(item):
    return Evidence(
        fingerprint=item.fingerprint,
        incarnation_id=item.incarnation_id,
        deadline=item.deadline,
        cleared=True,
    )
