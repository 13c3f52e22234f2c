"""Requests that end engines: what this host sees of them, and which it refuses."""

from loguru import logger

from hawthornspoke.base import Failure
from hawthornspoke.protocol import PROTOCOL_VERSION, Datagram, EvidenceNews
from hawthornspoke.quarantine import (
    Answered,
    EndpointEnded,
    EvidenceHeard,
    News,
    Quarantine,
    Quarantined,
    read_evidence,
    write_evidence,
)

QUARANTINED = Failure(code="quarantined")

#: Seconds for which news is told again at each heartbeat: datagrams get lost.
TELL_FOR = 5.0

#: Items in one datagram; an item takes some 60 bytes.
MOST_ITEMS = 500


class Suspects:
    """Finds out which requests end engines, and tells the other entry hosts.

    Parameters
    ----------
    core : NodeCore
    socket : DatagramSocket
    metrics : Metrics

    Attributes
    ----------
    quarantine : Quarantine
    """

    __slots__ = ("quarantine", "_core", "_socket", "_metrics", "_tell_deadline")

    def __init__(self, *, core, socket, metrics):
        self.quarantine = Quarantine()
        self._core = core
        self._socket = socket
        self._metrics = metrics
        self._tell_deadline = float("-inf")

    def refusal(self, fingerprint, *, now):
        """Return why a request may not be sent to any endpoint, None if it may.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        None or Failure
        """
        until = self.quarantine.refused_until(fingerprint, now=now)
        if until is None:
            return None
        reason = "engines ended under this request"
        return QUARANTINED.because(reason, retry_after=until - now)

    def engine_ended(self, end, fingerprint, *, in_use, now):
        """Take that an engine ended under a request of this host."""
        message = EndpointEnded(start=end, fingerprints=(fingerprint,), in_use=in_use)
        self._step(message, now)

    def answered(self, fingerprint, *, now):
        """Take that an engine ran a request to its end."""
        self._step(Answered(fingerprint=fingerprint), now)

    def hear(self, news, *, now):
        """Take what another entry host saw.

        Parameters
        ----------
        news : EvidenceNews
        now : float
        """
        items = read_evidence(news.items, now=now)
        self._step(EvidenceHeard(items=items), now, own=False)

    def tell_all(self, *, now):
        """Tell all entry hosts what was found out lately; called at each heartbeat."""
        if now < self._tell_deadline:
            known = self.quarantine.evidence(now=now)
            self._tell(known, self._core.reachable_entries(), now)

    def tell_new(self, view, *, now):
        """Tell an entry host that is new, or was cut off, all that is known."""
        self._tell(self.quarantine.evidence(now=now), [view], now)

    def _step(self, message, now, *, own=True):
        for outcome in self.quarantine.step(message, now=now):
            if isinstance(outcome, News):
                if own:
                    self._tell_deadline = now + TELL_FOR
                    self._tell(outcome.items, self._core.reachable_entries(), now)
            elif isinstance(outcome, Quarantined):
                self._metrics.count("requests_quarantined_total")
                logger.warning(
                    "request {} in quarantine: engines ended under it: {}",
                    outcome.fingerprint,
                    ", ".join(outcome.starts),
                )
            else:
                logger.info("request {} out of quarantine", outcome.fingerprint)

    def _tell(self, evidence, views, now):
        items = write_evidence(evidence, now=now)
        targets = [(view.address, view.port) for view in views]
        for first in range(0, len(items), MOST_ITEMS):
            news = EvidenceNews(
                version=PROTOCOL_VERSION,
                revision=self._core.holder.heard_revision,
                items=items[first : first + MOST_ITEMS],
            )
            self._socket.send(Datagram(evidence=news), targets)
