"""What this agent remembers of the retries of entry hosts."""

from hawthornspoke.base import boottime_clock
from hawthornspoke.protocol import Frame
from hawthornspoke.retries import (
    ConnectionLost,
    RetryLedger,
    decode_use,
    encode_history,
)


class RetryLinks:
    """Connections of entry hosts that report their retries.

    Parameters
    ----------
    entry_links : EntryLinks
        Connections of entry hosts in all failure domains.
    """

    __slots__ = ("ledger", "_entry_links")

    def __init__(self, *, entry_links):
        self._entry_links = entry_links
        self.ledger = RetryLedger()
        self.ledger.start(boottime_clock())

    def receive(self, link, frame):
        """Record what an entry host has used; answer its first report.

        Parameters
        ----------
        link : PeerConnection
        frame : Frame
        """
        report = decode_use(
            frame.retries_used,
            connection=link,
            entry_hosts=self._entry_links.largest_count(),
        )
        if report is None:
            return
        for history in self.ledger.step(report, now=boottime_clock()):
            link.send(Frame(retry_history=encode_history(history)))

    def drop(self, link):
        """Remove a closed connection."""
        self.ledger.step(ConnectionLost(connection=link), now=boottime_clock())
