"""An agent's connections to entry hosts: state reports, probes and directive sources.

An entry host accepts requests and sends each to an engine. It is local if it is in the
agent's failure domain, and remote otherwise. It follows the engines among which it
chooses first; only if these are full does it send requests to others.
"""

import random

from hawthornspoke.base import LargestRecent, boottime_clock, is_failure, monotonic
from hawthornspoke.peering import (
    MAX_UNCERTAINTY,
    DatedReport,
    DeclarationReport,
    PeerConnection,
)
from hawthornspoke.protocol import EntryHosts, Frame, RemoteEntryHost
from hawthornspoke.spread._link_delay import LinkDelayEstimator, ProbeEnded, ProbeSent
from hawthornspoke.swarm import READERS_PER_DOMAIN, seeder_order

#: Seconds after which an unchanged state is reported again to entry hosts that follow
#: this engine. Remote ones get it less often, because they send requests here only when
#: their own failure domain is full. An entry host considers this host unresponsive
#: after a few intervals without a report.
LOCAL_REPORT_INTERVAL = 0.25
REMOTE_REPORT_INTERVAL = 2.0

#: Seconds between two reports to remote entry hosts that follow this engine, while only
#: its numbers of running and waiting requests change. Local ones get these at once.
REMOTE_LOAD_INTERVAL = 1.0

#: Seconds between two reports to entry hosts that don't follow this engine. They send
#: requests here only once the engines they follow are full, and then follow this one
#: too.
LOCAL_SLOW_INTERVAL = 1.0
REMOTE_SLOW_INTERVAL = 3.0

#: Range of the random factor applied to these intervals for each remote host. If all
#: remote hosts got a report at the same time, all would send requests to the engine
#: that reported last.
REMOTE_JITTER = (0.2, 1.8)

#: Ticks between two probes of the link, of 60 bytes each, and the timeout of a probe in
#: seconds.
PROBE_TICKS = 3
PROBE_TIMEOUT = 2.0

#: Seconds for which entry hosts that were connected together still count.
HOST_MEMORY = 30.0


class _EntryHost:
    """State of one connected entry host.

    ``failure_domain`` is None until it has named it. ``local`` is whether it is in this
    host's failure domain, ``follows`` whether it follows this engine,
    ``reads_platform`` whether it reads the platform itself: its directives then list
    the peers. ``request_rates`` is what it last sent, if anything. ``dated`` is the
    DatedReport of its last directive.
    """

    __slots__ = (
        "failure_domain",
        "local",
        "follows",
        "reads_platform",
        "request_rates",
        "dated",
        "reported_at",
        "last_report",
        "jitter",
    )

    def __init__(self, *, on_unusable_clock=None):
        self.failure_domain = None
        self.local = False
        self.follows = True
        self.reads_platform = False
        self.request_rates = None
        self.dated = DatedReport(on_unusable=on_unusable_clock)
        self.reported_at = float("-inf")
        self.last_report = None
        self.jitter = 1.0

    def record_report(self, state, now):
        """Record the state that was sent and draw the jitter of the next interval."""
        self.last_report = state
        self.reported_at = now
        self.jitter = 1.0 if self.local else random.uniform(*REMOTE_JITTER)


