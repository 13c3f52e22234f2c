"""The row that keeps requests in quarantine, whoever wrote it."""

import asyncio
import json

import pytest
from hypothesis import given, settings, strategies as st

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.mirror import News, QuarantineRecord, Row, Written
from hawthornspoke.mirror._quarantine_record import KEY, MAX_REQUESTS
from hawthornspoke.quarantine import EVIDENCE_FOR, Evidence

MADE_AT = 1000.0
AWAY = Failure(code="store_failed", reason="away")
STARTS = ["e1", "e2", "e3"]


def entry(fingerprint, *, left=100.0):
    return {
        "fingerprint": fingerprint,
        "starts": STARTS,
        "until_ms": int(1000 * (MADE_AT + left)),
    }


def news(*entries, data=None, revision=7, made_at=MADE_AT):
    if data is None:
        data = json.dumps({"requests": entries}).encode()
    return News(
        rows=[Row(key=KEY, data=data, revision=revision)],
        revision=revision,
        made_at=made_at,
    )


def nothing():
    return News(rows=[], revision=3, made_at=MADE_AT)


def seen(fingerprint="new"):
    deadline = monotonic() + EVIDENCE_FOR
    return [
        Evidence(fingerprint=fingerprint, start=start, deadline=deadline)
        for start in STARTS
    ]


class Store:
    """Answers from a list, and remembers what was written."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.written = []

    async def read(self, table, *, first, past):
        return self.answers.pop(0)

    async def write(self, table, key, data, *, expected):
        self.written.append((expected, json.loads(data)["requests"]))
        return self.answers.pop(0)


class Suspects:
    """Tells what is to be recorded, once, and takes what was."""

    def __init__(self, *unrecorded):
        self.unrecorded = list(unrecorded)
        self.taken = []

    async def next_unrecorded(self):
        if self.unrecorded:
            return self.unrecorded.pop(0)
        return await asyncio.Event().wait()

    def take_recorded(self, items):
        self.taken += items


class Log:
    def __init__(self):
        self.events = []

    def change(self, event, **fields):
        self.events.append(event)


def play(store, suspects, *, first_start=False, seconds=0.05):
    """Let a record work for some time; return the log's events."""
    log = Log()
    record = QuarantineRecord(
        store=store, suspects=suspects, log=log, first_start=first_start
    )

    async def run():
        async with asyncio.timeout(seconds):
            await record.run()

    with pytest.raises(TimeoutError):
        asyncio.run(run())
    return log.events


def test_process_that_starts_takes_what_was_recorded():
    suspects = Suspects()
    play(Store(news(entry("f"))), suspects)
    assert {item.start for item in suspects.taken} == set(STARTS)
    assert all(90 < item.deadline - monotonic() <= 100 for item in suspects.taken)


def test_first_start_of_all_reads_nothing():
    play(Store(), Suspects(), first_start=True)


def test_quarantine_never_lasts_longer_than_its_evidence():
    suspects = Suspects()
    play(Store(news(entry("f", left=1e9))), suspects)
    assert all(
        item.deadline - monotonic() <= EVIDENCE_FOR + 1 for item in suspects.taken
    )


def test_request_in_quarantine_is_written_beside_the_others():
    store = Store(nothing(), news(entry("f")), Written(revision=8))
    play(store, Suspects(seen()))
    ((expected, written),) = store.written
    assert expected == 7
    assert [item["fingerprint"] for item in written] == ["f", "new"]


def test_request_that_another_host_has_written_is_not_written_again():
    store = Store(nothing(), news(entry("new")))
    play(store, Suspects(seen()))
    assert store.written == []


def test_quicker_host_is_not_overwritten():
    store = Store(
        nothing(),
        nothing(),
        news(entry("f")),
        news(entry("f")),
        Written(revision=9),
    )
    play(store, Suspects(seen()))
    assert [expected for expected, _ in store.written] == [0, 7]
    assert [item["fingerprint"] for item in store.written[-1][1]] == ["f", "new"]


def test_platform_that_is_away_is_asked_again():
    store = Store(AWAY, nothing(), AWAY, nothing(), Written(revision=4))
    events = play(store, Suspects(seen()), seconds=2.6)
    assert events.count("quarantine_unrecorded") == 2
    assert len(store.written) == 1


def test_row_is_bounded_and_forgets_what_is_over():
    entries = [entry(f"f{number}", left=number - 5) for number in range(100)]
    store = Store(nothing(), news(*entries[:MAX_REQUESTS]), Written(revision=8))
    play(store, Suspects(seen()))
    names = [item["fingerprint"] for item in store.written[0][1]]
    assert len(names) <= MAX_REQUESTS
    assert "f0" not in names and names[-1] == "new"


@settings(max_examples=100, deadline=None)
@given(data=st.one_of(st.binary(max_size=40), st.just(b'{"requests": [7]}')))
def test_row_of_another_writer_ends_nothing(data):
    suspects = Suspects()
    log = Log()
    record = QuarantineRecord(store=Store(news(data=data)), suspects=suspects, log=log)
    assert asyncio.run(record._read()) is None
    assert suspects.taken == []


def test_row_of_another_writer_is_written_over():
    store = Store(nothing(), news(data=b"7"), Written(revision=8))
    events = play(store, Suspects(seen()))
    assert "quarantine_unreadable" in events
    assert store.written[0][0] == 7
