"""What processes on this host have used of the retry budgets, as agents remember it."""

import itertools

from hawthornspoke.protocol import Frame
from hawthornspoke.retries import (
    MEMORY,
    SEND_TIME,
    RetryHistory,
    decode_history,
    encode_use,
)

#: Fraction of this host's part of the allowance that is reported as used ahead of its
#: use, so that not each of many retries needs a message.
RESERVED_SHARE = 1 / 32


class RetryRecords:
    """Reports this host's retries to agents, and learns what it had used before.

    Parameters
    ----------
    host : str
        Name of this host, the same for all its processes; nothing is reported if it is
        empty.
    """

    __slots__ = (
        "_host",
        "_link_by_address",
        "_history_by_address",
        "_used_by_service",
        "_reported_by_service",
        "_requests_by_service",
        "_has_been_denied",
    )

    def __init__(self, *, host):
        self._host = host
        self._link_by_address = {}
        self._history_by_address = {}
        self._used_by_service = {}
        self._reported_by_service = {}
        self._requests_by_service = {}
        self._has_been_denied = False

    def add_agent(self, address, link):
        """Add a connected agent, which answers with the history of this host.

        Parameters
        ----------
        address : str
            Address of its endpoint.
        link : PeerConnection
        """
        if self._host:
            self._link_by_address[address] = link
            link.send(self._report())

    def remove_agent(self, address):
        """Remove an agent; what it has answered still holds."""
        self._link_by_address.pop(address, None)

    def receive(self, address, message, *, now):
        """Record the history that an agent has sent; only the first one counts.

        Parameters
        ----------
        address : str
        message : hawthornspoke.protocol.RetryHistory
        now : float
            On the boot-time clock.
        """
        history = decode_history(message, received_at=now)
        if history is not None:
            self._history_by_address.setdefault(address, history)

    def count_request(self, service):
        """Count a request, which is reported with the next retry."""
        count = self._requests_by_service.get(service, 0)
        self._requests_by_service[service] = count + 1

    def record_denial(self):
        """Record that a retry was denied, for which requests didn't earn enough."""
        self._has_been_denied = True

    def record_charge(self, service, *, share):
        """Report a retry before it is sent.

        Parameters
        ----------
        service : str
        share : float
            This host's part of the allowance.
        """
        used = self._used_by_service.get(service, 0) + 1
        self._used_by_service[service] = used
        if used > self._reported_by_service.get(service, 0):
            reserved = int(RESERVED_SHARE * share)
            self._reported_by_service[service] = used + reserved
            self._send_report()

    def report_requests(self):
        """Report the requests that were counted, if that matters for retries."""
        if self._has_been_denied:
            self._send_report()

    def history(self, *, window):
        """Return what processes before this one have used, None if it isn't known.

        Parameters
        ----------
        window : float
            Seconds for which retries count.

        Returns
        -------
        RetryHistory or None
        """
        histories = list(self._history_by_address.values())
        known = [item for item in histories if item.is_known]
        # Agents that never met this host were cut off from it, if others have.
        covered = max((item.covered for item in known or histories), default=0.0)
        if window > MEMORY or covered < window + SEND_TIME:
            return None
        counts_by_service = {}
        for item in histories:
            for service, counts in item.counts_by_service.items():
                most = counts_by_service.get(service, ())
                counts_by_service[service] = [
                    max(pair)
                    for pair in itertools.zip_longest(counts, most, fillvalue=0)
                ]
        longest = max(known or histories, key=lambda item: item.covered)
        return RetryHistory(
            covered=covered,
            is_known=bool(known),
            entry_hosts=max(item.entry_hosts for item in histories),
            counts_by_service=counts_by_service,
            # Of one agent: others have had the same ones at other times.
            requests_by_service=longest.requests_by_service,
            received_at=longest.received_at,
        )

    def _send_report(self):
        self._has_been_denied = False
        for link in self._link_by_address.values():
            link.send(self._report())

    def _report(self):
        message = encode_use(
            self._host,
            count_by_service=self._reported_by_service,
            requests_by_service=self._requests_by_service,
        )
        return Frame(retries_used=message)
