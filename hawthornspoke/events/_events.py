"""Structured log lines, bounded in number and never waited for."""

import collections
import json
import sys
import threading
import time

from loguru import logger

#: Lines that wait for a slow reader of standard output; the rest is counted.
LINES_KEPT = 2000

#: Lines a second for ordinary decisions. At 1,400 requests a second over some
#: dozen entry hosts a host decides about 100 requests a second; twice that is
#: room for a burst, and 200 lines of 300 bytes are 60 KB/s.
ORDINARY_LINES_PER_SECOND = 200.0

#: Lines a second for failures and changes of state, which are dropped last.
URGENT_LINES_PER_SECOND = 400.0

#: Seconds between two lines that tell how many were left out.
DROP_REPORT_EVERY = 5.0

ORDINARY = "INFO"
URGENT = "WARNING"


class _Bucket:
    __slots__ = ("rate", "tokens", "filled_at")

    def __init__(self, *, rate):
        self.rate = rate
        self.tokens = rate
        self.filled_at = 0.0

    def take(self, now):
        gained = (now - self.filled_at) * self.rate
        self.tokens = min(self.rate, self.tokens + max(0.0, gained))
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class BoundedSink:
    """Hands lines to a thread that writes them.

    A reader that stops reading would block a direct write to the pipe, and with
    it every request of the process. Here it only fills the bounded queue.

    Parameters
    ----------
    stream : file object
    """

    __slots__ = ("dropped", "_lines", "_ready", "_stream", "_thread")

    def __init__(self, *, stream):
        self.dropped = 0
        self._stream = stream
        self._lines = collections.deque()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True, name="log")
        self._thread.start()

    def __call__(self, message):
        """Take one line."""
        if len(self._lines) >= LINES_KEPT:
            self.dropped += 1
            return
        self._lines.append(str(message))
        self._ready.set()

    def flush(self, deadline):
        """Wait until the lines are written, but not past a deadline.

        Parameters
        ----------
        deadline : float
            On the monotonic clock.
        """
        while self._lines and time.monotonic() < deadline:
            time.sleep(0.005)

    def _write(self):
        while True:
            self._ready.wait()
            self._ready.clear()
            while self._lines:
                try:
                    self._stream.write(self._lines.popleft())
                    self._stream.flush()
                except (OSError, ValueError):
                    # Nobody can be told that standard output is gone.
                    return


class EventLog:
    """Writes one JSON object a line.

    Parameters
    ----------
    node : str
        Name of the host, on every line.
    clock : callable, default=time.monotonic
    stream : file object or None, default=None
        Standard output if None.
    """

    __slots__ = (
        "node",
        "left_out",
        "_clock",
        "_sink",
        "_bucket_by_level",
        "_report_deadline",
    )

    def __init__(self, *, node, clock=time.monotonic, stream=None):
        self.node = node
        self.left_out = 0
        self._clock = clock
        self._sink = BoundedSink(stream=stream or sys.stdout)
        self._bucket_by_level = {
            ORDINARY: _Bucket(rate=ORDINARY_LINES_PER_SECOND),
            URGENT: _Bucket(rate=URGENT_LINES_PER_SECOND),
        }
        self._report_deadline = 0.0
        logger.remove()
        logger.add(self._sink, format="{message}", level="DEBUG", catch=True)

    def decision(self, event, **fields):
        """Log an ordinary decision; it may be left out under a flood."""
        self._log(ORDINARY, event, fields)

    def change(self, event, **fields):
        """Log a failure, or a change of what the process believes."""
        self._log(URGENT, event, fields)

    def flush(self, deadline):
        """Wait for the writer, not past a deadline on the monotonic clock."""
        self._sink.flush(deadline)

    def _log(self, level, event, fields):
        now = self._clock()
        if not self._bucket_by_level[level].take(now):
            self.left_out += 1
            return
        if self.left_out and now >= self._report_deadline:
            self._report_deadline = now + DROP_REPORT_EVERY
            self._write(URGENT, "lines_left_out", {"count": self.left_out})
            self.left_out = 0
        self._write(level, event, fields)

    def _write(self, level, event, fields):
        line = {"t": round(time.time(), 4), "node": self.node, "event": event}
        line.update(fields)
        logger.log(level, "{}", json.dumps(line, default=str, separators=(",", ":")))
