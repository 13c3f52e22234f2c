"""Event logs: format, rate limits, and writing that does not block."""

import io
import json
import os
import threading
import time

from hawthornspoke.events import EventLog
from hawthornspoke.events._events import MAX_QUEUED_LINES


def lines_of(stream):
    """Return the parsed lines of a stream."""
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_has_node_event_and_fields():
    stream = io.StringIO()
    log = EventLog(node="n1", stream=stream)
    log.decision("placed", request="r1", load=3)
    log.flush(time.monotonic() + 1)
    time.sleep(0.02)
    (line,) = lines_of(stream)
    assert (line["node"], line["event"], line["request"]) == ("n1", "placed", "r1")
    assert line["load"] == 3


def test_rate_limit_counts_suppressed_lines_and_keeps_failures():
    """Without a limit, a flood of requests filled the disk of the log collector."""
    now = [0.0]
    stream = io.StringIO()
    log = EventLog(node="n1", stream=stream, clock=lambda: now[0])
    for _ in range(1000):
        log.decision("request", outcome="answered")
    log.change("request", outcome="refused_503")
    now[0] = 10.0
    log.change("later")
    log.flush(time.monotonic() + 1)
    time.sleep(0.02)
    lines = lines_of(stream)
    assert 100 <= sum(line.get("outcome") == "answered" for line in lines) <= 200
    assert any(line.get("outcome") == "refused_503" for line in lines)
    reports = [line for line in lines if line["event"] == "lines_left_out"]
    assert reports and reports[0]["count"] >= 800


def test_stopped_reader_does_not_block_logging():
    """Requests stalled while standard output was a full pipe that nobody read.

    Lines were written by the thread that logged them, and its write blocked.
    """
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w")
    now = [0.0]
    log = EventLog(node="n1", stream=stream, clock=lambda: now[0])
    finished = threading.Event()

    def flood():
        for _ in range(MAX_QUEUED_LINES * 3):
            now[0] += 0.01
            log.decision("request", filler="x" * 200)
        finished.set()

    threading.Thread(target=flood, daemon=True).start()
    assert finished.wait(10)
    os.close(read_end)
