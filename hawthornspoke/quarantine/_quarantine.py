"""State machine that decides which requests are no longer sent to endpoints."""

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.quarantine._evidence import (
    EVIDENCE_LIFETIME,
    Evidence,
    EvidenceStore,
)
from hawthornspoke.quarantine._messages import (
    EndpointEnded,
    EvidenceReceived,
    EvidenceUpdate,
    Quarantined,
    Released,
    RequestCompleted,
)

#: Messages that the machine handles.
MESSAGES = (RequestCompleted, EndpointEnded, EvidenceReceived)

#: A request isn't quarantined while another request that was running when the same
#: endpoints ended may be the cause. Once it has this many ends more than the threshold,
#: it is quarantined anyway.
SHARED_ENDS_MARGIN = 2

#: Window in seconds within which endpoint ends count as one event.
SIMULTANEOUS_WINDOW = 0.1

#: Number of endpoints that end together, and their share of the endpoints in use by a
#: host, from which the cause is assumed not to be a request: no request runs at that
#: many endpoints at once.
MIN_MASS_ENDS = 2
MIN_MASS_SHARE = 0.75


class _RecentEnd:
    """The end of an endpoint as seen by this host."""

    __slots__ = ("at", "fingerprints")

    def __init__(self, *, at):
        self.at = at
        self.fingerprints = set()


