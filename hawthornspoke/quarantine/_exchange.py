"""Evidence on its way between entry hosts: a pure state machine of agents."""

from hawthornspoke.base import MACHINES, Machine
from hawthornspoke.quarantine._evidence import EvidenceBook
from hawthornspoke.quarantine._messages import EvidenceHeard, News

#: What the machine takes.
MESSAGES = (EvidenceHeard,)

#: Ends of endpoints from which all entry hosts are told of a request. Most requests
#: that ran at one end only ran beside the one that caused it.
TOLD_FROM = 2


@MACHINES.register("evidence_exchange")
class EvidenceExchange(Machine):
    """Joins what entry hosts saw, each of which sees a part of a request's repeats."""

    __slots__ = ("_book",)

    def __init__(self):
        self._book = EvidenceBook()

    def on_evidence_heard(self, message, *, now):
        """Take what an entry host knows; return what all of them should.

        Parameters
        ----------
        message : EvidenceHeard
        now : float

        Returns
        -------
        list of News
        """
        changed = {
            item.fingerprint: None
            for item in message.items
            if self._book.add(item, now=now)
        }
        return _news(self._told_of(changed, now))

    def evidence(self, *, now):
        """Return what an entry host has to know that has just connected.

        Returns
        -------
        list of Evidence
        """
        self._book.sweep(now=now)
        return self._told_of(self._book.fingerprints(), now)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {"requests": len(self._book), "told": len(self.evidence(now=now))}

    def _told_of(self, fingerprints, now):
        found = []
        for fingerprint in fingerprints:
            items = self._book.of(fingerprint, now=now)
            if len(items) >= TOLD_FROM:
                found += items
        return found


def _news(items):
    return [News(items=tuple(items))] if items else []
