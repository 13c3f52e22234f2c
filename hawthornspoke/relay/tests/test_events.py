"""Splitting of streams: only complete events in order are returned."""

import random

from hawthornspoke.relay import EventSplitter


def event(number, extra=b""):
    """Return the bytes of an event with an id, preceded by extra bytes."""
    return extra + b"id: %d\ndata: x%d\n\n" % (number, number)


def test_any_split_of_the_bytes_gives_the_same_events():
    rng = random.Random(1)
    stream = b"".join(event(number) for number in range(1, 40))
    for _ in range(50):
        splitter = EventSplitter()
        forwarded, remaining = b"", stream
        while remaining:
            size = rng.randrange(1, 60)
            forwarded += splitter.feed(remaining[:size])
            remaining = remaining[size:]
        assert forwarded == stream
        assert not splitter.has_partial_event()


def test_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + b"id: 2\nda") == event(1)
    assert splitter.has_partial_event()
    splitter.restart()
    assert splitter.feed(event(2)) == event(2)


def test_first_event_of_a_resumed_stream_must_follow_the_last():
    splitter = EventSplitter(last_id=7)
    assert splitter.feed(event(9)) == b""
    assert "event 9 after 7" in splitter.error


def test_nothing_is_returned_after_a_gap():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + event(3) + event(4)) == event(1)
    assert splitter.feed(event(5)) == b""


def test_other_fields_of_an_event_are_kept():
    splitter = EventSplitter()
    data = event(1, extra=b"weights: 2\n")
    assert splitter.feed(data) == data


def test_data_without_an_id_is_an_error():
    splitter = EventSplitter()
    assert splitter.feed(b"rubbish\n\n") == b""
    assert splitter.error
