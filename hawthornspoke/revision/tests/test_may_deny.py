"""What is not in a configuration is refused for good only by a young word."""

from hawthornspoke.revision import DocumentRead, Heard, RevisionHolder, TableRead

#: Seconds within which an accepted change is in force.
BINDS_AFTER = 5.0


def holder(*, asked_at=100.0):
    """Return a holder of revision 3, which the table told."""
    made = RevisionHolder()
    read = TableRead(revision=3, digest="d3", contact_asked_at=asked_at)
    made.step(read, now=0.0)
    made.step(DocumentRead(digest="d3", document={}), now=0.1)
    return made


def may_deny(made, contact_now):
    return made.may_deny(binds_after=BINDS_AFTER, contact_now=contact_now)


def test_host_that_is_cut_off_denies_nothing_for_good():
    """A caller whose key had been added was told 401 for good.

    Events: an entry host reads the table once and is cut off; a key is added; the
    caller is told that its key is none, and does not return. Cause: a host that had
    confirmed its configuration once was taken to know for ever what it lacks.
    """
    made = holder()
    assert may_deny(made, 104.9)
    assert not may_deny(made, 105.0)
    assert made.confirmed(now=1000.0)


def test_host_that_reads_the_table_again_may_deny_again():
    made = holder()
    read = TableRead(revision=3, digest="d3", contact_asked_at=200.0)
    made.step(read, now=100.0)
    assert may_deny(made, 204.0)


def test_answer_that_comes_late_confirms_nothing_later():
    """Cause: an answer was taken as made when it came, not when it was asked for."""
    made = holder(asked_at=200.0)
    late = TableRead(revision=3, digest="d3", contact_asked_at=190.0)
    made.step(late, now=100.0)
    assert may_deny(made, 204.0)
    assert not may_deny(holder(asked_at=190.0), 196.0)


def test_newer_revision_whose_document_is_not_here_denies_nothing():
    """A revision is heard of that may have added the key, but not read yet."""
    made = holder()
    made.step(Heard(revision=4, digest="d4", source="p"), now=0.2)
    assert not may_deny(made, 101.0)
    made.step(DocumentRead(digest="d4", document={}), now=0.3)
    assert may_deny(made, 101.0)


def test_peers_alone_confirm_nothing():
    """Peers that are cut off together agree with each other."""
    made = RevisionHolder()
    made.step(Heard(revision=3, digest="d3", source="p"), now=0.0)
    made.step(DocumentRead(digest="d3", document={}), now=0.1)
    assert made.confirmed(now=10.0)
    assert not may_deny(made, 10.0)


def test_table_that_was_turned_back_confirms_nothing():
    """A row of an old backup says nothing of what was accepted since."""
    made = holder()
    read = TableRead(revision=2, digest="d2", contact_asked_at=200.0)
    made.step(read, now=100.0)
    assert not may_deny(made, 201.0)
