"""The revision a node acts on."""

from dataclasses import dataclass

from hawthornspoke.base import MACHINES, Bounds, Machine


@dataclass(slots=True, kw_only=True, frozen=True)
class Heard:
    """A peer's message named a revision and its document.

    Parameters
    ----------
    revision : int
    digest : str
        Of the document; empty if the peer did not say.
    source : str
        The peer's node name, from which the document may be had.
    """

    revision: int
    digest: str
    source: str


@dataclass(slots=True, kw_only=True, frozen=True)
class TableRead:
    """The table's row was read.

    Parameters
    ----------
    revision : int
        0 if nothing was ever accepted.
    digest : str
    contact_asked_at : float, default=-inf
        When it was asked for, on the clock that goes on while the host is suspended.
    """

    revision: int
    digest: str
    contact_asked_at: float = float("-inf")


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentRead:
    """A document arrived, already checked against its digest.

    Parameters
    ----------
    digest : str
    document : dict or None
        None if it could not be had this time.
    """

    digest: str
    document: object


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchDocument:
    """Get a document, from a peer if one is named, else from the object store."""

    revision: int
    digest: str
    source: str


@dataclass(slots=True, kw_only=True, frozen=True)
class InForce:
    """From now on the node acts on this document."""

    revision: int
    digest: str
    document: dict


@MACHINES.register("revision_holder")
class RevisionHolder(Machine):
    """Holds the highest revision whose document has arrived.

    Parameters
    ----------
    start_grace : float, default=3.0
        Seconds after the first message for which a node that has not read the
        table waits for peers before it trusts them alone.

    Notes
    -----
    What would go wrong: a restarted node whose first source is a peer that was
    cut off and is behind would answer by a configuration that callers have
    already seen replaced. So a lower revision is never taken, whatever its
    source, and :meth:`confirmed` stays false until the table was read or the
    grace has passed, in which the best of all peers has been heard.

    A node that is cut off goes on by what it holds. But what it doesn't find there
    may have been added since, so :meth:`may_deny` asks for the age of the table's
    word each time.

    The highest revision *heard* rides on every message the node sends, even
    before its document is here: a peer then learns of it from any message.
    This is the "causal" middle level of the related paper: after a node has
    seen revision R, whoever it talks to acts on R or later as soon as the
    document can be had.

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

    def on_heard(self, message, *, now):
        """Take a revision named by a peer.

        Parameters
        ----------
        message : Heard
        now : float

        Returns
        -------
        list of FetchDocument
        """
        self._start_clock(now)
        if message.revision < self.revision:
            self.refused_lower += 1
            return []
        return self._consider(message.revision, message.digest, message.source)

    def on_table_read(self, message, *, now):
        """Take the row of the table.

        Parameters
        ----------
        message : TableRead
        now : float

        Returns
        -------
        list of FetchDocument
        """
        self._start_clock(now)
        self._confirmed = True
        if message.revision < self.revision:
            # A table restored from an old backup must not turn the fleet back.
            self.refused_lower += 1
            return []
        self._confirmed_at = max(self._confirmed_at, message.contact_asked_at)
        return self._consider(message.revision, message.digest, "")

    def on_document_read(self, message, *, now):
        """Put a document in force if it is the newest known.

        Parameters
        ----------
        message : DocumentRead
        now : float

        Returns
        -------
        list of InForce
        """
        if message.document is None or message.digest != self.heard_digest:
            return []
        if self.heard_revision <= self.revision:
            return []
        self.revision = self.heard_revision
        self.digest = message.digest
        self.document = message.document
        return [
            InForce(revision=self.revision, digest=self.digest, document=self.document)
        ]

    def wanted(self):
        """Return the document that is known of and not here, if any.

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
        """Tell whether the node may act on what it holds.

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

    def may_deny(self, *, binds_after, contact_now):
        """Tell whether what the document lacks may be refused for good.

        Parameters
        ----------
        binds_after : float
            Seconds within which an accepted revision has to be in force.
        contact_now : float
            On the clock that goes on while the host is suspended.

        Returns
        -------
        bool
            False if the table was not read for so long that a revision may have been
            accepted and be due, or one was heard of whose document is not here.
        """
        is_newest = self.document is not None and self.revision == self.heard_revision
        return is_newest and contact_now < self._confirmed_at + binds_after

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

    def _start_clock(self, now):
        if self._grace_deadline is None:
            self._grace_deadline = now + self.start_grace

    def _consider(self, revision, digest, source):
        if revision <= self.heard_revision or not digest:
            return []
        self.heard_revision = revision
        self.heard_digest = digest
        return [FetchDocument(revision=revision, digest=digest, source=source)]