class EntryLinks:
    """The entry hosts connected to an agent.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the agent's host.
    spawn : callable
        Runs a coroutine and logs its failure.
    on_local_hosts : callable or None, default=None
        Called with the addresses of the entry hosts in the agent's failure domain
        whenever they have changed.
    on_unusable_clock : callable or None, default=None
        Called with the address of an entry host and a reason, once per connection, if
        it sends a reading of its clock that can't be right.

    Attributes
    ----------
    link : LinkDelayEstimator
        State machine that estimates the queueing delay of the host's link.
    no_reader_since : float or None
        Time since which no entry host that reads the platform has been connected, None
        while one is.
    """

    __slots__ = (
        "link",
        "no_reader_since",
        "_failure_domain",
        "_spawn",
        "_on_local_hosts",
        "_on_unusable_clock",
        "_host_by_link",
        "_largest",
        "_shared",
    )

    def __init__(
        self, *, failure_domain, spawn, on_local_hosts=None, on_unusable_clock=None
    ):
        self.link = LinkDelayEstimator()
        self.no_reader_since = monotonic()
        self._failure_domain = failure_domain
        self._spawn = spawn
        self._on_local_hosts = on_local_hosts
        self._on_unusable_clock = on_unusable_clock
        self._host_by_link = {}
        self._largest = LargestRecent(memory=HOST_MEMORY, settling_time=0.0)
        self._shared = None

    def __len__(self):
        return len(self._host_by_link)

    def largest_count(self):
        """Return the number of entry hosts, at least that of the recent past.

        Returns
        -------
        int
            The largest number that was connected at a time within ``HOST_MEMORY``.
        """
        now = boottime_clock()
        self._largest.add(max(1, len(self)), now)
        return self._largest.value(now)

    def delay(self):
        """Return the estimated queueing delay on this host's link, in seconds."""
        return self.link.delay(monotonic())

    def receive(self, link, directive):
        """Record what a directive says about its sender."""
        self.set_failure_domain(link, directive.failure_domain)
        host = self._host_by_link[link]
        host.reads_platform = directive.peers is not None
        host.dated.report = DeclarationReport.from_directive(directive)
        host.dated.want_exchange(boottime_clock())
        self._request_clock(link, host)
        self._update_no_reader_since()

    def set_failure_domain(self, link, failure_domain):
        """Record an entry host's failure domain.

        If it is new among the local entry hosts, all of them are sent the addresses of
        all local ones.

        Parameters
        ----------
        link : object
            Connection to the entry host.
        failure_domain : str
        """
        host = self._host(link)
        if failure_domain != host.failure_domain:
            host.failure_domain = failure_domain
            host.local = failure_domain == self._failure_domain
            self._share_addresses(is_new_local=host.local)

    def update_host(self, link, frame):
        """Record whether an entry host follows this engine, or its request rates.

        Parameters
        ----------
        link : object
            Connection to the entry host.
        frame : Frame
        """
        host = self._host(link)
        if frame.follows is not None:
            host.follows = frame.follows
        if frame.request_rates is not None:
            host.request_rates = frame.request_rates

    def receive_clock(self, link, reading):
        """Take a reading of an entry host's clock, and answer it.

        Parameters
        ----------
        link : object
            Connection to the entry host; others are ignored.
        reading : ClockReading
        """
        host = self._host_by_link.get(link)
        if host is None:
            return
        answer = host.dated.clock.receive(reading, now=boottime_clock())
        if answer is not None:
            link.send(Frame(clock=answer))

    def made_between(self, link):
        """Return bounds on the time at which an entry host made its last directive.

        Returns
        -------
        tuple of float
            See ``LinkClock``.
        """
        return self._host_by_link[link].dated.made_between(boottime_clock())

    def is_clock_exact(self, link):
        """Return whether the time of an entry host's directive is known closely."""
        earliest, latest = self.made_between(link)
        return latest - earliest <= MAX_UNCERTAINTY

    def declaration_report(self, link):
        """Return the DeclarationReport of an entry host's last directive, or None."""
        host = self._host_by_link.get(link)
        return None if host is None else host.dated.report

    def declaration_reports(self):
        """Return the connections of entry hosts with the report of each last directive.

        Returns
        -------
        list of (object, DeclarationReport)
        """
        return [
            (link, host.dated.report)
            for link, host in self._host_by_link.items()
            if host.dated.report is not None
        ]

    def request_rate_sums(self):
        """Return the requests per second of local hosts and the overflow of all.

        Returns
        -------
        tuple of float or None
            None if no host has sent its rates.
        """
        known = [host for host in self._host_by_link.values() if host.request_rates]
        if not known:
            return None
        local = [item.request_rates.requests for item in known if item.local]
        return (
            sum(rate or 0.0 for rate in local),
            sum(item.request_rates.overflow or 0.0 for item in known),
        )

    def drop(self, link):
        """Remove a closed connection."""
        self._largest.add(len(self), boottime_clock())
        host = self._host_by_link.pop(link, None)
        if host is not None:
            self._share_addresses()
        self._update_no_reader_since()

    def report(self, state, now):
        """Send the engine's state to the hosts that are due for a report."""
        due = [
            (link, host)
            for link, host in self._host_by_link.items()
            if _is_due(host, state, now)
        ]
        if not due:
            return
        # All hosts get the same bytes, up to ten times a second. Encoding them for each
        # host would cost time in proportion to the number of entry hosts.
        data = PeerConnection.encode(Frame(engine_state=state))
        for link, host in due:
            host.record_report(state, now)
            link.send_encoded(data)

    async def probe(self, ticks):
        """Probe this host's link until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        number = 0
        while True:
            await ticks.next(PROBE_TICKS)
            self._request_clocks()
            local = self._local_links()
            if local:
                number += 1
                self._spawn(self._probe_once(local[number % len(local)], number))

    def _request_clocks(self):
        for link, host in self._host_by_link.items():
            self._request_clock(link, host)

    def _request_clock(self, link, host):
        # Older entry hosts don't answer, and the others begin.
        if not host.dated.clock.is_supported:
            return
        request = host.dated.clock.request(boottime_clock())
        if request is not None:
            link.send(Frame(clock=request))

    async def _probe_once(self, link, number):
        self.link.step(ProbeSent(number=number), now=monotonic())
        answer = await link.ask(Frame(probe=True), timeout=PROBE_TIMEOUT)
        ended = ProbeEnded(number=number, answered=not is_failure(answer))
        self.link.step(ended, now=monotonic())

    def _host(self, link):
        host = self._host_by_link.get(link)
        if host is None:

            def report_unusable(reason):
                if self._on_unusable_clock is not None:
                    self._on_unusable_clock(link.address, reason)

            host = _EntryHost(on_unusable_clock=report_unusable)
            self._host_by_link[link] = host
        return host

    def _local_links(self):
        return [link for link, host in self._host_by_link.items() if host.local]

    def _share_addresses(self, *, is_new_local=False):
        """Send all local hosts the addresses of entry hosts, if these have changed."""
        local = self._local_links()
        addresses = sorted(link.address for link in local)
        remote = self._remote_hosts()
        if (addresses, remote) == self._shared and not is_new_local:
            return
        local_changed = self._shared is None or self._shared[0] != addresses
        self._shared = (addresses, remote)
        message = EntryHosts(
            addresses=addresses,
            remote=[
                RemoteEntryHost(address=address, failure_domain=failure_domain)
                for failure_domain, address in remote
            ],
        )
        for link in local:
            link.send(Frame(entry_hosts=message))
        if local_changed and self._on_local_hosts is not None:
            self._on_local_hosts(addresses)

    def _remote_hosts(self):
        """Return the first seeders of other failure domains, with their domains."""
        addresses_by_domain = {}
        for link, host in self._host_by_link.items():
            if host.failure_domain and not host.local:
                addresses = addresses_by_domain.setdefault(host.failure_domain, set())
                addresses.add(link.address)
        return [
            (failure_domain, address)
            for failure_domain, addresses in sorted(addresses_by_domain.items())
            for address in seeder_order(addresses)[:READERS_PER_DOMAIN]
        ]

    def _update_no_reader_since(self):
        if any(host.reads_platform for host in self._host_by_link.values()):
            self.no_reader_since = None
        elif self.no_reader_since is None:
            self.no_reader_since = monotonic()


def _is_due(host, state, now):
    last_report = host.last_report
    if last_report is None:
        return True
    reported_weights = (
        last_report.weights_version,
        last_report.layer_to,
        last_report.loading,
    )
    if reported_weights != (state.weights_version, state.layer_to, state.loading):
        return True
    load_changed = _load_of(last_report) != _load_of(state)
    return now >= host.reported_at + host.jitter * _report_interval(host, load_changed)


def _load_of(state):
    return state.running, state.waiting, state.slowdown


def _report_interval(host, load_changed):
    """Return a host's report interval in seconds while the weights don't change."""
    if not host.follows:
        return LOCAL_SLOW_INTERVAL if host.local else REMOTE_SLOW_INTERVAL
    if host.local:
        return 0.0 if load_changed else LOCAL_REPORT_INTERVAL
    return REMOTE_LOAD_INTERVAL if load_changed else REMOTE_REPORT_INTERVAL
