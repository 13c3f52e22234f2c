"""Division of the rate limits of endpoints among the entry hosts of this agent."""

from hawthornspoke.base import monotonic
from hawthornspoke.peering import PeerConnection
from hawthornspoke.permits import (
    PermitAllocator,
    PermitsDenied,
    PermitsGranted,
    decode_claim,
    decode_reports,
    encode_grant,
    encode_rate_limit,
)
from hawthornspoke.protocol import Frame


class RateLimitLinks:
    """Connections over which entry hosts share limits and claim permits.

    Parameters
    ----------
    metrics : Metrics
    """

    __slots__ = ("allocator", "_metrics", "_links")

    def __init__(self, *, metrics):
        self.allocator = PermitAllocator()
        self._metrics = metrics
        self._links = set()

    def add(self, link):
        """Add the connection of an entry host, and send it the known limits."""
        self._links.add(link)
        known = self.allocator.rate_limits(now=monotonic())
        if known:
            link.send(Frame(rate_limits=[encode_rate_limit(item) for item in known]))

    def drop(self, link):
        """Remove a closed connection."""
        self._links.discard(link)

    def receive(self, link, frame):
        """Record an entry host's limits, and send what is news to the other hosts.

        Parameters
        ----------
        link : PeerConnection
        frame : Frame
        """
        now = monotonic()
        for report in decode_reports(frame.rate_limits, now=now):
            # A repeated report may cross the limit that its sender got on connecting.
            without = link if report.learned_at is None else None
            self._share(self.allocator.step(report, now=now), without=without)

    def answer(self, link, frame):
        """Answer an entry host's claim of permits.

        Parameters
        ----------
        link : PeerConnection
        frame : Frame
        """
        claim = decode_claim(frame.permit_claim)
        answer = Frame(call=-frame.call)
        if claim is not None:
            now = monotonic()
            result, *updates = self.allocator.step(claim, now=now)
            if isinstance(result, PermitsGranted):
                self._metrics.count("permits_granted_total", result.count)
            elif isinstance(result, PermitsDenied):
                self._metrics.count("permit_claims_denied_total")
            answer.permit_grant = encode_grant(result, now=now)
            ended = [item for item in updates if item.rate is None]
            if ended:
                limits = [encode_rate_limit(item) for item in ended]
                link.send(Frame(rate_limits=limits))
            self._share([item for item in updates if item not in ended], without=link)
        link.send(answer)

    def _share(self, updates, *, without):
        if not updates:
            return
        limits = [encode_rate_limit(item) for item in updates]
        data = PeerConnection.encode(Frame(rate_limits=limits))
        for link in self._links:
            if link is not without:
                link.send_encoded(data)
