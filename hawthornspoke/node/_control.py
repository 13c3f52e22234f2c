"""The actor that owns a node's state."""

import os

import pykka
from loguru import logger

from hawthornspoke.base import contact_clock, monotonic
from hawthornspoke.membership import MemberChanged
from hawthornspoke.node._core import NodeCore
from hawthornspoke.node._messages import (
    Call,
    DatagramArrived,
    DocumentArrived,
    DrainOrdered,
    DumpAsked,
    FetchDocumentNow,
    HostsRead,
    ReadHosts,
    ReadTable,
    TableRowRead,
    TimePassed,
)
from hawthornspoke.node._platform_actor import PlatformActor, connect_platform
from hawthornspoke.protocol import PROTOCOL_VERSION, Status
from hawthornspoke.revision import FetchDocument, InForce

#: Part of an interval by which it is varied, so that nodes started together
#: don't read the table together for ever.
JITTER = 0.1

#: Seconds between two looks at all members' deadlines. Each looks at every node
#: of the failure domain, and a timeout of seconds needs no finer clock.
MEMBERSHIP_EVERY = 0.3

#: Exit code of a process whose state broke an invariant (EX_SOFTWARE).
EXIT_BROKEN = 70


class ControlActor(pykka.ThreadingActor):
    """Owns membership and revision; subclasses add their role's state.

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
        self.platform = None
        self.documents = None
        # One read of each kind at a time: while the platform is slow, asking
        # again and again would queue reads that are all stale when they end.
        self.reading_table = False
        # On the clock that goes on while the host is suspended.
        self.table_asked_at = float("-inf")
        self.reading_hosts = False
        self.reading_document = False

    def on_start(self):
        """Start the actors that wait for the platform."""
        clients = connect_platform(self.settings.platform)
        self.platform = PlatformActor.start(clients=clients, control=self.actor_ref)
        self.documents = PlatformActor.start(clients=clients, control=self.actor_ref)

    def on_failure(self, exception_type, exception_value, traceback):
        """End the process: an exception here is a broken invariant.

        Going on with half a state would answer callers by it, and a process
        whose control actor is gone looks alive to its supervisor. Ended, it is
        started anew within seconds.
        """
        details = (exception_type, exception_value, traceback)
        logger.opt(exception=details).critical("control actor failed")
        os._exit(EXIT_BROKEN)

    def on_receive(self, message):
        """Take one message."""
        now = monotonic()
        if isinstance(message, TimePassed):
            return self._on_time(now)
        if isinstance(message, DatagramArrived):
            return self._on_datagram(message, now)
        if isinstance(message, Call):
            return getattr(self, message.method)(now=now, **message.arguments)
        return self._on_rare(message, now)

    def _on_rare(self, message, now):
        if isinstance(message, TableRowRead):
            self.reading_table = False
            interval = self._vary(self.core.poll_interval())
            self.core.table_deadline = now + interval
            taken = self.core.take_table_row(
                message.row, contact_asked_at=self.table_asked_at, now=now
            )
            self._act(taken, now)
        elif isinstance(message, HostsRead):
            self.reading_hosts = False
            every = self.settings.platform["hosts_every"]
            self.core.hosts_deadline = now + self._vary(every)
            self._act(self.core.take_hosts(message.entries, now=now), now)
            self.hosts_changed(now=now)
        elif isinstance(message, DocumentArrived):
            self.reading_document = False
            self._act(self.core.take_document(message, now=now), now)
        elif isinstance(message, DrainOrdered):
            self.drain(message.reason, now=now)
        elif isinstance(message, DumpAsked):
            return self.dump(now=now)
        else:
            return self.on_role_message(message, now=now)
        return None

    # What a role adds.

    def on_role_message(self, message, *, now):
        """Take a message that only this role knows."""

    def on_announce(self, announce, *, now):
        """Take a chunk announcement."""

    def put_in_force(self, document, *, now):
        """Act on a new document."""

    def hosts_changed(self, *, now):
        """Act on a newly read host list."""

    def member_changed(self, change, *, now):
        """Act on a node's new status."""

    def role_tick(self, *, now):
        """Do what is due in this role."""

    def send_heartbeat(self, *, now):
        """Send this node's state to those who need it."""

    def answer_heartbeat(self, gossip, source, *, now):
        """Answer a heartbeat that wants a reply."""

    def drain(self, reason, *, now):
        """Take no new work from now on."""
        if not self.leaving:
            logger.info("leaving: {}", reason)
        self.leaving = True
        self.core.heartbeat_deadline = now

    def dump(self, *, now):
        """Return the whole state as plain data."""
        return {
            **self.core.dump(now=now),
            "leaving": self.leaving,
            "datagrams_sent": self.socket.sent,
            "datagram_bytes_sent": self.socket.sent_bytes,
            "datagram_bytes_received": self.socket.received_bytes,
            "counters": self.metrics.dump(),
        }

    def document_bytes(self, digest, *, now):
        """Return the packed document in force if it has this digest."""
        if self.core.holder.digest == digest:
            return self.core.document_data
        return None

    def status(self, *, now):
        """Return what an operator is told of this node."""
        return Status(
            version=PROTOCOL_VERSION,
            revision=self.core.holder.heard_revision,
            in_force=self.core.holder.revision,
            member=self.own_member(now=now),
            origin_bytes=self.metrics.value("origin_bytes_total"),
            peer_bytes=self.metrics.value("peer_bytes_total"),
            problem_by_key=self.problems(),
        )

    def own_member(self, *, now):
        """Return this node's state as it is gossiped."""
        raise NotImplementedError

    def problems(self):
        """Return what keeps this node from its declared state, by key."""
        return {}

    def revision_seen(self, *, now):
        """Return the highest revision that this node has heard of."""
        return self.core.holder.heard_revision

    def hear_revision(self, revision, *, now):
        """Take the revision of a message between processes."""
        if revision and revision > self.core.holder.heard_revision:
            self._act(self.core.hear_revision(revision, "", "", now=now), now)

    # Shared handling.

    def _on_datagram(self, message, now):
        datagram = message.datagram
        if datagram.announce is not None:
            self.on_announce(datagram.announce, now=now)
        gossip = datagram.gossip
        if gossip is None:
            return
        self._act(self.core.hear(gossip, now=now), now)
        if gossip.reply_wanted and gossip.sender is not None:
            self.answer_heartbeat(gossip, message.source, now=now)

    def _on_time(self, now):
        core = self.core
        if now >= self.membership_deadline:
            self.membership_deadline = now + MEMBERSHIP_EVERY
            self._act(core.tick(now=now), now)
        if now >= core.table_deadline and not self.reading_table:
            self.reading_table = True
            self.table_asked_at = contact_clock()
            self.platform.tell(ReadTable())
        if now >= core.hosts_deadline and not self.reading_hosts:
            self.reading_hosts = True
            self.platform.tell(ReadHosts())
        wanted = core.due_document(now=now)
        if wanted is not None:
            self._fetch(wanted, now)
        if now >= core.heartbeat_deadline:
            core.heartbeat_deadline = now + self.settings["heartbeat_every"]
            # A node that has just become a poller must not wait out the long
            # interval that it had before.
            soon = now + core.poll_interval()
            core.table_deadline = min(core.table_deadline, soon)
            self.seq += 1
            self.send_heartbeat(now=now)
        self.role_tick(now=now)

    def _act(self, outcomes, now):
        for outcome in outcomes:
            if isinstance(outcome, FetchDocument):
                self._fetch(outcome, now)
            elif isinstance(outcome, InForce):
                self._in_force(outcome, now)
            elif isinstance(outcome, MemberChanged):
                logger.info(
                    "node {}: {} -> {}", outcome.node, outcome.before, outcome.after
                )
                self.metrics.count("member_changes_total", to=outcome.after)
                self.member_changed(outcome, now=now)

    def _fetch(self, fetch, now):
        if self.reading_document:
            return
        self.reading_document = True
        address, port = self.core.document_source(fetch, now=now)
        message = FetchDocumentNow(digest=fetch.digest, address=address, port=port)
        self.documents.tell(message)

    def _in_force(self, outcome, now):
        logger.info("revision {} in force", outcome.revision)
        self.metrics.count("revisions_in_force_total")
        self.put_in_force(outcome.document, now=now)
        # Tell the neighbours now instead of at the next heartbeat.
        self.core.heartbeat_deadline = now

    def _vary(self, seconds):
        return seconds * (1 + JITTER * (self.core.rng.random() - 0.5))
