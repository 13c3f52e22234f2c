"""Frames with anything in them: no exception, and the next frame is heard."""

from hypothesis import given, settings, strategies as st

from hawthornspoke.peering import PeerConnection
from hawthornspoke.protocol import (
    ChunkAsk,
    Datagram,
    Directive,
    EntryHosts,
    Frame,
    decode,
    encode,
)
from hawthornspoke.protocol.tests.structs import structs

EXAMPLES = settings(max_examples=300, deadline=None)


class Transport:
    """Takes what a connection does."""

    def __init__(self):
        self.aborted = False
        self.written = []

    def is_closing(self):
        return self.aborted

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written.append(data)

    def abort(self):
        self.aborted = True


def connection(taken):
    """Return a connection that hands its frames to a list."""
    made = PeerConnection(
        on_frame=lambda link, frame: taken.append(frame), on_closed=lambda link: None
    )
    made.transport = Transport()
    return made


@EXAMPLES
@given(st.lists(st.binary(max_size=60), max_size=6))
def test_any_bytes_are_frames_or_the_end(chunks):
    link = connection([])
    for chunk in chunks:
        if not link.transport or link.transport.aborted:
            break
        link.data_received(chunk)


@EXAMPLES
@given(structs(Frame), st.integers(0, 400), st.integers(0, 255))
def test_spoiled_frame_is_a_frame_or_nothing(frame, place, byte):
    data = bytearray(encode(frame))
    data[place % len(data)] = byte
    for kind in (Frame, Directive, Datagram):
        found = decode(kind, bytes(data))
        assert found is None or isinstance(found, kind)


@EXAMPLES
@given(structs(Frame))
def test_frame_with_any_fields_does_not_hide_the_next(frame):
    taken = []
    link = connection(taken)
    link.data_received(link.encode(frame) + link.encode(Frame(probe=True, call=7)))
    assert taken[-1].call == 7


def test_list_that_claims_to_be_endless_is_refused():
    """A host was short of memory after one message of a stranger.

    Cause: room was made for as many items as the message claimed to have.
    """
    for count, is_read in ((50_000, True), (150_000, False)):
        hosts = EntryHosts(addresses=[""] * count)
        found = decode(Frame, encode(Frame(entry_hosts=hosts)))
        assert (found is not None) == is_read


def test_question_that_nobody_can_be_answered_is_passed_over():
    """A connection broke whenever one peer asked.

    Events: a question comes without the number that its answer has to carry. Cause:
    the answer's number was made from nothing.
    """
    taken = []
    link = connection(taken)
    link.data_received(link.encode(Frame(chunk_ask=ChunkAsk(digest="d", index=1))))
    assert taken == []
    assert not link.transport.aborted
