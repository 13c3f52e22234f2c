"""State machine of agents through which entry hosts exchange evidence.

Evidence against a request is that it was running at an endpoint that ended.
"""

from hawthornspoke.base import MACHINES, Machine
from hawthornspoke.quarantine._evidence import EvidenceStore
from hawthornspoke.quarantine._messages import EvidenceReceived, EvidenceUpdate

#: Messages that the machine handles.
MESSAGES = (EvidenceReceived,)

#: Number of endpoint ends from which the evidence about a request is shared with all
#: entry hosts. Most requests with one end merely ran alongside the cause.
SHARE_THRESHOLD = 2


@MACHINES.register("evidence_exchange")
class EvidenceExchange(Machine):
    """Merges the evidence of all entry hosts.

    A request is repeated at different entry hosts, so each of them sees only some of
    the ends of endpoints that ran it.
    """

    __slots__ = ("_store",)

    def __init__(self):
        self._store = EvidenceStore()

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

    def evidence(self, *, now):
        """Return the evidence to send to an entry host that has just connected.

        Returns
        -------
        list of Evidence
        """
        self._store.sweep(now=now)
        return self._shareable(self._store.fingerprints(), now)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"requests": len(self._store), "told": len(self.evidence(now=now))}

    def _shareable(self, fingerprints, now):
        shareable = []
        for fingerprint in fingerprints:
            items = self._store.items_of(fingerprint, now=now)
            if len(items) >= SHARE_THRESHOLD:
                shareable += items
        return shareable


def _to_messages(items):
    return [EvidenceUpdate(items=tuple(items))] if items else []
