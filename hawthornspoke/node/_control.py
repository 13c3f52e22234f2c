"""Actor that owns the state of a node."""

import os

import pykka
from loguru import logger

from hawthornspoke.base import boottime_clock, monotonic
from hawthornspoke.membership import MemberChanged
from hawthornspoke.node._core import NodeCore
from hawthornspoke.node._messages import (
    Call,
    DatagramReceived,
    DocumentFetched,
    DocumentFetchRequested,
    DrainRequested,
    DumpRequested,
    HostsRead,
    ReadHosts,
    ReadTable,
    TableRowRead,
    TimerTick,
)
from hawthornspoke.node._platform_actor import PlatformActor, connect_platform
from hawthornspoke.protocol import PROTOCOL_VERSION, Status
from hawthornspoke.revision import DocumentActivated, FetchDocument

#: Width of the random variation of an interval, as a fraction of it, so that nodes
#: started together don't keep reading the table at the same time.
JITTER_FRACTION = 0.1

#: Seconds between checks for nodes that have been silent too long. Each check visits
#: every node of the failure domain, and timeouts of several seconds need no finer
#: resolution.
MEMBERSHIP_INTERVAL = 0.3

#: Exit code of a process whose state violates an invariant (EX_SOFTWARE).
EXIT_SOFTWARE_ERROR = 70


