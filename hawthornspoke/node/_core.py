"""State and decisions common to entry hosts and agents."""

import random

from hawthornspoke.base import is_failure, rendezvous_order
from hawthornspoke.membership import (
    HostListUpdated,
    Membership,
    MemberStateReceived,
    Tick,
)
from hawthornspoke.protocol import PROTOCOL_VERSION, Datagram, Gossip
from hawthornspoke.revision import (
    DocumentActivated,
    DocumentRead,
    RevisionAdvertised,
    RevisionHolder,
    TableRead,
)
from hawthornspoke.store import NOT_FOUND

#: Number of entry hosts of a failure domain (pollers) that read the table at the short
#: interval; the other nodes learn of new revisions by gossip.
POLLER_COUNT = 2

#: Minimum seconds between reads of the table by a node that isn't a poller but reads
#: early, since its configuration may be too old to refuse a request. Equal to a
#: poller's interval.
EARLY_READ_INTERVAL = 1.0

#: Seconds between attempts to fetch the configuration document of a known revision.
FETCH_RETRY_INTERVAL = 0.5

DEAD = "dead"
SUSPECT = "suspect"


class NodeCore:
    """Known nodes, configuration revision and the deadlines of periodic work.

    Parameters
    ----------
    settings : Settings
    role : str
        ``"entry"`` or ``"agent"``.
    """

    __slots__ = (
        "settings",
        "role",
        "membership",
        "holder",
        "document_data",
        "rng",
        "heartbeat_deadline",
        "table_deadline",
        "hosts_deadline",
        "fetch_deadline",
        "table_read_at",
        "table_failures",
        "host_entries",
    )

    def __init__(self, *, settings, role):
        self.settings = settings
        self.role = role
        self.membership = Membership(
            node=settings["node"],
            suspect_after=settings["suspect_after"],
            dead_after=settings["dead_after"],
        )
        self.holder = RevisionHolder()
        self.document_data = None
        self.rng = random.Random(settings["node"])
        self.heartbeat_deadline = 0.0
        self.table_deadline = 0.0
        self.hosts_deadline = 0.0
        self.fetch_deadline = 0.0
        self.table_read_at = None
        self.table_failures = 0
        self.host_entries = []

    def apply_gossip(self, gossip, *, now):
        """Apply a gossip datagram.

        Parameters
        ----------
        gossip : hawthornspoke.protocol.Gossip
        now : float

        Returns
        -------
        list
            Outcomes of the state machines for membership and configuration revision.
        """
        outcomes = []
        sender = gossip.sender
        if sender is not None:
            update = MemberStateReceived(member=sender)
            outcomes += self.membership.step(update, now=now)
        for member in gossip.members or ():
            age = (member.age_ms or 0) / 1000
            update = MemberStateReceived(member=member, age=age)
            outcomes += self.membership.step(update, now=now)
        if gossip.revision:
            source = sender.node if sender is not None else ""
            outcomes += self.hear_revision(
                gossip.revision, gossip.document or "", source, now=now
            )
        return outcomes

    def hear_revision(self, revision, digest, source, *, now):
        """Handle a revision number carried by any message.

        Parameters
        ----------
        revision : int
        digest : str
        source : str
        now : float

        Returns
        -------
        list of FetchDocument
        """
        if revision > self.holder.heard_revision and not digest:
            # Without the digest the document can't be fetched, so the table is read.
            self.table_deadline = min(self.table_deadline, now)
        update = RevisionAdvertised(revision=revision, digest=digest, source=source)
        return self.holder.step(update, now=now)

    def expedite_table_read(self, *, now):
        """Schedule an early read of the table, at most as often as a poller.

        A node may permanently refuse a request only if its configuration is known to be
        recent. Only a read of the table shows that, and a node that is not a poller
        reads it at long intervals.

        Parameters
        ----------
        now : float
        """
        earliest = now
        if self.table_read_at is not None:
            earliest = max(now, self.table_read_at + EARLY_READ_INTERVAL)
        self.table_deadline = min(self.table_deadline, earliest)

    def apply_table_row(self, row, *, requested_at, now):
        """Apply the configuration row, or a failure to read it.

        Parameters
        ----------
        row : dict or Failure
        requested_at : float
            Time of the read request on the boot-time clock, which also advances while
            the host is suspended.
        now : float

        Returns
        -------
        list of FetchDocument
        """
        if row == NOT_FOUND:
            self.table_read_at = now
            read = TableRead(revision=0, digest="", requested_at=requested_at)
            return self.holder.step(read, now=now)
        if is_failure(row):
            self.table_failures += 1
            return []
        self.table_read_at = now
        read = TableRead(
            revision=row["revision"],
            digest=row["digest"],
            requested_at=requested_at,
        )
        return self.holder.step(read, now=now)

    def apply_host_list(self, entries, *, now):
        """Apply the host list, or a failure to read it.

        Parameters
        ----------
        entries : list of HostEntry or Failure
        now : float

        Returns
        -------
        list of MemberChanged
        """
        if is_failure(entries):
            return []
        self.host_entries = entries
        return self.membership.step(HostListUpdated(entries=entries), now=now)

    def accept_document(self, message, *, now):
        """Process a fetched document.

        Parameters
        ----------
        message : DocumentFetched
        now : float

        Returns
        -------
        list of DocumentActivated
        """
        read = DocumentRead(digest=message.digest, document=message.document)
        outcomes = self.holder.step(read, now=now)
        if any(isinstance(outcome, DocumentActivated) for outcome in outcomes):
            self.document_data = message.data
        return outcomes

    def tick(self, *, now):
        """Check the deadlines of all members.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of MemberChanged
        """
        return self.membership.step(Tick(), now=now)

    def next_document_fetch(self, *, now):
        """Return the fetch of a missing document if its next attempt is due.

        Parameters
        ----------
        now : float

        Returns
        -------
        FetchDocument or None
        """
        if now < self.fetch_deadline:
            return None
        return self.holder.missing_document()

    def document_source(self, fetch, *, now):
        """Choose a peer that may hold a document, and schedule the next attempt.

        Parameters
        ----------
        fetch : FetchDocument
        now : float

        Returns
        -------
        tuple of (str, int)
            Address and port; an empty address means the object store.
        """
        self.fetch_deadline = now + FETCH_RETRY_INTERVAL
        view = self.membership.by_id.get(fetch.source)
        if view is None:
            entries = self.membership.nodes(role="entry")
            candidates = [
                item
                for item in entries
                if item.member is not None
                and (item.member.revision or 0) >= fetch.revision
            ]
            view = self.rng.choice(candidates) if candidates else None
        return ("", 0) if view is None else (view.address, view.port)

    def poll_interval(self):
        """Return the interval between this node's reads of the table.

        Returns
        -------
        float
            Seconds. Short for the pollers of the failure domain and for an agent that
            knows no entry host in it.
        """
        platform = self.settings.platform
        names = [
            view.node
            for view in self.membership.nodes(role="entry")
            if view.failure_domain == self.settings["failure_domain"]
        ]
        if self.role == "entry":
            names.append(self.settings["node"])
        elif names:
            return platform["idle_poll_every"]
        pollers = rendezvous_order(key="poll", nodes=names)[:POLLER_COUNT]
        if self.role == "agent" or self.settings["node"] in pollers:
            return platform["poll_every"]
        return platform["idle_poll_every"]

    def reachable_entries(self):
        """Return the entry hosts that are neither suspect, dead nor leaving.

        Returns
        -------
        list of MemberView
        """
        return [
            view
            for view in self.membership.by_id.values()
            if view.role == "entry" and view.status in ("listed", "alive")
        ]

    def silent_entries(self):
        """Return the entry hosts that can't be reached now but may return.

        Returns
        -------
        list of MemberView
            Those that are suspect, dead or leaving, without those that the host list
            marks as leaving.
        """
        return [
            view
            for view in self.membership.by_id.values()
            if view.role == "entry"
            and view.status in ("suspect", "dead", "leaving")
            and not view.listed_leaving
        ]

    def gossip(self, sender, members=(), *, reply_wanted=False):
        """Return a gossip datagram of this node.

        Parameters
        ----------
        sender : Member
        members : sequence of Member, default=()
        reply_wanted : bool, default=False

        Returns
        -------
        Datagram
        """
        gossip = Gossip(
            version=PROTOCOL_VERSION,
            revision=self.holder.heard_revision,
            document=self.holder.heard_digest,
            sender=sender,
            members=list(members) or None,
            reply_wanted=reply_wanted or None,
        )
        return Datagram(gossip=gossip)

    def dump(self, *, now):
        """Return the state as JSON-serializable data.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict
        """
        table_age = None
        if self.table_read_at is not None:
            table_age = round(now - self.table_read_at, 3)
        return {
            "node": self.settings["node"],
            "role": self.role,
            "failure_domain": self.settings["failure_domain"],
            "revision": self.holder.dump(now=now),
            "table_age": table_age,
            "table_failures": self.table_failures,
            "membership": self.membership.dump(now=now),
        }
