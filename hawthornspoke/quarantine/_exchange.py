"""State machine of agents through which entry hosts exchange evidence.

Evidence against a request is that it was running at an endpoint that ended.
"""

from hawthornspoke.base import MACHINES, Machine
from hawthornspoke.quarantine._evidence import EvidenceStore
from hawthornspoke.quarantine._messages import (
    EvidenceReceived,
    EvidenceUpdate,
    RetrialClaimed,
    RetrialDenied,
    RetrialGranted,
)

#: Messages that the machine handles.
MESSAGES = (EvidenceReceived, RetrialClaimed)

#: Number of endpoint ends from which the evidence about a request is shared with all
#: entry hosts. Most requests with one end merely ran alongside the cause.
SHARE_THRESHOLD = 2

#: Seconds after a claim within which a granted retrial has to be sent, and further ones
#: until all hosts have heard of it and another one may be granted.
GRANT_TIME = 1.0
GRANT_MARGIN = 1.0


@MACHINES.register("evidence_exchange")
class EvidenceExchange(Machine):
    """Merges the evidence of all entry hosts.

    A request is repeated at different entry hosts, so each of them sees only some of
    the ends of endpoints that ran it.
    """

    __slots__ = ("_store", "_granted_until_by_feature")

    def __init__(self):
        self._store = EvidenceStore()
        self._granted_until_by_feature = {}

    def on_evidence_received(self, message, *, now):
        """Merge evidence of an entry host; return what to send to all of them.

        Parameters
        ----------
        message : EvidenceReceived
        now : float

        Returns
        -------
        list of EvidenceUpdate
        """
        changed = {
            item.fingerprint: None
            for item in message.items
            if self._store.add(item, now=now)
        }
        return _to_messages(self._shareable(changed, now))

    def on_retrial_claimed(self, message, *, now):
        """Grant a retrial of a quarantined feature to one entry host at a time.

        Parameters
        ----------
        message : RetrialClaimed
        now : float

        Returns
        -------
        list of RetrialGranted or RetrialDenied
        """
        feature = message.known.fingerprint
        granted_until = self._granted_until_by_feature
        for name in [name for name, until in granted_until.items() if now >= until]:
            del granted_until[name]
        self._store.add(message.known, now=now)
        newest = self._store.retrials.get(feature, now=now)
        knows_all = (message.known.clearings, message.known.count) >= (
            newest.clearings,
            newest.count,
        )
        if feature in granted_until or not knows_all:
            return [RetrialDenied(fingerprint=feature)]
        granted_until[feature] = now + GRANT_TIME + GRANT_MARGIN
        return [RetrialGranted(fingerprint=feature, expires_at=now + GRANT_TIME)]

    def evidence(self, *, now):
        """Return the evidence to send to an entry host that has just connected.

        Returns
        -------
        list of Evidence or Retrial
        """
        self._store.sweep(now=now)
        retried = [item.fingerprint for item in self._store.retrials.all(now=now)]
        return self._shareable(
            dict.fromkeys([*self._store.fingerprints(), *retried]), now
        )

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"requests": len(self._store), "told": len(self.evidence(now=now))}

    def _shareable(self, fingerprints, now):
        shareable = []
        for fingerprint in fingerprints:
            items = self._store.items_of(fingerprint, now=now)
            if len(items) >= SHARE_THRESHOLD:
                shareable += items
            retrial = self._store.retrials.get(fingerprint, now=now)
            if now < retrial.deadline:
                shareable.append(retrial)
        return shareable


def _to_messages(items):
    return [EvidenceUpdate(items=tuple(items))] if items else []