class ControlActor(pykka.ThreadingActor):
    """Owns a node's view of the other nodes and of the configuration.

    Subclasses add the state of their role, entry host or agent.

    Parameters
    ----------
    settings : Settings
    role : str
    socket : hawthornspoke.protocol.DatagramSocket
    metrics : Metrics
    """

    use_daemon_thread = True

    def __init__(self, *, settings, role, socket, metrics):
        super().__init__()
        self.settings = settings
        self.role = role
        self.socket = socket
        self.metrics = metrics
        self.core = NodeCore(settings=settings, role=role)
        self.incarnation = int(monotonic() * 1000)
        self.seq = 0
        self.leaving = False
        self.membership_deadline = 0.0
        self.platform_reader = None
        self.document_reader = None
        # One read of each kind at a time: while the platform is slow, repeated
        # requests would queue reads whose results are stale when they complete.
        self.reading_table = False
        # Time of the last read request, on the boot-time clock, which also advances
        # while the host is suspended.
        self.table_requested_at = float("-inf")
        self.reading_hosts = False
        self.reading_document = False

    def on_start(self):
        """Start the actors that make blocking calls to the platform."""
        clients = connect_platform(self.settings.platform)
        self.platform_reader = PlatformActor.start(
            clients=clients, control=self.actor_ref
        )
        self.document_reader = PlatformActor.start(
            clients=clients, control=self.actor_ref
        )

    def on_failure(self, exception_type, exception_value, traceback):
        """Exit the process: an exception here is a violated invariant.

        Continuing would serve callers from an inconsistent state, and a process
        without its control actor looks alive to its supervisor. After an exit the
        supervisor restarts it within seconds.
        """
        details = (exception_type, exception_value, traceback)
        logger.opt(exception=details).critical(
            "unhandled exception in the control actor; exiting"
        )
        os._exit(EXIT_SOFTWARE_ERROR)

    def on_receive(self, message):
        """Dispatch one message."""
        now = monotonic()
        if isinstance(message, TimerTick):
            return self._on_tick(now)
        if isinstance(message, DatagramReceived):
            return self._on_datagram(message, now)
        if isinstance(message, Call):
            return getattr(self, message.method)(now=now, **message.arguments)
        return self._on_other_message(message, now)

    def _on_other_message(self, message, now):
        if isinstance(message, TableRowRead):
            self.reading_table = False
            interval = self._jittered(self.core.poll_interval())
            self.core.table_deadline = now + interval
            row_outcomes = self.core.apply_table_row(
                message.row, requested_at=self.table_requested_at, now=now
            )
            self._process_outcomes(row_outcomes, now)
        elif isinstance(message, HostsRead):
            self.reading_hosts = False
            hosts_interval = self.settings.platform["hosts_every"]
            self.core.hosts_deadline = now + self._jittered(hosts_interval)
            self._process_outcomes(
                self.core.apply_host_list(message.entries, now=now), now
            )
            self.on_hosts_changed(now=now)
        elif isinstance(message, DocumentFetched):
            self.reading_document = False
            self._process_outcomes(self.core.accept_document(message, now=now), now)
        elif isinstance(message, DrainRequested):
            self.drain(message.reason, now=now)
        elif isinstance(message, DumpRequested):
            return self.dump(now=now)
        else:
            return self.on_role_message(message, now=now)
        return None

    # Hooks for subclasses.

    def on_role_message(self, message, *, now):
        """Handle a message that is specific to this role."""

    def on_announce(self, announce, *, now):
        """Handle a peer's announcement of the chunks that it holds."""

    def apply_document(self, document, *, now):
        """Apply a configuration document that is now in force."""

    def on_hosts_changed(self, *, now):
        """React to a new host list."""

    def on_member_changed(self, change, *, now):
        """React to a changed member status."""

    def role_tick(self, *, now):
        """Run the periodic work of this role."""

    def send_heartbeat(self, *, now):
        """Send this node's state to the nodes that need it."""

    def reply_to_heartbeat(self, gossip, source, *, now):
        """Reply to a heartbeat whose sender wants a reply."""

    def drain(self, reason, *, now):
        """Reject new work from now on."""
        if not self.leaving:
            logger.info("draining: {}", reason)
        self.leaving = True
        self.core.heartbeat_deadline = now

    def dump(self, *, now):
        """Return the state as JSON-serializable data."""
        return {
            **self.core.dump(now=now),
            "leaving": self.leaving,
            "datagrams_sent": self.socket.sent,
            "datagram_bytes_sent": self.socket.sent_bytes,
            "datagram_bytes_received": self.socket.received_bytes,
            "counters": self.metrics.dump(),
        }

    def document_bytes(self, digest, *, now):
        """Return the packed configuration in force if it has this digest, else None."""
        if self.core.holder.digest == digest:
            return self.core.document_data
        return None

    def status(self, *, now):
        """Return the status of this node for operators."""
        return Status(
            version=PROTOCOL_VERSION,
            revision=self.core.holder.heard_revision,
            in_force=self.core.holder.revision,
            member=self.own_member(now=now),
            origin_bytes=self.metrics.counter_value("origin_bytes_total"),
            peer_bytes=self.metrics.counter_value("peer_bytes_total"),
            problem_by_key=self.problems(),
        )

    def own_member(self, *, now):
        """Return this node's state for gossip messages."""
        raise NotImplementedError

    def problems(self):
        """Return why declared weights are not in use on this host, by service key."""
        return {}

    def revision_seen(self, *, now):
        """Return the highest configuration revision known to this node."""
        return self.core.holder.heard_revision

    def hear_revision(self, revision, *, now):
        """Handle a configuration revision that another process's message carried."""
        if revision and revision > self.core.holder.heard_revision:
            self._process_outcomes(
                self.core.hear_revision(revision, "", "", now=now), now
            )

    # Shared handling.

    def _on_datagram(self, message, now):
        datagram = message.datagram
        if datagram.announce is not None:
            self.on_announce(datagram.announce, now=now)
        gossip = datagram.gossip
        if gossip is None:
            return
        self._process_outcomes(self.core.apply_gossip(gossip, now=now), now)
        if gossip.reply_wanted and gossip.sender is not None:
            self.reply_to_heartbeat(gossip, message.source, now=now)

    def _on_tick(self, now):
        core = self.core
        if now >= self.membership_deadline:
            self.membership_deadline = now + MEMBERSHIP_INTERVAL
            self._process_outcomes(core.tick(now=now), now)
        if now >= core.table_deadline and not self.reading_table:
            self.reading_table = True
            self.table_requested_at = boottime_clock()
            self.platform_reader.tell(ReadTable())
        if now >= core.hosts_deadline and not self.reading_hosts:
            self.reading_hosts = True
            self.platform_reader.tell(ReadHosts())
        due_fetch = core.next_document_fetch(now=now)
        if due_fetch is not None:
            self._fetch(due_fetch, now)
        if now >= core.heartbeat_deadline:
            core.heartbeat_deadline = now + self.settings["heartbeat_every"]
            # A node that has just become a poller (see POLLER_COUNT) must not wait for
            # the end of its previous, longer interval.
            next_poll = now + core.poll_interval()
            core.table_deadline = min(core.table_deadline, next_poll)
            self.seq += 1
            self.send_heartbeat(now=now)
        self.role_tick(now=now)

    def _process_outcomes(self, outcomes, now):
        for outcome in outcomes:
            if isinstance(outcome, FetchDocument):
                self._fetch(outcome, now)
            elif isinstance(outcome, DocumentActivated):
                self._activate(outcome, now)
            elif isinstance(outcome, MemberChanged):
                logger.info(
                    "node {}: {} -> {}", outcome.node, outcome.before, outcome.after
                )
                self.metrics.count("member_changes_total", to=outcome.after)
                self.on_member_changed(outcome, now=now)

    def _fetch(self, fetch, now):
        if self.reading_document:
            return
        self.reading_document = True
        address, port = self.core.document_source(fetch, now=now)
        message = DocumentFetchRequested(
            digest=fetch.digest, address=address, port=port
        )
        self.document_reader.tell(message)

    def _activate(self, outcome, now):
        logger.info("revision {} is active", outcome.revision)
        self.metrics.count("revisions_in_force_total")
        self.apply_document(outcome.document, now=now)
        # Send a heartbeat immediately, so that other nodes learn the revision.
        self.core.heartbeat_deadline = now

    def _jittered(self, seconds):
        return seconds * (1 + JITTER_FRACTION * (self.core.rng.random() - 0.5))
