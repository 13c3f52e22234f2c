"""State machine of agents that exchanges evidence between entry hosts."""

from hawthornspoke.base import MACHINES, Machine
from hawthornspoke.quarantine._evidence import EvidenceStore
from hawthornspoke.quarantine._messages import EvidenceReceived, EvidenceUpdate

#: Messages that the machine handles.
MESSAGES = (EvidenceReceived,)

#: Number of ends from which evidence of a request is shared with all entry hosts. Most
#: requests with one end only ran alongside the cause.
SHARE_THRESHOLD = 2


@MACHINES.register("evidence_exchange")
class EvidenceExchange(Machine):
    """Merges evidence of entry hosts, each of which sees some repeats of a request."""

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
        found = []
        for fingerprint in fingerprints:
            items = self._store.items_of(fingerprint, now=now)
            if len(items) >= SHARE_THRESHOLD:
                found += items
        return found


def _to_messages(items):
    return [EvidenceUpdate(items=tuple(items))] if items else []
