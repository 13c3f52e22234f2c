"""Rows with declaration times, including rows of other writers."""

import asyncio
import json

from hypothesis import example, given, settings, strategies as st

from hawthornspoke.base import Failure, boottime_clock, is_failure
from hawthornspoke.catalog import DeclaredWeights
from hawthornspoke.mirror import (
    DeclarationRecorder,
    Row,
    RowWritten,
    TableUpdate,
    _declaration_recorder,
)
from hawthornspoke.mirror._clock import TIME_RESOLUTION, PlatformClock
from hawthornspoke.mirror._declaration_recorder import RETRY_PAUSE
from hawthornspoke.mirror._declaration_times import (
    MAX_VERSIONS,
    RECORD_TABLE,
    DeclarationTime,
    add_declaration_time,
    decode_record,
    encode_record,
)
from hawthornspoke.mirror.tests.virtual_time import VirtualClock

ASKED_AT = 100.0
#: The longest time, in seconds, for which any deployment allows old weights.
LONGEST_BOUND = 13.4
MADE_AT = 50.0
REVISION = 40
TWO = {"version": 2, "revision": 20, "era": 0, "not_before_ms": 21000}
THREE = {"version": 3, "revision": 30, "era": 0, "not_before_ms": 25000}

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


def test_record_round_trip_rounds_down():
    declaration_times = [DeclarationTime(version=2, revision=20, not_before=21.0019)]
    declaring_row = Row(
        key="m", data=encode_record(declaration_times), revision=REVISION
    )
    (declaration_time,) = decode_record(declaring_row, made_at=MADE_AT)
    # Rounded down: a later time would not be a lower bound.
    assert (
        declaration_time.version,
        declaration_time.revision,
        declaration_time.not_before,
    ) == (2, 20, 21.001)


def test_row_with_an_impossible_time_is_rejected():
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
def test_no_row_yields_times_in_the_future(items):
    declaration_times = read(*items)
    if is_failure(declaration_times):
        return
    for declaration_time in declaration_times:
        assert 0 <= declaration_time.not_before <= MADE_AT
        assert declaration_time.revision < REVISION


def test_malformed_record_is_a_failure():
    for data in (b"", b"\xff", b"7", b"[" * 100_000):
        declaring_row = Row(key="m", data=data, revision=REVISION)
        assert is_failure(decode_record(declaring_row, made_at=MADE_AT))


def test_newest_versions_are_kept_with_monotonic_times():
    declaration_times = []
    for version in range(2, 10):
        added = DeclarationTime(version=version, revision=10 * version, not_before=90.0)
        declaration_times = add_declaration_time(declaration_times, added)
    assert [item.version for item in declaration_times] == list(
        range(10 - MAX_VERSIONS, 10)
    )
    late = DeclarationTime(version=10, revision=100, not_before=80.0)
    assert add_declaration_time(declaration_times, late)[-1].not_before == 90.0


class FakeStore:
    """Returns prepared answers, and records writes."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.written = []

    async def read(self, table, *, first_key, end_key):
        assert (table, first_key) == (RECORD_TABLE, "m")
        return self.answers.pop(0)

    async def write(self, table, key, data, *, expected):
        assert (table, key) == (RECORD_TABLE, "m")
        self.written.append((expected, json.loads(data)["versions"]))
        return self.answers.pop(0)


class FakeLog:
    def __init__(self):
        self.events = []

    def change(self, event, **fields):
        self.events.append(event)


def run_recorder(
    store, *, declared_at, clock=None, version=2, seconds=0.1, from_platform=True
):
    """Run a recorder with a version of revision 20; return its reports and events."""

    async def run():
        dated, log = [], FakeLog()
        recorder = DeclarationRecorder(
            store=store,
            clock=clock or PlatformClock(),
            on_declaration_times=lambda model, times: dated.append((model, times)),
            log=log,
        )
        declared = DeclaredWeights(model="m", version=version)
        declaring_row = Row(
            key="version", data=b"", revision=20, written_at=declared_at
        )
        task = asyncio.create_task(recorder.run())
        recorder.update(declared, declaring_row, from_platform=from_platform)
        await asyncio.sleep(seconds)
        task.cancel()
        return dated, log.events

    return asyncio.run(run())


def clock_with_answer(revision, *, made_at):
    """Return a clock by which the platform's time was ``made_at`` at ``ASKED_AT``."""
    clock = PlatformClock()
    clock.add_answer(
        asked_at=ASKED_AT,
        made_at=made_at + TIME_RESOLUTION,
        revision=revision,
        received_at=ASKED_AT,
    )
    assert round(clock.earliest_platform_time(ASKED_AT), 6) == made_at
    return clock


def table_update(*rows):
    return TableUpdate(rows=list(rows), revision=REVISION, made_at=MADE_AT)


def test_conflict_with_same_version_keeps_the_row():
    store = FakeStore(table_update(row(TWO)))
    run_recorder(store, declared_at=ASKED_AT, clock=clock_with_answer(19, made_at=20.5))
    assert len(store.written) == 1


def test_much_earlier_time_is_overwritten():
    """A later lower bound replaces that of a host that was partitioned for 6 s.

    When the first write was always kept, old weights were refused 6 s too early,
    although other hosts had a better bound.
    """
    early = row({**TWO, "not_before_ms": 15000})
    store = FakeStore(table_update(early), RowWritten(revision=41))
    run_recorder(store, declared_at=ASKED_AT, clock=clock_with_answer(19, made_at=21.0))
    assert store.written[-1] == (REVISION, [TWO])


