"""Property test: the revision never decreases under random messages."""

from hypothesis import given, settings, strategies as st

from hawthornspoke.revision import (
    DocumentRead,
    RevisionAdvertised,
    RevisionHolder,
    TableRead,
)

RUNS = settings(max_examples=300, deadline=None, derandomize=True)
REVISIONS = st.integers(1, 6)


def _digest(revision):
    return f"d{revision}"


MESSAGES = st.one_of(
    REVISIONS.map(
        lambda n: RevisionAdvertised(revision=n, digest=_digest(n), source="p")
    ),
    REVISIONS.map(lambda n: TableRead(revision=n, digest=_digest(n))),
    REVISIONS.map(lambda n: DocumentRead(digest=_digest(n), document={"n": n})),
    REVISIONS.map(lambda n: DocumentRead(digest=_digest(n), document=None)),
)


@RUNS
@given(st.lists(MESSAGES, max_size=40))
def test_revision_and_document_increase_together(messages):
    """Guards against a decreasing revision and one that doesn't match the document."""
    holder = RevisionHolder()
    highest = 0
    for number, message in enumerate(messages):
        holder.step(message, now=float(number))
        assert holder.revision >= highest
        highest = holder.revision
        if holder.document is not None:
            assert holder.document["n"] == holder.revision
            assert holder.digest == _digest(holder.revision)
        assert holder.heard_revision >= holder.revision
