"""What a row of our own may tell of declarations, whoever wrote it."""

import asyncio
import json

from hypothesis import example, given, settings, strategies as st

from hawthornspoke.base import Failure, contact_clock, is_failure
from hawthornspoke.catalog import DeclaredWeights
from hawthornspoke.mirror import News, RecordKeeper, Row, Written
from hawthornspoke.mirror._dating import PlatformClock
from hawthornspoke.mirror._record import (
    MAX_VERSIONS,
    RECORD_TABLE,
    DeclarationTime,
    add_declaration_time,
    decode_record,
    encode_record,
)

MADE_AT = 50.0
REVISION = 40
TWO = {"version": 2, "revision": 20, "not_before_ms": 21000}
THREE = {"version": 3, "revision": 30, "not_before_ms": 25000}

VALUES = st.recursive(
    st.one_of(st.none(), st.integers(), st.floats(), st.text(max_size=4)),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)
ITEMS = st.one_of(
    VALUES,
    st.fixed_dictionaries(
        {
            "version": st.one_of(st.integers(0, 5), VALUES),
            "revision": st.one_of(st.integers(0, 50), VALUES),
            "not_before_ms": st.one_of(st.integers(0, 90_000), VALUES),
        }
    ),
)


def row(*items):
    return Row(
        key="m", data=json.dumps({"versions": items}).encode(), revision=REVISION
    )


def read(*items):
    return decode_record(row(*items), made_at=MADE_AT)


def test_row_tells_what_was_written():
    declaration_times = [DeclarationTime(version=2, revision=20, not_before=21.0019)]
    told = Row(key="m", data=encode_record(declaration_times), revision=REVISION)
    (declaration_time,) = decode_record(told, made_at=MADE_AT)
    # Cut down: a moment that is later than the known one would be no bound.
    assert (
        declaration_time.version,
        declaration_time.revision,
        declaration_time.not_before,
    ) == (2, 20, 21.001)


def test_row_with_a_moment_that_cant_be_true_is_refused_whole():
    assert len(read(TWO, THREE)) == 2
    assert is_failure(read(TWO, {**THREE, "not_before_ms": 50001}))
    assert is_failure(read(TWO, {**THREE, "not_before_ms": 20999}))
    assert is_failure(read(TWO, {**THREE, "revision": REVISION}))
    assert is_failure(read(TWO, {**THREE, "revision": 20}))
    assert is_failure(read(THREE, TWO))
    assert is_failure(read(TWO, {**TWO, "revision": 21}))
    assert is_failure(decode_record(row(TWO), made_at=None))


@settings(max_examples=300, deadline=None)
@given(st.lists(ITEMS, max_size=3))
@example([TWO, THREE])
def test_whatever_a_row_holds_it_tells_nothing_of_the_future(items):
    declaration_times = read(*items)
    if is_failure(declaration_times):
        return
    for declaration_time in declaration_times:
        assert 0 <= declaration_time.not_before <= MADE_AT
        assert declaration_time.revision < REVISION


def test_row_of_any_bytes_is_a_failure():
    for data in (b"", b"\xff", b"7", b"[" * 100_000):
        told = Row(key="m", data=data, revision=REVISION)
        assert is_failure(decode_record(told, made_at=MADE_AT))


def test_only_the_last_versions_are_kept_and_none_dates_before_the_one_before():
    declaration_times = []
    for version in range(2, 10):
        added = DeclarationTime(version=version, revision=10 * version, not_before=90.0)
        declaration_times = add_declaration_time(declaration_times, added)
    assert [item.version for item in declaration_times] == list(
        range(10 - MAX_VERSIONS, 10)
    )
    late = DeclarationTime(version=10, revision=100, not_before=80.0)
    assert add_declaration_time(declaration_times, late)[-1].not_before == 90.0


