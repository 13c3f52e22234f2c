"""Changes and tombstones in local copies of tables."""

from hawthornspoke.mirror import (
    ContentOrder,
    Mirror,
    Row,
    TableUpdate,
    make_revision,
)
from hawthornspoke.mirror._content_order import NO_ORDER
from hawthornspoke.mirror._tables import OUTDATED_HOLD


def row(key, revision, data=b"x"):
    return Row(key=key, data=data, revision=revision)


def contents(table_update):
    return [(item.key, item.data) for item in table_update.rows]


def test_unread_table_differs_from_an_empty_one():
    assert Mirror().changes_since("t", None) is None


def test_changes_since_a_revision_are_ordered():
    mirror = Mirror()
    mirror.update(
        "t", TableUpdate(rows=[row("a", 3), row("b", 5)], revision=6, whole=True)
    )
    mirror.update("t", TableUpdate(rows=[row("b", 8, b"z")], revision=8))
    mirror.update("t", TableUpdate(rows=[row("a", 9, b"y")], revision=9))
    table_update = mirror.changes_since("t", 6)
    assert contents(table_update) == [("b", b"z"), ("a", b"y")]
    assert (table_update.revision, table_update.whole) == (9, False)
    assert mirror.changes_since("t", 9).rows == []


def test_query_from_before_the_first_read_gets_the_whole_table():
    """A restarted reader does not know which rows were removed before its first read.

    A host has the table up to revision 4, and its reader restarts. A row is removed at
    revision 5; the reader reads the table at revision 6 and is queried for changes
    since 4. An answer with changes only would lack the removal, and the host would
    continue to use the removed endpoint.
    """
    mirror = Mirror()
    mirror.update("t", TableUpdate(rows=[row("a", 3)], revision=6, whole=True))
    late = mirror.changes_since("t", 4)
    assert late.whole
    assert contents(late) == [("a", b"x")]
    assert not mirror.changes_since("t", 6).whole


def test_removed_rows_are_included_in_changes():
    mirror = Mirror()
    mirror.update(
        "t", TableUpdate(rows=[row("a", 3), row("b", 5)], revision=6, whole=True)
    )
    mirror.update("t", TableUpdate(rows=[row("a", 8, None)], revision=8))
    assert contents(mirror.changes_since("t", 6)) == [("a", None)]
    assert contents(mirror.changes_since("t", None)) == [("b", b"x")]


def test_row_missing_from_a_whole_read_is_removed():
    """A row removed before a whole read leaves a tombstone for neighbours.

    After the platform has dropped its history the whole table is read, without the
    rows removed in between. Without tombstones for these, neighbours would keep
    endpoints that are gone.
    """
    mirror = Mirror()
    mirror.update(
        "t", TableUpdate(rows=[row("a", 3), row("b", 5)], revision=6, whole=True)
    )
    mirror.update("t", TableUpdate(rows=[row("b", 5)], revision=20, whole=True))
    assert contents(mirror.changes_since("t", 6)) == [("a", None)]


def test_number_of_tombstones_is_bounded():
    mirror = Mirror()
    mirror.update("t", TableUpdate(rows=[row("kept", 1)], revision=1, whole=True))
    for number in range(2, 1000):
        mirror.update(
            "t", TableUpdate(rows=[row(f"k{number}", number, None)], revision=number)
        )
    late = mirror.changes_since("t", 5)
    assert late.whole
    assert contents(late) == [("kept", b"x")]
    assert not mirror.changes_since("t", 990).whole


def test_late_table_does_not_restore_older_rows():
    """An outdated whole table of a neighbour does not replace newer rows.

    A host has read that one endpoint has restarted, another is gone and a third one is
    new. It then has to read the whole table again and queries a neighbour that was
    suspended, which answers with its old table. Rows have to be compared by revision;
    otherwise the earlier incarnation of the endpoint would be in the table again.
    """
    mirror = Mirror()
    old = TableUpdate(rows=[row("a", 3, b"first"), row("b", 4)], revision=5, whole=True)
    mirror.update("t", TableUpdate(rows=list(old.rows), revision=5, whole=True))
    mirror.update(
        "t", TableUpdate(rows=[row("a", 7, b"second"), row("c", 8)], revision=8)
    )
    mirror.update("t", TableUpdate(rows=[row("b", 9, None)], revision=9))
    accepted = mirror.update("t", old)
    assert accepted.whole
    assert sorted(contents(accepted)) == [("a", b"second"), ("c", b"x")]
    assert accepted.revision == 9
    assert sorted(contents(mirror.changes_since("t", None))) == [
        ("a", b"second"),
        ("c", b"x"),
    ]


def test_late_change_of_a_row_is_ignored():
    """The same with an answer of changes only, one of which is new."""
    mirror = Mirror()
    mirror.update(
        "t", TableUpdate(rows=[row("a", 7, b"second")], revision=8, whole=True)
    )
    late = TableUpdate(rows=[row("a", 6, b"first"), row("b", 9)], revision=9)
    accepted = mirror.update("t", late)
    assert not accepted.whole
    assert contents(accepted) == [("b", b"x")]


def test_newer_whole_table_removes_missing_rows():
    mirror = Mirror()
    mirror.update(
        "t", TableUpdate(rows=[row("a", 3), row("b", 4)], revision=5, whole=True)
    )
    accepted = mirror.update(
        "t", TableUpdate(rows=[row("a", 3)], revision=6, whole=True)
    )
    assert contents(accepted) == [("a", b"x")]
    assert contents(mirror.changes_since("t", 5)) == [("b", None)]


def test_row_that_is_removed_twice_is_not_held_for_good():
    """Guards against whole reads without a pause after a hold that nothing ended."""
    now = 0.0
    order = ContentOrder(position=lambda key, data: (data,))
    mirror = Mirror(order_by_table={"t": order}, clock=lambda: now)

    def read(era, number, *rows):
        revision = make_revision(era, number)
        rows = [row(key, make_revision(era, at), data) for key, at, data in rows]
        mirror.update("t", TableUpdate(rows=rows, revision=revision, whole=True))

    read(1, 5, ("a", 3, b"1"))
    read(1, 8)
    read(2, 5, ("a", 3, b"1"))
    read(2, 6)
    now = OUTDATED_HOLD + 1.0
    assert not mirror.has_expired_holds("t")


def test_neighbour_learns_that_a_row_is_no_longer_kept():
    """Guards against a row that is dropped without a new revision."""
    now = 0.0
    mirror = Mirror(clock=lambda: now)
    mirror.update(
        "t",
        TableUpdate(
            rows=[row("a", make_revision(1, 3))],
            revision=make_revision(1, 5),
            whole=True,
        ),
    )
    restored = make_revision(2, 5)
    mirror.update("t", TableUpdate(rows=[], revision=restored, whole=True))
    known = mirror.changes_since("t", None)
    assert contents(known) == [("a", b"x")]
    now = NO_ORDER.missing_hold
    mirror.update("t", TableUpdate(rows=[], revision=restored, whole=True))
    late = mirror.changes_since("t", restored, generation=known.generation)
    assert (late.whole, late.rows) == (True, [])
