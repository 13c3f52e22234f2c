"""Quarantine of requests that crash engines, shared between entry hosts.

Evidence against a request is the record that an engine exited while the request ran.
"""

from loguru import logger

from hawthornspoke.base import Failure
from hawthornspoke.protocol import PROTOCOL_VERSION, Datagram, EvidenceNews
from hawthornspoke.quarantine import (
    EndpointEnded,
    EvidenceReceived,
    EvidenceUpdate,
    Quarantine,
    Quarantined,
    Released,
    RequestCompleted,
    decode_evidence,
    encode_evidence,
)

QUARANTINED = Failure(code="quarantined")

#: Seconds for which new evidence is resent at each heartbeat, since datagrams get lost.
RESEND_PERIOD = 5.0

#: Maximum number of evidence items per datagram; an item takes about 60 bytes.
MAX_ITEMS_PER_DATAGRAM = 500


class QuarantineSync:
    """Detects requests that crash engines and informs the other entry hosts.

    Parameters
    ----------
    core : NodeCore
    socket : DatagramSocket
    metrics : Metrics

    Attributes
    ----------
    quarantine : Quarantine
    """

    __slots__ = ("quarantine", "_core", "_socket", "_metrics", "_resend_deadline")

    def __init__(self, *, core, socket, metrics):
        self.quarantine = Quarantine()
        self._core = core
        self._socket = socket
        self._metrics = metrics
        self._resend_deadline = float("-inf")

    def quarantine_failure(self, fingerprint, *, now):
        """Return a Failure if the request is in quarantine, else None.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        None or Failure
        """
        until = self.quarantine.quarantined_until(fingerprint, now=now)
        if until is None:
            return None
        reason = "engines ended under this request"
        return QUARANTINED.with_reason(reason, retry_after=until - now)

    def record_engine_exit(self, exit_id, fingerprint, *, in_use, now):
        """Record an engine exit during a request of this host."""
        message = EndpointEnded(
            incarnation_id=exit_id,
            fingerprints=(fingerprint,),
            other_endpoints_in_use=in_use,
        )
        self._step(message, now)

    def record_completion(self, fingerprint, *, now):
        """Record that an engine completed a request."""
        self._step(RequestCompleted(fingerprint=fingerprint), now)

    def merge_evidence(self, news, *, now):
        """Merge evidence from another entry host.

        Parameters
        ----------
        news : EvidenceNews
        now : float
        """
        items = decode_evidence(news.items, now=now)
        self._step(EvidenceReceived(items=items), now, is_local=False)

    def resend_recent(self, *, now):
        """Resend recent evidence to all entry hosts; called at each heartbeat."""
        if now < self._resend_deadline:
            recent = self.quarantine.evidence(now=now)
            self._send(recent, self._core.reachable_entries(), now)

    def send_all(self, view, *, now):
        """Send all evidence to an entry host that is new or was partitioned."""
        self._send(self.quarantine.evidence(now=now), [view], now)

    def _step(self, message, now, *, is_local=True):
        for outcome in self.quarantine.step(message, now=now):
            if isinstance(outcome, EvidenceUpdate):
                if is_local:
                    self._resend_deadline = now + RESEND_PERIOD
                    self._send(outcome.items, self._core.reachable_entries(), now)
            elif isinstance(outcome, Quarantined):
                self._metrics.count("requests_quarantined_total")
                logger.warning(
                    "request with fingerprint {} quarantined; "
                    "engines that exited while running it: {}",
                    outcome.fingerprint,
                    ", ".join(outcome.incarnation_ids),
                )
            elif isinstance(outcome, Released):
                logger.info(
                    "request with fingerprint {} released from quarantine",
                    outcome.fingerprint,
                )

    def _send(self, evidence, views, now):
        items = encode_evidence(evidence, now=now)
        targets = [(view.address, view.port) for view in views]
        for first in range(0, len(items), MAX_ITEMS_PER_DATAGRAM):
            news = EvidenceNews(
                version=PROTOCOL_VERSION,
                revision=self._core.holder.heard_revision,
                items=items[first : first + MAX_ITEMS_PER_DATAGRAM],
            )
            self._socket.send(Datagram(evidence=news), targets)
