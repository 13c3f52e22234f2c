"""The row with quarantined requests, including rows of other writers."""

import asyncio
import json

import pytest
from hypothesis import given, settings, strategies as st

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.mirror import QuarantineRecorder, Row, RowWritten, TableUpdate
from hawthornspoke.mirror._quarantine_record import (
    KEY,
    MAX_INCARNATIONS_PER_REQUEST,
    MAX_REQUESTS,
    MAX_WRITE_ATTEMPTS,
)
from hawthornspoke.quarantine import EVIDENCE_LIFETIME, Evidence, Retrial

MADE_AT = 1000.0
STORE_DOWN = Failure(code="store_failed", reason="away")
INCARNATION_IDS = ["e1", "e2", "e3"]


def entry(fingerprint, *, left=100.0):
    return {
        "fingerprint": fingerprint,
        "starts": INCARNATION_IDS,
        "until_ms": int(1000 * (MADE_AT + left)),
    }


def table_update(*entries, data=None, revision=7, made_at=MADE_AT):
    if data is None:
        data = json.dumps({"requests": entries}).encode()
    return TableUpdate(
        rows=[Row(key=KEY, data=data, revision=revision)],
        revision=revision,
        made_at=made_at,
    )


def empty_table_update():
    return TableUpdate(rows=[], revision=3, made_at=MADE_AT)


def evidence(fingerprint="new"):
    deadline = monotonic() + EVIDENCE_LIFETIME
    return [
        Evidence(
            fingerprint=fingerprint, incarnation_id=incarnation_id, deadline=deadline
        )
        for incarnation_id in INCARNATION_IDS
    ]


