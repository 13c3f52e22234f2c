"""Entries missing from a configuration are rejected only after a recent table read."""

from hawthornspoke.revision import (
    DocumentRead,
    RevisionAdvertised,
    RevisionHolder,
    TableRead,
)

#: Seconds within which an accepted revision has to be active.
PROPAGATION_BOUND = 5.0


def create_holder(*, read_requested_at=100.0):
    """Return a holder of revision 3, read from the table."""
    holder = RevisionHolder()
    read = TableRead(revision=3, digest="d3", requested_at=read_requested_at)
    holder.step(read, now=0.0)
    holder.step(DocumentRead(digest="d3", document={}), now=0.1)
    return holder


def may_reject(holder, boottime_now):
    return holder.may_reject(
        propagation_bound=PROPAGATION_BOUND, boottime_now=boottime_now
    )


def test_partitioned_host_rejects_nothing_permanently():
    """A caller whose key had just been added got a permanent 401.

    An entry host had read the table once and was then partitioned, so it did not learn
    of the new key. Having once confirmed its configuration must not allow a host to
    reject unknown keys forever.
    """
    holder = create_holder()
    assert may_reject(holder, 104.9)
    assert not may_reject(holder, 105.0)
    assert holder.confirmed(now=1000.0)


def test_host_that_reads_the_table_again_may_reject_again():
    holder = create_holder()
    read = TableRead(revision=3, digest="d3", requested_at=200.0)
    holder.step(read, now=100.0)
    assert may_reject(holder, 204.0)


def test_table_read_counts_from_its_request():
    """A delayed response must not count from the time at which it arrived."""
    holder = create_holder(read_requested_at=200.0)
    late = TableRead(revision=3, digest="d3", requested_at=190.0)
    holder.step(late, now=100.0)
    assert may_reject(holder, 204.0)
    assert not may_reject(create_holder(read_requested_at=190.0), 196.0)


def test_newer_revision_without_document_prevents_rejection():
    """The newer revision may have added the key."""
    holder = create_holder()
    holder.step(RevisionAdvertised(revision=4, digest="d4", source="p"), now=0.2)
    assert not may_reject(holder, 101.0)
    holder.step(DocumentRead(digest="d4", document={}), now=0.3)
    assert may_reject(holder, 101.0)


def test_peers_alone_do_not_allow_rejection():
    """Peers in the same partition agree with each other."""
    holder = RevisionHolder()
    holder.step(RevisionAdvertised(revision=3, digest="d3", source="p"), now=0.0)
    holder.step(DocumentRead(digest="d3", document={}), now=0.1)
    assert holder.confirmed(now=10.0)
    assert not may_reject(holder, 10.0)


def test_table_restored_from_backup_does_not_allow_rejection():
    """A row from an old backup doesn't show which revisions were accepted since."""
    holder = create_holder()
    read = TableRead(revision=2, digest="d2", requested_at=200.0)
    holder.step(read, now=100.0)
    assert not may_reject(holder, 201.0)
