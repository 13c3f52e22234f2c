"""An agent's connections to entry hosts: its state out, probes, who tells it."""

import random

from hawthornspoke.base import is_failure, monotonic
from hawthornspoke.peering import PeerConnection
from hawthornspoke.protocol import EntryHosts, Frame
from hawthornspoke.spread._link import LinkDelayEstimator, ProbeEnded, ProbeSent

#: Seconds after which a state is told again to entry hosts that keep to this engine,
#: in the own failure domain and in others: those send requests here only when theirs
#: is full. Silence for a few of these times tells that the host stands still.
LOCAL_REPORT_INTERVAL = 0.25
REMOTE_REPORT_INTERVAL = 2.0

#: Seconds between two states told to far hosts while only the load changes.
REMOTE_LOAD_INTERVAL = 1.0

#: The same for hosts that don't keep to this engine. They send requests here once
#: theirs are full, and then hear more often.
LOCAL_SLOW_INTERVAL = 1.0
REMOTE_SLOW_INTERVAL = 3.0

#: Range of the random factor applied to these intervals for each far host. If all far
#: hosts got a report at the same time, all would send to the engine that reported last.
REMOTE_JITTER = (0.2, 1.8)

#: Ticks between two probes of the link, 60 bytes each, and seconds for one to come
#: back.
PROBE_TICKS = 3
PROBE_TIMEOUT = 2.0


class _EntryHost:
    """What is known of the entry host at the other end of a connection.

    ``near`` is whether it is in the own failure domain, ``follows`` whether it keeps
    to this engine, ``tells`` whether it reads the platform itself, so that its word on
    peers is first-hand.
    """

    __slots__ = (
        "is_local",
        "follows",
        "reads_platform",
        "reported_at",
        "last_report",
        "jitter",
    )

    def __init__(self):
        self.is_local = False
        self.follows = True
        self.reads_platform = False
        self.reported_at = float("-inf")
        self.last_report = None
        self.jitter = 1.0

    def record_report(self, state, now):
        """Record the state that was sent, and draw the jitter for the next one."""
        self.last_report = state
        self.reported_at = now
        self.jitter = 1.0 if self.is_local else random.uniform(*REMOTE_JITTER)


class EntryLinks:
    """The entry hosts that are connected to an agent.

    Parameters
    ----------
    failure_domain : str
        Of the agent's host.
    spawn : callable
        Runs a coroutine and logs its failure.

    Attributes
    ----------
    link : Link
        Machine that tells how full the host's link is.
    no_reader_since : float or None
        Since when no host that reads the platform is connected, None if one is.
    """

    __slots__ = (
        "link",
        "no_reader_since",
        "_failure_domain",
        "_spawn",
        "_host_by_link",
    )

    def __init__(self, *, failure_domain, spawn):
        self.link = LinkDelayEstimator()
        self.no_reader_since = monotonic()
        self._failure_domain = failure_domain
        self._spawn = spawn
        self._host_by_link = {}

    def __len__(self):
        return len(self._host_by_link)

    def delay(self):
        """Return the seconds that a message may wait on the way."""
        return self.link.delay(monotonic())

    def receive(self, link, directive):
        """Note what a directive says of its sender."""
        self.set_failure_domain(link, directive.failure_domain)
        self._host_by_link[link].reads_platform = directive.peers is not None
        self._update_no_reader_since()

    def set_failure_domain(self, link, failure_domain):
        """Record an entry host's failure domain, and name near hosts to each other.

        Parameters
        ----------
        link : object
            Connection to the entry host.
        failure_domain : str
        """
        host = self._host_by_link.setdefault(link, _EntryHost())
        was_near = host.is_local
        host.is_local = failure_domain == self._failure_domain
        if host.is_local and not was_near:
            self._share_addresses()

    def set_follows(self, link, follows):
        """Note whether an entry host keeps to this engine."""
        self._host_by_link.setdefault(link, _EntryHost()).follows = follows

    def drop(self, link):
        """Forget a connection that has ended."""
        host = self._host_by_link.pop(link, None)
        if host is not None and host.is_local:
            self._share_addresses()
        self._update_no_reader_since()

    def report(self, state, now):
        """Send the engine's state to the hosts for which it is due."""
        due = [
            (link, host)
            for link, host in self._host_by_link.items()
            if _is_due(host, state, now)
        ]
        if not due:
            return
        # All hear the same, up to ten times a second; encoding it for each is a cost
        # that grows with the entry hosts.
        data = PeerConnection.encode(Frame(engine_state=state))
        for link, host in due:
            host.record_report(state, now)
            link.send_encoded(data)

    async def probe(self, ticks):
        """Probe the own link until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        number = 0
        while True:
            await ticks.next(PROBE_TICKS)
            is_local = self._local_links()
            if is_local:
                number += 1
                self._spawn(self._probe_once(is_local[number % len(is_local)], number))

    async def _probe_once(self, link, number):
        self.link.step(ProbeSent(number=number), now=monotonic())
        answer = await link.ask(Frame(probe=True), timeout=PROBE_TIMEOUT)
        ended = ProbeEnded(number=number, answered=not is_failure(answer))
        self.link.step(ended, now=monotonic())

    def _local_links(self):
        return [link for link, host in self._host_by_link.items() if host.is_local]

    def _share_addresses(self):
        is_local = self._local_links()
        addresses = sorted(link.address for link in is_local)
        for link in is_local:
            link.send(Frame(entry_hosts=EntryHosts(addresses=addresses)))

    def _update_no_reader_since(self):
        if any(host.reads_platform for host in self._host_by_link.values()):
            self.no_reader_since = None
        elif self.no_reader_since is None:
            self.no_reader_since = monotonic()


def _is_due(host, state, now):
    last_report = host.last_report
    if last_report is None:
        return True
    held = (last_report.weights_version, last_report.layer_to, last_report.loading)
    if held != (state.weights_version, state.layer_to, state.loading):
        return True
    load_changed = (last_report.running, last_report.waiting) != (
        state.running,
        state.waiting,
    )
    return now >= host.reported_at + host.jitter * _report_interval(host, load_changed)


def _report_interval(host, load_changed):
    """Return the seconds between two words to a host while the weights stay."""
    if not host.follows:
        return LOCAL_SLOW_INTERVAL if host.is_local else REMOTE_SLOW_INTERVAL
    if host.is_local:
        return 0.0 if load_changed else LOCAL_REPORT_INTERVAL
    return REMOTE_LOAD_INTERVAL if load_changed else REMOTE_REPORT_INTERVAL
