"""Logs: bounded under a flood, never blocking, JSON a line."""

import io
import json
import os
import threading
import time

from hawthornspoke.events import EventLog
from hawthornspoke.events._events import LINES_KEPT


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


def test_flood_is_cut_failures_last_and_counted():
    """A flood of requests filled the disk of the log's reader."""
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
    left_out = [line for line in lines if line["event"] == "lines_left_out"]
    assert left_out and left_out[0]["count"] >= 800


def test_reader_that_stops_reading_blocks_nobody():
    """Requests stood still because nobody read the log.

    Events: standard output is a pipe; its reader stops; the pipe is full. Cause:
    lines were written where they were made.
    """
    reading, writing = os.pipe()
    stream = os.fdopen(writing, "w")
    now = [0.0]
    log = EventLog(node="n1", stream=stream, clock=lambda: now[0])
    ended = threading.Event()

    def flood():
        for _ in range(LINES_KEPT * 3):
            now[0] += 0.01
            log.decision("request", filler="x" * 200)
        ended.set()

    threading.Thread(target=flood, daemon=True).start()
    assert ended.wait(10)
    os.close(reading)
