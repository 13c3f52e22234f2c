"""Rate-limited, non-blocking structured logging."""

import collections
import json
import sys
import threading
import time

from loguru import logger

#: Lines queued for a slow reader of standard output; further lines are dropped and
#: counted.
MAX_QUEUED_LINES = 2000

#: Rate limit for routine decisions, in lines per second. At 1,400 requests per second
#: over about a dozen entry hosts, a host logs decisions on about 100 requests per
#: second; twice that allows for bursts, and 200 lines of 300 bytes are 60 KB/s.
INFO_LINES_PER_SECOND = 200.0

#: Rate limit for failures and state changes, in lines per second. It is separate, so
#: that routine decisions can't use it up.
WARNING_LINES_PER_SECOND = 400.0

#: Minimum seconds between two reports of the number of suppressed lines.
DROP_REPORT_INTERVAL = 5.0

INFO = "INFO"
WARNING = "WARNING"


class _TokenBucket:
    __slots__ = ("rate", "tokens", "refilled_at")

    def __init__(self, *, rate):
        self.rate = rate
        self.tokens = rate
        self.refilled_at = 0.0

    def try_acquire(self, now):
        refill = (now - self.refilled_at) * self.rate
        self.tokens = min(self.rate, self.tokens + max(0.0, refill))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class BoundedSink:
    """Passes lines to a writer thread through a bounded queue.

    If the reader of the pipe stops reading, a direct write would block, and with it
    every request of the process. Here only the queue fills up.

    Parameters
    ----------
    stream : file object
        Text stream to write to.

    Attributes
    ----------
    dropped : int
        Number of lines dropped because the queue was full.
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
        """Queue one line, or drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(str(message))
        self._ready.set()

    def flush(self, deadline):
        """Wait until the queued lines are written, at most until a deadline.

        Parameters
        ----------
        deadline : float
            Time on the monotonic clock.
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
                    # Standard output is closed, so the error can't be reported.
                    return


class EventLog:
    """Writes events as JSON lines.

    Parameters
    ----------
    node : str
        Name of the host, included in every line.
    clock : callable, default=time.monotonic
    stream : file object or None, default=None
        Standard output if None.

    Attributes
    ----------
    suppressed : int
        Number of lines suppressed by the rate limits since it was last logged.
    """

    __slots__ = (
        "node",
        "suppressed",
        "_clock",
        "_sink",
        "_bucket_by_level",
        "_next_report_at",
    )

    def __init__(self, *, node, clock=time.monotonic, stream=None):
        self.node = node
        self.suppressed = 0
        self._clock = clock
        self._sink = BoundedSink(stream=stream or sys.stdout)
        self._bucket_by_level = {
            INFO: _TokenBucket(rate=INFO_LINES_PER_SECOND),
            WARNING: _TokenBucket(rate=WARNING_LINES_PER_SECOND),
        }
        self._next_report_at = 0.0
        logger.remove()
        logger.add(self._sink, format="{message}", level="DEBUG", catch=True)

    def decision(self, event, **fields):
        """Log a routine decision; it may be suppressed by the rate limit."""
        self._log(INFO, event, fields)

    def change(self, event, **fields):
        """Log a failure or a state change."""
        self._log(WARNING, event, fields)

    def flush(self, deadline):
        """Wait for the writer thread, at most until a deadline (monotonic clock)."""
        self._sink.flush(deadline)

    def _log(self, level, event, fields):
        now = self._clock()
        if not self._bucket_by_level[level].try_acquire(now):
            self.suppressed += 1
            return
        if self.suppressed and now >= self._next_report_at:
            self._next_report_at = now + DROP_REPORT_INTERVAL
            self._write(WARNING, "lines_left_out", {"count": self.suppressed})
            self.suppressed = 0
        self._write(level, event, fields)

    def _write(self, level, event, fields):
        line = {"t": round(time.time(), 4), "node": self.node, "event": event}
        line.update(fields)
        logger.log(level, "{}", json.dumps(line, default=str, separators=(",", ":")))