def test_conflict_with_older_version_is_merged():
    store = FakeStore(
        table_update(row({**TWO, "version": 1, "revision": 10})),
        RowWritten(revision=41),
    )
    run_recorder(store, declared_at=ASKED_AT, clock=clock_with_answer(19, made_at=22.5))
    (_, first), (expected, second) = store.written
    assert [item["version"] for item in first] == [2]
    assert expected == REVISION
    assert [item["version"] for item in second] == [1, 2]


def test_impossible_row_is_overwritten():
    impossible = row({**TWO, "not_before_ms": 10**9})
    store = FakeStore(table_update(impossible), RowWritten(revision=41))
    _, events = run_recorder(
        store, declared_at=ASKED_AT, clock=clock_with_answer(19, made_at=20.5)
    )
    assert store.written[-1] == (REVISION, [{**TWO, "not_before_ms": 20500}])
    assert events == ["record_refused"]


def test_row_removed_during_the_write_is_recreated():
    """A conflict without a row in the answer must not count as a successful write."""
    store = FakeStore(
        table_update(row(TWO | {"revision": 10, "version": 1})),
        table_update(),
        RowWritten(revision=41),
    )
    run_recorder(store, declared_at=ASKED_AT, clock=clock_with_answer(19, made_at=22.5))
    assert [expected for expected, _ in store.written] == [0, REVISION, 0]


def test_version_with_a_neighbours_time_needs_no_call():
    store = FakeStore()
    assert run_recorder(store, declared_at=1.0) == ([], [])


def test_time_after_receipt_of_the_version_is_rejected():
    """A time that is not in the future can still be later than the declaration.

    A process that has just started receives a version, and can read the row only some
    seconds later. If the row of another writer has a time in between, accepting it
    would restart the time for which old weights are allowed.
    """
    down = Failure(code="down")
    late = {**TWO, "not_before_ms": int(1000 * MADE_AT)}
    store = FakeStore(down, table_update(row(late)))
    dated, events = run_recorder(store, declared_at=float("-inf"), seconds=1.4)
    assert dated == []
    assert events == ["record_failed", "record_refused"]


def calls_until_given_up(monkeypatch, *, bound):
    """Return at how many seconds a recorder calls a platform that is down."""
    clock = VirtualClock()
    monkeypatch.setattr(_declaration_recorder, "boottime_clock", clock)
    store, called_after = FakeStore(), []

    async def read(table, **key_range):
        called_after.append(clock() - learned_at)
        return Failure(code="down")

    store.read = read
    learned_at = clock()

    async def run():
        recorder = DeclarationRecorder(
            store=store, clock=PlatformClock(), on_declaration_times=None, log=FakeLog()
        )
        recorder.update(
            DeclaredWeights(model="m", version=2),
            Row(key="version", data=b"", revision=20),
        )
        task = asyncio.create_task(recorder.run())
        await asyncio.sleep(bound + 60.0)
        task.cancel()

    clock.run(run())
    return called_after


def test_retries_end_after_the_time_limit(monkeypatch):
    """An unavailable platform must not be called forever, since calls are billed."""
    called_after = calls_until_given_up(monkeypatch, bound=LONGEST_BOUND)
    assert len(called_after) <= 2 + (LONGEST_BOUND + 2.0) / RETRY_PAUSE[0]
    assert called_after[-1] <= LONGEST_BOUND + 2.0 + RETRY_PAUSE[1]


def test_retries_last_as_long_as_old_weights_may_answer(monkeypatch):
    """Guards against refusals for the rest of a bound of 13.4 s."""
    called_after = calls_until_given_up(monkeypatch, bound=LONGEST_BOUND)
    assert called_after[-1] >= LONGEST_BOUND
    assert len(called_after) >= LONGEST_BOUND / RETRY_PAUSE[1]


def test_host_informed_by_a_neighbour_writes_nothing():
    """A host that received a version with its time from a neighbour does not write.

    At its start each host reads the platform itself for some seconds. With the answers
    from then it can also compute bounds for later versions, though much too early ones.
    When hosts wrote these, 34 of 34 hosts wrote the row of a version and 31 of them had
    a conflict.
    """
    store = FakeStore(table_update())
    clock = clock_with_answer(19, made_at=20.5)
    run_recorder(store, declared_at=ASKED_AT, clock=clock, from_platform=False)
    assert store.written == []


def test_platform_reader_writes_the_row():
    store = FakeStore(table_update())
    clock = clock_with_answer(19, made_at=20.5)
    run_recorder(store, declared_at=ASKED_AT, clock=clock, from_platform=True)
    # The fake store answers with a conflict, so there may be more than one attempt.
    assert store.written


def test_write_bounds_the_time_of_the_next_version():
    """Guards against a version that dates from before the previous one was recorded.

    A version that is declared soon after another one was dated by the last read, and
    old weights were refused too early.
    """
    for answer in (
        RowWritten(revision=REVISION),
        TableUpdate(rows=[row(TWO)], revision=REVISION, made_at=MADE_AT),
    ):
        started_at = boottime_clock()
        clock = clock_with_answer(19, made_at=20.5)
        run_recorder(FakeStore(answer), declared_at=ASKED_AT, clock=clock)
        assert clock.write_time_bound(REVISION) == ASKED_AT
        assert started_at <= clock.write_time_bound(REVISION + 1) <= boottime_clock()
