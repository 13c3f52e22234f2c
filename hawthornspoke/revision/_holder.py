"""State machine that selects the revision of the configuration that a node uses.

Each accepted configuration is stored as a document and numbered by a revision. Nodes
learn of new revisions from a database table and from each other's messages.
"""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine


@dataclass(slots=True, kw_only=True, frozen=True)
class RevisionAdvertised:
    """A message from a peer carried a revision and the digest of its document.

    Parameters
    ----------
    revision : int
    digest : str
        Digest of the document; empty if the peer did not send it.
    source : str
        Node name of the peer, from which the document can be fetched.
    """

    revision: int
    digest: str
    source: str


@dataclass(slots=True, kw_only=True, frozen=True)
class TableRead:
    """The row of the database table that names the accepted revision was read.

    Parameters
    ----------
    revision : int
        0 if no revision was ever accepted.
    digest : str
    requested_at : float, default=-inf
        Time of the read request on the boot-time clock, which includes suspensions.
    """

    revision: int
    digest: str
    requested_at: float = float("-inf")


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentRead:
    """A fetch of a document ended; its digest has already been verified.

    Parameters
    ----------
    digest : str
    document : dict or None
        None if the fetch failed.
    """

    digest: str
    document: object


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchDocument:
    """Fetch a document from the peer ``source`` or, if empty, from the object store."""

    revision: int
    digest: str
    source: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentActivated:
    """A document became the active configuration of the node."""

    revision: int
    digest: str
    document: dict


@MACHINES.register("revision_holder")
class RevisionHolder(Machine):
    """Holds the highest revision whose document has been received.

    Parameters
    ----------
    start_grace : float, default=3.0
        Seconds after the first message during which a node that has not read the table
        waits to hear from more peers before it relies on peers alone.

    Notes
    -----
    A restarted node may first hear from a peer that was partitioned and holds an
    outdated configuration; using it would apply a configuration to callers that they
    have already seen replaced. So a lower revision is never accepted, whatever its
    source, and :meth:`confirmed` returns False until the table was read or the grace
    period has passed, in which the node should have heard from an up-to-date peer.

    A partitioned node continues with the configuration that it holds. Entries missing
    from it may have been added since, so :meth:`may_reject` checks the time of the last
    table read on each call.

    Every message that the node sends carries the highest revision *heard*, even before
    its document is received, so that peers learn of it from any message. This is the
    middle consistency level, "causal", of [1]_: after a node has seen revision R, every
    node that it sends to uses R or later as soon as the document can be fetched.

    References
    ----------
    .. [1] Z. Zhao et al., "Efficiently Supporting Multi-Level Serializability
           in Decentralized Database Systems".
    """

    __slots__ = (
        "start_grace",
        "revision",
        "digest",
        "document",
        "heard_revision",
        "heard_digest",
        "refused_lower",
        "_confirmed",
        "_confirmed_at",
        "_grace_deadline",
    )
    PARAMS = {"start_grace": Bounds(kind=(int, float), low=0)}

    def __init__(self, *, start_grace=3.0):
        self.start_grace = start_grace
        self.revision = 0
        self.digest = ""
        self.document = None
        self.heard_revision = 0
        self.heard_digest = ""
        self.refused_lower = 0
        self._confirmed = False
        self._confirmed_at = float("-inf")
        self._grace_deadline = None

    def on_revision_advertised(self, message, *, now):
        """Request the document of a revision sent by a peer, if it is newer.

        Parameters
        ----------
        message : RevisionAdvertised
        now : float

        Returns
        -------
        list of FetchDocument
        """
        self._start_grace_period(now)
        if message.revision < self.revision:
            self.refused_lower += 1
            return []
        return self._fetch_if_newer(message.revision, message.digest, message.source)

    def on_table_read(self, message, *, now):
        """Request the document that the table names, if its revision is newer.

        Parameters
        ----------
        message : TableRead
        now : float

        Returns
        -------
        list of FetchDocument
        """
        self._start_grace_period(now)
        self._confirmed = True
        if message.revision < self.revision:
            # A table restored from an old backup must not revert the nodes.
            self.refused_lower += 1
            return []
        self._confirmed_at = max(self._confirmed_at, message.requested_at)
        return self._fetch_if_newer(message.revision, message.digest, "")

    def on_document_read(self, message, *, now):
        """Activate a document if it belongs to the newest known revision.

        Parameters
        ----------
        message : DocumentRead
        now : float

        Returns
        -------
        list of DocumentActivated
        """
        if message.document is None or message.digest != self.heard_digest:
            return []
        if self.heard_revision <= self.revision:
            return []
        self.revision = self.heard_revision
        self.digest = message.digest
        self.document = message.document
        return [
            DocumentActivated(
                revision=self.revision, digest=self.digest, document=self.document
            )
        ]

    def missing_document(self):
        """Return the fetch of the document of the newest known revision, if missing.

        Returns
        -------
        FetchDocument or None
        """
        if self.heard_revision <= self.revision:
            return None
        return FetchDocument(
            revision=self.heard_revision, digest=self.heard_digest, source=""
        )

    def confirmed(self, *, now):
        """Return whether the node may use its configuration; see the class notes.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        if self.document is None:
            return False
        grace_passed = self._grace_deadline is not None and now >= self._grace_deadline
        return self._confirmed or grace_passed

    def may_reject(self, *, propagation_bound, boottime_now):
        """Return whether requests for missing entries may be rejected permanently.

        Parameters
        ----------
        propagation_bound : float
            Seconds within which an accepted revision has to be active.
        boottime_now : float
            Current time on the boot-time clock, which includes suspensions.

        Returns
        -------
        bool
            False if the last table read is so old that a revision accepted since may
            already have to be active, or if the document of a newer known revision is
            missing.
        """
        is_newest = self.document is not None and self.revision == self.heard_revision
        return is_newest and boottime_now < self._confirmed_at + propagation_bound

    def dump(self, *, now):
        """Return the state as plain data.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict
        """
        return {
            "revision": self.revision,
            "digest": self.digest,
            "heard_revision": self.heard_revision,
            "heard_digest": self.heard_digest,
            "confirmed": self.confirmed(now=now),
            "refused_lower": self.refused_lower,
        }

    def _start_grace_period(self, now):
        if self._grace_deadline is None:
            self._grace_deadline = now + self.start_grace

    def _fetch_if_newer(self, revision, digest, source):
        if revision <= self.heard_revision or not digest:
            return []
        self.heard_revision = revision
        self.heard_digest = digest
        return [FetchDocument(revision=revision, digest=digest, source=source)]
