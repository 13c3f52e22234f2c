"""What a mirror tells of its tables."""

from hawthornspoke.mirror import Mirror, News, Row


def row(key, revision, data=b"x"):
    return Row(key=key, data=data, revision=revision)


def told(news):
    return [(item.key, item.data) for item in news.rows]


def test_unread_table_is_not_taken_for_an_empty_one():
    assert Mirror().changes_since("t", None) is None


def test_only_what_changed_since_is_told_in_order():
    mirror = Mirror()
    mirror.take("t", News(rows=[row("a", 3), row("b", 5)], revision=6, whole=True))
    mirror.take("t", News(rows=[row("b", 8, b"z")], revision=8))
    mirror.take("t", News(rows=[row("a", 9, b"y")], revision=9))
    news = mirror.changes_since("t", 6)
    assert told(news) == [("b", b"z"), ("a", b"y")]
    assert (news.revision, news.whole) == (9, False)
    assert mirror.changes_since("t", 9).rows == []


def test_what_was_removed_before_the_first_read_is_not_passed_over():
    """An endpoint that was gone stayed in use on one host.

    Events: a host reads the table up to revision 4; its reader restarts; a row is
    removed at revision 5; the reader reads the table at revision 6 and is asked what
    changed since 4. Cause: it answered as if it had known the table before.
    """
    mirror = Mirror()
    mirror.take("t", News(rows=[row("a", 3)], revision=6, whole=True))
    late = mirror.changes_since("t", 4)
    assert late.whole
    assert told(late) == [("a", b"x")]
    assert not mirror.changes_since("t", 6).whole


def test_removed_rows_are_told():
    mirror = Mirror()
    mirror.take("t", News(rows=[row("a", 3), row("b", 5)], revision=6, whole=True))
    mirror.take("t", News(rows=[row("a", 8, None)], revision=8))
    assert told(mirror.changes_since("t", 6)) == [("a", None)]
    assert told(mirror.changes_since("t", None)) == [("b", b"x")]


def test_row_missing_from_a_whole_read_counts_as_removed():
    """A neighbour kept an endpoint that was gone.

    Events: the platform forgot its history, the table was read anew, and the row
    had vanished in between. Cause: only rows that are there were told.
    """
    mirror = Mirror()
    mirror.take("t", News(rows=[row("a", 3), row("b", 5)], revision=6, whole=True))
    mirror.take("t", News(rows=[row("b", 5)], revision=20, whole=True))
    assert told(mirror.changes_since("t", 6)) == [("a", None)]


def test_removed_rows_are_remembered_within_a_bound():
    mirror = Mirror()
    mirror.take("t", News(rows=[row("kept", 1)], revision=1, whole=True))
    for number in range(2, 1000):
        mirror.take("t", News(rows=[row(f"k{number}", number, None)], revision=number))
    late = mirror.changes_since("t", 5)
    assert late.whole
    assert told(late) == [("kept", b"x")]
    assert not mirror.changes_since("t", 990).whole


def test_late_table_of_a_neighbour_brings_no_older_row_back():
    """An endpoint's earlier start was in the list again.

    Events: a host reads from the platform that an endpoint has started again, and
    that another is gone and a third has come; it lost its place in the feed and asks
    a neighbour that has been standing still, which tells its whole table of before.
    Cause: the answer that came last counted, whatever its rows' revisions.
    """
    mirror = Mirror()
    old = News(rows=[row("a", 3, b"first"), row("b", 4)], revision=5, whole=True)
    mirror.take("t", News(rows=list(old.rows), revision=5, whole=True))
    mirror.take("t", News(rows=[row("a", 7, b"second"), row("c", 8)], revision=8))
    mirror.take("t", News(rows=[row("b", 9, None)], revision=9))
    taken = mirror.take("t", old)
    assert taken.whole
    assert sorted(told(taken)) == [("a", b"second"), ("c", b"x")]
    assert taken.revision == 9
    assert sorted(told(mirror.changes_since("t", None))) == [
        ("a", b"second"),
        ("c", b"x"),
    ]


def test_late_change_of_a_row_is_passed_over():
    """The same with changes only, and one of them is news."""
    mirror = Mirror()
    mirror.take("t", News(rows=[row("a", 7, b"second")], revision=8, whole=True))
    late = News(rows=[row("a", 6, b"first"), row("b", 9)], revision=9)
    taken = mirror.take("t", late)
    assert not taken.whole
    assert told(taken) == [("b", b"x")]


def test_newer_whole_table_removes_what_is_not_in_it():
    mirror = Mirror()
    mirror.take("t", News(rows=[row("a", 3), row("b", 4)], revision=5, whole=True))
    taken = mirror.take("t", News(rows=[row("a", 3)], revision=6, whole=True))
    assert told(taken) == [("a", b"x")]
    assert told(mirror.changes_since("t", 5)) == [("b", None)]