class Store:
    """Answers from a list, and remembers what it was asked."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.written = []

    async def read(self, table, *, first, past):
        assert (table, first) == (RECORD_TABLE, "m")
        return self.answers.pop(0)

    async def write(self, table, key, data, *, expected):
        assert (table, key) == (RECORD_TABLE, "m")
        self.written.append((expected, json.loads(data)["versions"]))
        return self.answers.pop(0)


class Log:
    def __init__(self):
        self.events = []

    def change(self, event, **fields):
        self.events.append(event)


def keep(store, *, declared_at, clock=None, version=2, seconds=0.1, from_platform=True):
    """Tell a keeper of a version of revision 20; return what it dates and logs."""

    async def run():
        dated, log = [], Log()
        keeper = RecordKeeper(
            store=store,
            clock=clock or PlatformClock(),
            on_dated=lambda model, moments: dated.append((model, moments)),
            log=log,
        )
        declared = DeclaredWeights(model="m", version=version)
        told = Row(key="version", data=b"", revision=20, written_at=declared_at)
        task = asyncio.create_task(keeper.run())
        keeper.take(declared, told, from_platform=from_platform)
        await asyncio.sleep(seconds)
        task.cancel()
        return dated, log.events

    return asyncio.run(run())


def clock_that_saw(revision, *, made_at):
    clock = PlatformClock()
    clock.add_answer(asked_at=contact_clock(), made_at=made_at, revision=revision)
    return clock


def news(*rows):
    return News(rows=list(rows), revision=REVISION, made_at=MADE_AT)


def test_writer_that_was_second_leaves_the_row_as_it_is():
    store = Store(news(row(TWO)))
    keep(store, declared_at=1.0, clock=clock_that_saw(19, made_at=20.5))
    assert len(store.written) == 1


def test_moment_of_a_host_that_heard_nothing_for_long_is_written_over():
    """Old weights were refused 6 s too early, though other hosts knew better.

    Events: a host that was cut off for 6 s is the first to write. Cause: whoever was
    quicker was left alone, whatever its moment told.
    """
    early = row({**TWO, "not_before_ms": 15000})
    store = Store(news(early), Written(revision=41))
    keep(store, declared_at=1.0, clock=clock_that_saw(19, made_at=21.0))
    assert store.written[-1] == (REVISION, [TWO])


def test_writer_that_finds_an_older_version_adds_to_it():
    store = Store(
        news(row({**TWO, "version": 1, "revision": 10})), Written(revision=41)
    )
    keep(store, declared_at=1.0, clock=clock_that_saw(19, made_at=22.5))
    (_, first), (expected, second) = store.written
    assert [item["version"] for item in first] == [2]
    assert expected == REVISION
    assert [item["version"] for item in second] == [1, 2]


def test_writer_that_finds_an_untrue_row_writes_over_it():
    untrue = row({**TWO, "not_before_ms": 10**9})
    store = Store(news(untrue), Written(revision=41))
    _, events = keep(store, declared_at=1.0, clock=clock_that_saw(19, made_at=20.5))
    assert store.written[-1] == (REVISION, [{**TWO, "not_before_ms": 20500}])
    assert events == ["record_refused"]


def test_row_that_was_removed_meanwhile_is_written_anew():
    """A write that was refused, with no row to tell of, was taken for done."""
    store = Store(
        news(row(TWO | {"revision": 10, "version": 1})), news(), Written(revision=41)
    )
    keep(store, declared_at=1.0, clock=clock_that_saw(19, made_at=22.5))
    assert [expected for expected, _ in store.written] == [0, REVISION, 0]


def test_version_that_a_neighbour_has_dated_costs_no_call():
    store = Store()
    assert keep(store, declared_at=1.0) == ([], [])


def test_moment_after_the_version_was_heard_of_is_refused():
    """Another writer's row would have begun the bound of old weights anew.

    Events: a process that has just started hears of a version; some seconds later it
    can read our row, whose moment lies in between. Cause: a moment that is not in the
    future can still be later than the declaration.
    """
    down = Failure(code="down")
    late = {**TWO, "not_before_ms": int(1000 * MADE_AT)}
    store = Store(down, news(row(late)))
    dated, events = keep(store, declared_at=float("-inf"), seconds=1.4)
    assert dated == []
    assert events == ["record_failed", "record_refused"]


def test_calls_end_when_the_moment_is_of_no_more_use():
    """The platform stays away, and is asked for ever. Calls are priced."""
    down = Failure(code="down")
    store = Store(*[down] * 100)
    keep(store, declared_at=float("-inf"), seconds=12.0)
    assert 10 <= 100 - len(store.answers) <= 22


def test_host_that_was_told_by_a_neighbour_writes_nothing():
    """Each entry host called the platform for each version that was declared.

    Symptom: 34 of 34 hosts write the row of a version, and 31 of them are refused.
    Sequence: at its start each host reads the platform itself for some seconds; later
    a neighbour tells it of a version and since when. Cause: by the answers of its
    start it can date the version too, by a moment that is long before.
    """
    store = Store(news())
    clock = clock_that_saw(19, made_at=20.5)
    keep(store, declared_at=contact_clock(), clock=clock, from_platform=False)
    assert store.written == []


def test_host_that_reads_the_platform_writes_the_row():
    store = Store(news())
    clock = clock_that_saw(19, made_at=20.5)
    keep(store, declared_at=contact_clock(), clock=clock, from_platform=True)
    # The stand-in tells it that another host was there, so it may try again.
    assert store.written
