"""Rows of evacuated failure domains, on each way by which they reach a host."""

import asyncio

import pytest

from hawthornspoke.base import boottime_clock
from hawthornspoke.catalog import Evacuation
from hawthornspoke.metrics import Metrics
from hawthornspoke.mirror import EVACUATION, Neighbours
from hawthornspoke.mirror._row_dispatcher import RowDispatcher
from hawthornspoke.mirror._tables import Mirror
from hawthornspoke.mirror._types import Row, TableUpdate
from hawthornspoke.mirror.tests.test_bad_answers import FakeLog

READER, ASKING = "127.0.0.2", "127.0.0.1"


class RecordingSink:
    """Sink that keeps the last evacuations."""

    def __init__(self, evacuated=None):
        self.evacuated = evacuated
        self.log = FakeLog()
        self.metrics = Metrics()

    def on_evacuations(self, failure_domains):
        self.evacuated = failure_domains


def make_dispatcher(sink):
    """Return a dispatcher of rows whose keys are the names of failure domains."""
    return RowDispatcher(
        sink=sink,
        recorder=None,
        decode_entry=None,
        decoder_for_operators_key=lambda key: (
            EVACUATION,
            lambda data: Evacuation(failure_domain=key),
        ),
    )


def update(*rows, revision, whole=False):
    """Return an update; each row is a key, its data and its revision."""
    return TableUpdate(
        rows=[Row(key=key, data=data, revision=at) for key, data, at in rows],
        revision=revision,
        whole=whole,
    )


@pytest.mark.parametrize("data", [b"", b"{}", b"\xff"])
@pytest.mark.parametrize(
    "end",
    [
        update(("b", None, 3), revision=3),
        # The history of the changes is gone: a missing row was removed.
        update(("a", b"", 1), revision=3, whole=True),
    ],
    ids=["removed", "missing from the whole table"],
)
def test_row_evacuates_until_it_is_removed(end, data):
    sink, mirror = RecordingSink(), Mirror()
    dispatcher = make_dispatcher(sink)
    for table_update, expected in (
        (update(("a", data, 1), revision=1, whole=True), {"a"}),
        (update(("b", data, 2), revision=2), {"a", "b"}),
        (end, {"a"}),
    ):
        dispatcher.apply_operators(mirror.update("op", table_update))
        assert sink.evacuated == expected


def test_evacuation_that_ended_while_nothing_was_read_ends():
    """Guards against an evacuation that stays after the reader's restart."""
    sink = RecordingSink(evacuated=frozenset({"a"}))
    make_dispatcher(sink).apply_operators(update(revision=5, whole=True))
    assert sink.evacuated == frozenset()


class CurrentWatch:
    """Watch of the host that reads the platform."""

    earliest_arrival = staticmethod(boottime_clock)

    def __init__(self, mirror):
        self.mirror = mirror
        self.confirmed_at = 0.0
        self.current_until = float("inf")

    def is_current(self):
        return True


def test_evacuations_reach_neighbours():
    """Guards against rows without data that count as removed at neighbours."""

    async def scenario():
        mirror, sink = Mirror(), RecordingSink()
        dispatcher = make_dispatcher(sink)
        reader = Neighbours(address=READER, port=0, log=FakeLog())
        await reader.serve(CurrentWatch(mirror))
        port = reader._server.sockets[0].getsockname()[1]
        asking = Neighbours(address=ASKING, port=port, log=FakeLog())
        after = None
        for row, expected in ((("a", b"", 1), {"a"}), (("a", None, 2), set())):
            mirror.update("op", update(row, revision=row[2], whole=False))
            answer = await asking.ask(READER, "op", after=after, wait=0.0)
            dispatcher.apply_operators(answer)
            assert sink.evacuated == expected
            after = answer.revision
        asking.close()
        reader.close()

    asyncio.run(scenario())
