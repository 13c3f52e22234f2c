"""An agent's part in finding requests that end endpoints: it joins what hosts saw."""

from hawthornspoke.base import monotonic
from hawthornspoke.peering import PeerConnection, read_evidence, write_evidence
from hawthornspoke.quarantine import EvidenceExchange, EvidenceHeard


class EvidenceLinks:
    """The connections over which entry hosts tell evidence, and hear of others'."""

    __slots__ = ("exchange", "_links")

    def __init__(self):
        self.exchange = EvidenceExchange()
        self._links = set()

    def take(self, link, frame):
        """Take what an entry host saw, and tell all others what follows.

        Parameters
        ----------
        link : PeerConnection
        frame : Frame
        """
        now = monotonic()
        heard = EvidenceHeard(items=read_evidence(frame, now=now))
        for news in self.exchange.step(heard, now=now):
            told = PeerConnection.encode(write_evidence(news.items, now=now))
            for other in self._links:
                other.send_encoded(told)
        if link not in self._links:
            self._links.add(link)
            link.send(write_evidence(self.exchange.evidence(now=now), now=now))

    def drop(self, link):
        """Forget a connection that has ended."""
        self._links.discard(link)
