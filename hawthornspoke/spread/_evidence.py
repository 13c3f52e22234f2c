"""Merging of the evidence that entry hosts collect on requests that crash endpoints."""

from hawthornspoke.base import monotonic
from hawthornspoke.peering import PeerConnection
from hawthornspoke.protocol import Frame, RetrialGrant
from hawthornspoke.quarantine import (
    EvidenceExchange,
    EvidenceReceived,
    RetrialGranted,
    decode_claim,
    decode_evidence,
    encode_evidence,
)


class EvidenceLinks:
    """Connections over which entry hosts exchange evidence through this agent."""

    __slots__ = ("exchange", "_links")

    def __init__(self):
        self.exchange = EvidenceExchange()
        self._links = set()

    def receive(self, link, frame):
        """Merge an entry host's evidence and send what is new to all entry hosts.

        Parameters
        ----------
        link : PeerConnection
        frame : Frame
            Alternatively a claim, which is answered.
        """
        if frame.retrial_claim is not None:
            self._answer_claim(link, frame)
            return
        now = monotonic()
        received = EvidenceReceived(items=decode_evidence(frame.evidence, now=now))
        for outcome in self.exchange.step(received, now=now):
            update = Frame(evidence=encode_evidence(outcome.items, now=now))
            data = PeerConnection.encode(update)
            for other in self._links:
                other.send_encoded(data)
        if link not in self._links:
            self._links.add(link)
            current = encode_evidence(self.exchange.evidence(now=now), now=now)
            link.send(Frame(evidence=current))

    def _answer_claim(self, link, frame):
        now = monotonic()
        claim = decode_claim(frame.retrial_claim, now=now)
        outcomes = self.exchange.step(claim, now=now) if claim else []
        is_granted = any(isinstance(item, RetrialGranted) for item in outcomes)
        answer = RetrialGrant(is_granted=is_granted)
        link.send(Frame(call=-frame.call, retrial_grant=answer))

    def drop(self, link):
        """Remove a closed connection."""
        self._links.discard(link)
