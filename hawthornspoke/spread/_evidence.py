"""An agent's part in finding requests that end endpoints: it joins what hosts saw."""

from hawthornspoke.base import monotonic
from hawthornspoke.peering import PeerConnection
from hawthornspoke.protocol import Frame
from hawthornspoke.quarantine import (
    EvidenceExchange,
    EvidenceHeard,
    read_evidence,
    write_evidence,
)


class EvidenceLinks:
    """The connections over which entry hosts tell evidence, and hear of others'."""

    __slots__ = ("exchange", "_links")

    def __init__(self):
        self.exchange = EvidenceExchange()
        self._links = set()

    def receive(self, link, frame):
        """Take what an entry host saw, and tell all others what follows.

        Parameters
        ----------
        link : PeerConnection
        frame : Frame
        """
        now = monotonic()
        heard = EvidenceHeard(items=read_evidence(frame.evidence, now=now))
        for news in self.exchange.step(heard, now=now):
            told = Frame(evidence=write_evidence(news.items, now=now))
            data = PeerConnection.encode(told)
            for other in self._links:
                other.send_encoded(data)
        if link not in self._links:
            self._links.add(link)
            known = write_evidence(self.exchange.evidence(now=now), now=now)
            link.send(Frame(evidence=known))

    def drop(self, link):
        """Forget a connection that has ended."""
        self._links.discard(link)
