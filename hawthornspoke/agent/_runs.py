"""A request that runs on this host, and its response events for the entry host."""

import queue
import threading

from hawthornspoke.base import Failure, boottime_clock, monotonic
from hawthornspoke.protocol import Event, EventKind

CALLER_DISCONNECTED = Failure(code="busy", reason="caller is gone")
DEADLINE_PASSED = Failure(code="deadline_passed", reason="not started in time")

#: Maximum number of queued events. While the queue is full, because the caller of the
#: entry host reads slowly, the engine's stream is not read either (backpressure).
MAX_QUEUED_EVENTS = 256

#: Maximum number of events in one reply.
MAX_REPLY_EVENTS = 64

#: Seconds without a read call after which the entry host counts as disconnected, and
#: the request is cancelled.
UNREAD_TIMEOUT = 10.0


class Run:
    """One request, with a bounded queue of events, the parts of its response.

    Parameters
    ----------
    submit : hawthornspoke.protocol.Submit
    deadline : float
        On the monotonic clock.
    boottime_deadline : float or None, default=None
        The same on the boot-time clock, which also advances while the host is
        suspended; otherwise an expired request could run after a suspension.
    is_caller_disconnected : callable or None, default=None
        Returns whether the entry host has closed its connection.
    """

    __slots__ = (
        "submit",
        "deadline",
        "boottime_deadline",
        "is_caller_disconnected",
        "read_at",
        "ended",
        "cancelled",
        "_events",
        "_response",
        "_lock",
    )

    def __init__(
        self, *, submit, deadline, boottime_deadline=None, is_caller_disconnected=None
    ):
        self.submit = submit
        self.deadline = deadline
        self.boottime_deadline = boottime_deadline
        self.is_caller_disconnected = is_caller_disconnected
        self.read_at = monotonic()
        self.ended = False
        self.cancelled = threading.Event()
        self._events = queue.Queue(maxsize=MAX_QUEUED_EVENTS)
        self._response = None
        self._lock = threading.Lock()

    def precheck(self):
        """Check whether the engine may still be called.

        The request has passed the gate and the start of a thread since it arrived. If
        the host stalled meanwhile, the entry host may have given up on the request and
        reported to the caller that it was not run.

        Returns
        -------
        None or Failure
            The reason not to call the engine, or None.
        """
        if self.cancelled.is_set():
            return CALLER_DISCONNECTED
        if self.is_caller_disconnected is not None and self.is_caller_disconnected():
            return CALLER_DISCONNECTED
        is_expired = monotonic() >= self.deadline
        if self.boottime_deadline is not None:
            is_expired = is_expired or boottime_clock() >= self.boottime_deadline
        return DEADLINE_PASSED if is_expired else None

    def push(self, event):
        """Queue an event; blocks while the queue is full.

        Parameters
        ----------
        event : Event

        Returns
        -------
        bool
            False if the request was cancelled.
        """
        while not self.cancelled.is_set():
            try:
                self._events.put(event, timeout=0.5)
                return True
            except queue.Full:
                continue
        return False

    def refuse(self, failure, *, live=None):
        """End the request with the guarantee that it was not run.

        Parameters
        ----------
        failure : Failure
        live : str or None, default=None
            Digest of the weights that are live for the service on this host.
        """
        retry_after = None
        if failure.retry_after is not None:
            retry_after = int(failure.retry_after * 1000)
        self.push(
            Event(
                kind=EventKind.REFUSED,
                reason=f"{failure.code}: {failure.reason}",
                retry_after_ms=retry_after,
                digest=live,
            )
        )

    def fail(self, reason):
        """End the request with an unknown outcome; it may have run.

        Parameters
        ----------
        reason : str
        """
        self.push(Event(kind=EventKind.FAILED, reason=reason))

    def next_events(self, wait):
        """Remove and return the next events.

        Parameters
        ----------
        wait : float
            Seconds to wait for the first event.

        Returns
        -------
        list of Event
        """
        self.read_at = monotonic()
        events = []
        try:
            events.append(self._events.get(block=wait > 0, timeout=wait))
            while len(events) < MAX_REPLY_EVENTS:
                events.append(self._events.get_nowait())
        except queue.Empty:
            pass
        self.read_at = monotonic()
        if events and events[-1].kind in (
            EventKind.DONE,
            EventKind.REFUSED,
            EventKind.FAILED,
        ):
            self.ended = True
        return events

    def is_unread(self, *, now):
        """Return whether the entry host has stopped reading.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return now - self.read_at > UNREAD_TIMEOUT

    def attach(self, response):
        """Store the engine's response, so that :meth:`cancel` can shut it down.

        Parameters
        ----------
        response : object
            Response with a ``shutdown`` method.
        """
        with self._lock:
            self._response = response
            cancelled = self.cancelled.is_set()
        if cancelled:
            _shut_down(response)

    def cancel(self):
        """Cancel the request and shut the engine's response down, if there is one."""
        with self._lock:
            self.cancelled.set()
            response = self._response
        if response is not None:
            _shut_down(response)


def _shut_down(response):
    try:
        response.shutdown()
    except (RuntimeError, OSError):
        # The response has already been read to its end, so nothing is left to cancel.
        return