@MACHINES.register("quarantine")
class Quarantine(Machine):
    """Separates requests that crash endpoints from those that ran beside them.

    A "query of death" may crash each process that starts to run it. The caller repeats
    it under new ids and at other hosts, so that more and more endpoints are lost. A
    request that was running when enough endpoints ended, and whose ends aren't
    explained by another request, is refused without being sent.

    Parameters
    ----------
    end_threshold : int, default=3
        Number of endpoint ends from which a request is quarantined.

    Notes
    -----
    The ends of a request are those of endpoints at which it was running. A request that
    an endpoint completes is cleared: its earlier ends no longer count. If most
    endpoints in use end at once, these ends don't count against requests that ran at
    only some of them, unless a request had been one end short of the threshold before.

    An end doesn't count against a request if another request that ran there has at
    least as many ends. The one that is the cause gets another end as soon as it is sent
    again; with ``SHARED_ENDS_MARGIN`` ends above the threshold, a request is refused in
    any case.
    """

    __slots__ = (
        "end_threshold",
        "_store",
        "_recent_end_by_incarnation",
        "_quarantined",
    )
    PARAMS = {"end_threshold": Bounds(kind=int, low=1)}

    def __init__(self, *, end_threshold=3):
        self.end_threshold = end_threshold
        self._store = EvidenceStore()
        self._recent_end_by_incarnation = {}
        self._quarantined = set()

    def on_endpoint_ended(self, message, *, now):
        """Add an endpoint's end as evidence against the requests that it was running.

        Parameters
        ----------
        message : EndpointEnded
        now : float

        Returns
        -------
        list of EvidenceUpdate, Quarantined or Released
        """
        end = self._recent_end_by_incarnation.setdefault(
            message.incarnation_id, _RecentEnd(at=now)
        )
        end.fingerprints.update(message.fingerprints)
        # Idle endpoints that are known to have ended earlier, perhaps by the same
        # request, don't show that this end is part of a mass failure.
        if self._store.incarnations().isdisjoint(message.idle_ended):
            for incarnation_id in message.idle_ended:
                self._recent_end_by_incarnation[incarnation_id] = _RecentEnd(at=now)
        self._expire_ends(now)
        items = [
            Evidence(
                fingerprint=name,
                incarnation_id=message.incarnation_id,
                deadline=now + EVIDENCE_LIFETIME,
            )
            for name in message.fingerprints
        ]
        if self._is_mass_failure(message, now):
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
        list of EvidenceUpdate, Quarantined or Released
        """
        return self._merge(message.items, now)

    def on_request_completed(self, message, *, now):
        """Clear a request that an endpoint has completed.

        Parameters
        ----------
        message : RequestCompleted
        now : float

        Returns
        -------
        list of EvidenceUpdate or Released
        """
        if message.fingerprint not in self._store:
            return []
        known = self._store.items_of(message.fingerprint, now=now)
        return self._merge([_cleared(item) for item in known], now)

    def quarantined_until(self, fingerprint, *, now):
        """Return until when a request is quarantined.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        float or None
            On the monotonic clock; None if it isn't quarantined.
        """
        if fingerprint not in self._quarantined:
            return None
        deadlines = [
            item.deadline
            for item in self._store.items_of(fingerprint, now=now)
            if not item.cleared
        ]
        if len(deadlines) < self.end_threshold:
            # The evidence has expired, which no message reports.
            self._quarantined.discard(fingerprint)
            return None
        # The quarantine ends when so much evidence has expired that fewer ends than the
        # threshold are left.
        return sorted(deadlines)[-self.end_threshold]

    def has_evidence(self, fingerprint):
        """Return whether a request was running at an endpoint that ended.

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
        list of Evidence
        """
        self._store.sweep(now=now)
        return [
            item
            for fingerprint in self._store.fingerprints()
            for item in self._store.items_of(fingerprint, now=now)
        ]

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
        }

    def _merge(self, items, now):
        added = tuple(item for item in items if self._store.add(item, now=now))
        if not added:
            return []
        return [EvidenceUpdate(items=added), *self._update_quarantine(now)]

    def _update_quarantine(self, now):
        """Update the quarantined requests; return the changes."""
        incarnations_by_fingerprint = {
            fingerprint: incarnations
            for fingerprint in self._store.fingerprints()
            if len(
                incarnations := self._store.suspected_incarnations(fingerprint, now=now)
            )
            >= self.end_threshold
        }
        current = {
            fingerprint
            for fingerprint, incarnations in incarnations_by_fingerprint.items()
            if self._is_cause(fingerprint, incarnations, incarnations_by_fingerprint)
        }
        previous, self._quarantined = self._quarantined, current
        quarantined = [
            Quarantined(
                fingerprint=fingerprint,
                incarnation_ids=tuple(sorted(incarnations_by_fingerprint[fingerprint])),
            )
            for fingerprint in sorted(current - previous)
        ]
        return quarantined + [
            Released(fingerprint=fingerprint)
            for fingerprint in sorted(previous - current)
        ]

    def _is_cause(self, fingerprint, incarnations, incarnations_by_fingerprint):
        if len(incarnations) >= self.end_threshold + SHARED_ENDS_MARGIN:
            return True
        unexplained = set(incarnations)
        for other, other_incarnations in incarnations_by_fingerprint.items():
            if other != fingerprint and len(other_incarnations) >= len(incarnations):
                unexplained -= other_incarnations
        return len(unexplained) >= self.end_threshold

    def _is_mass_failure(self, message, now):
        ended_together = len(self._recent_end_by_incarnation)
        in_use = ended_together + message.other_endpoints_in_use
        return (
            ended_together >= MIN_MASS_ENDS
            and ended_together >= MIN_MASS_SHARE * in_use
        )

    def _clear_mass_failure(self, now):
        """Return items that clear requests which ran at only some of the endpoints."""
        recent_ends = self._recent_end_by_incarnation
        return [
            Evidence(
                fingerprint=fingerprint,
                incarnation_id=incarnation,
                deadline=now + EVIDENCE_LIFETIME,
                cleared=True,
            )
            for incarnation, end in recent_ends.items()
            for fingerprint in end.fingerprints
            if self._count_absences(fingerprint) >= MIN_MASS_ENDS - 1
            and not self._is_near_threshold(fingerprint, now)
        ]

    def _is_near_threshold(self, fingerprint, now):
        """Return whether a request was one end short of the threshold before.

        Recent ends, which count as one event, are left out.
        """
        suspected_incarnations = self._store.suspected_incarnations(
            fingerprint, now=now
        )
        return (
            len(suspected_incarnations - self._recent_end_by_incarnation.keys())
            >= self.end_threshold - 1
        )

    def _count_absences(self, fingerprint):
        """Return the number of recently ended endpoints that didn't run a request."""
        ends = self._recent_end_by_incarnation.values()
        return sum(fingerprint not in end.fingerprints for end in ends)

    def _expire_ends(self, now):
        for incarnation, end in list(self._recent_end_by_incarnation.items()):
            if now >= end.at + SIMULTANEOUS_WINDOW:
                del self._recent_end_by_incarnation[incarnation]


def _cleared(item):
    return Evidence(
        fingerprint=item.fingerprint,
        incarnation_id=item.incarnation_id,
        deadline=item.deadline,
        cleared=True,
    )