class FakeStore:
    """Returns prepared answers, and records writes."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.written = []

    async def read(self, table, *, first_key, end_key):
        return self.answers.pop(0)

    async def write(self, table, key, data, *, expected):
        self.written.append((expected, json.loads(data)["requests"]))
        return self.answers.pop(0)


class FakeSuspects:
    """Returns unrecorded evidence once, and collects recorded evidence."""

    def __init__(self, *unrecorded):
        self.unrecorded = list(unrecorded)
        self.merged = []
        self.cleared_by_feature = {}

    def cleared_incarnations(self, feature):
        return self.cleared_by_feature.get(feature, set())

    async def wait_for_unstored_evidence(self):
        if self.unrecorded:
            return self.unrecorded.pop(0)
        return await asyncio.Event().wait()

    def merge_recorded(self, items):
        self.merged += items


class FakeLog:
    def __init__(self):
        self.events = []

    def change(self, event, **fields):
        self.events.append(event)


def run_record(store, suspects, *, first_start=False, seconds=0.05):
    """Run a record for some time; return the logged events."""
    log = FakeLog()
    record = QuarantineRecorder(
        store=store, suspects=suspects, log=log, first_start=first_start
    )

    async def run():
        async with asyncio.timeout(seconds):
            await record.run()

    with pytest.raises(TimeoutError):
        asyncio.run(run())
    return log.events


def test_recorded_requests_are_loaded_on_start():
    suspects = FakeSuspects()
    run_record(FakeStore(table_update(entry("f"))), suspects)
    assert {item.incarnation_id for item in suspects.merged} == set(INCARNATION_IDS)
    assert all(90 < item.deadline - monotonic() <= 100 for item in suspects.merged)


def test_nothing_is_read_on_first_start():
    run_record(FakeStore(), FakeSuspects(), first_start=True)


def test_quarantine_is_limited_to_lifetime_of_evidence():
    suspects = FakeSuspects()
    run_record(FakeStore(table_update(entry("f", left=1e9))), suspects)
    assert all(
        item.deadline - monotonic() <= EVIDENCE_LIFETIME + 1 for item in suspects.merged
    )


def test_new_request_is_added_to_the_row():
    store = FakeStore(
        empty_table_update(), table_update(entry("f")), RowWritten(revision=8)
    )
    run_record(store, FakeSuspects(evidence()))
    ((expected, written),) = store.written
    assert expected == 7
    assert [item["fingerprint"] for item in written] == ["f", "new"]


def test_request_in_the_row_is_not_written_again():
    store = FakeStore(empty_table_update(), table_update(entry("new")))
    run_record(store, FakeSuspects(evidence()))
    assert store.written == []


def test_conflicting_write_is_merged():
    store = FakeStore(
        empty_table_update(),
        empty_table_update(),
        table_update(entry("f")),
        table_update(entry("f")),
        RowWritten(revision=9),
    )
    run_record(store, FakeSuspects(evidence()))
    assert [expected for expected, _ in store.written] == [0, 7]
    assert [item["fingerprint"] for item in store.written[-1][1]] == ["f", "new"]


def test_failed_calls_are_retried():
    store = FakeStore(
        STORE_DOWN,
        empty_table_update(),
        STORE_DOWN,
        empty_table_update(),
        RowWritten(revision=4),
    )
    events = run_record(store, FakeSuspects(evidence()), seconds=2.6)
    assert events.count("quarantine_unrecorded") == 2
    assert len(store.written) == 1


def test_row_is_bounded_and_drops_expired_entries():
    entries = [entry(f"f{number}", left=number - 5) for number in range(100)]
    store = FakeStore(
        empty_table_update(),
        table_update(*entries[:MAX_REQUESTS]),
        RowWritten(revision=8),
    )
    run_record(store, FakeSuspects(evidence()))
    names = [item["fingerprint"] for item in store.written[0][1]]
    assert len(names) <= MAX_REQUESTS
    assert "f0" not in names and names[-1] == "new"


@settings(max_examples=100, deadline=None)
@given(data=st.one_of(st.binary(max_size=40), st.just(b'{"requests": [7]}')))
def test_malformed_row_is_ignored(data):
    suspects = FakeSuspects()
    log = FakeLog()
    record = QuarantineRecorder(
        store=FakeStore(table_update(data=data)), suspects=suspects, log=log
    )
    assert asyncio.run(record._read()) is None
    assert suspects.merged == []


def test_malformed_row_is_overwritten():
    store = FakeStore(
        empty_table_update(), table_update(data=b"7"), RowWritten(revision=8)
    )
    events = run_record(store, FakeSuspects(evidence()))
    assert "quarantine_unreadable" in events
    assert store.written[0][0] == 7


def test_row_keeps_the_time_of_each_end():
    """Guards against ends of a part that a restarted host takes for one event."""
    items = [
        Evidence(
            fingerprint="part:a1",
            incarnation_id=incarnation_id,
            deadline=monotonic() + 100.0 + number,
        )
        for number, incarnation_id in enumerate(INCARNATION_IDS)
    ]
    store = FakeStore(
        empty_table_update(), empty_table_update(), RowWritten(revision=8)
    )
    run_record(store, FakeSuspects(items))
    ((_, written),) = store.written
    suspects = FakeSuspects()
    run_record(FakeStore(table_update(*written)), suspects)
    deadlines = sorted(item.deadline for item in suspects.merged)
    gaps = [
        later - first for first, later in zip(deadlines, deadlines[1:], strict=False)
    ]
    assert len(deadlines) == 3
    assert all(0.9 < gap < 1.1 for gap in gaps)


def test_unusable_times_of_ends_make_the_row_unreadable_and_not_the_host():
    broken = {**entry("f"), "until_ms_by_start": ["soon", -1, None]}
    suspects = FakeSuspects()
    events = run_record(FakeStore(table_update(broken)), suspects)
    assert events == ["quarantine_unreadable"]
    assert suspects.merged == []


def test_later_ends_and_retrials_are_added_to_a_known_request():
    """Guards against a restart that forgets later ends, and the retrials."""
    items = evidence("f")
    last = Evidence(fingerprint="f", incarnation_id="e4", deadline=items[0].deadline)
    retrial = Retrial(fingerprint="f", count=2, deadline=items[0].deadline)
    store = FakeStore(
        empty_table_update(), table_update(entry("f")), RowWritten(revision=8)
    )
    run_record(store, FakeSuspects([*items, last, retrial]))
    ((_, written),) = store.written
    suspects = FakeSuspects()
    run_record(FakeStore(table_update(*written)), suspects)
    *ends, read = suspects.merged
    assert {item.incarnation_id for item in ends} == {*INCARNATION_IDS, "e4"}
    assert read.count == 2
    assert abs(read.deadline - retrial.deadline) < 1.0


def test_cleared_evidence_is_dropped_from_the_row():
    """Guards against a restart that suspects again what answers have cleared."""
    suspects = FakeSuspects([])
    suspects.cleared_by_feature = {"f": set(INCARNATION_IDS)}
    store = FakeStore(
        empty_table_update(),
        table_update(entry("f"), entry("g")),
        RowWritten(revision=8),
    )
    run_record(store, suspects)
    assert [item["fingerprint"] for item in store.written[0][1]] == ["g"]


def test_write_that_meets_conflicts_each_time_is_tried_again():
    """Guards against a retrial or an end that no host stores, as many write at once."""
    conflicts = [empty_table_update(), None] * MAX_WRITE_ATTEMPTS
    store = FakeStore(
        empty_table_update(), *conflicts, empty_table_update(), RowWritten(revision=8)
    )
    events = run_record(store, FakeSuspects(evidence()), seconds=1.5)
    assert events.count("quarantine_unrecorded") == 1
    assert len(store.written) == MAX_WRITE_ATTEMPTS + 1


def test_expired_ends_leave_room_for_later_ones():
    """Guards against a restart that knows only ends of long ago."""
    names = [f"old{number}" for number in range(MAX_INCARNATIONS_PER_REQUEST)]
    old = {
        **entry("f"),
        "starts": names,
        "until_ms_by_start": [int(1000 * (MADE_AT - 1.0))] * len(names),
    }
    store = FakeStore(empty_table_update(), table_update(old), RowWritten(revision=8))
    run_record(store, FakeSuspects(evidence("f")))
    ((_, (written,)),) = store.written
    assert written["starts"] == INCARNATION_IDS
