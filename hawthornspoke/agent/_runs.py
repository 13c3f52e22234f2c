"""One request on this host: its events on their way to the entry host."""

import queue
import threading

from hawthornspoke.base import Failure, contact_clock, monotonic
from hawthornspoke.protocol import Event, EventKind

CALLER_GONE = Failure(code="busy", reason="caller is gone")
DEADLINE_PASSED = Failure(code="deadline_passed", reason="not started in time")

#: Events that wait for the entry host at most. When it does not read, because
#: its caller is slow, the engine's stream is not read either.
MAX_EVENTS = 256

#: Events handed over in one reply at most.
BATCH = 64

#: Seconds without a read after which the entry host counts as gone.
UNREAD_SECONDS = 10.0


class Run:
    """Events of one request.

    Parameters
    ----------
    submit : hawthornspoke.protocol.Submit
    deadline : float
        On this process's clock.
    contact_deadline : float or None, default=None
        The same on the clock that goes on while the host is suspended.
    caller_gone : callable or None, default=None
        Tells whether the entry host has closed its connection.
    """

    __slots__ = (
        "submit",
        "deadline",
        "contact_deadline",
        "caller_gone",
        "read_at",
        "ended",
        "cancelled",
        "_events",
        "_call",
        "_lock",
    )

    def __init__(self, *, submit, deadline, contact_deadline=None, caller_gone=None):
        self.submit = submit
        self.deadline = deadline
        self.contact_deadline = contact_deadline
        self.caller_gone = caller_gone
        self.read_at = monotonic()
        self.ended = False
        self.cancelled = threading.Event()
        self._events = queue.Queue(maxsize=MAX_EVENTS)
        self._call = None
        self._lock = threading.Lock()

    def objection(self):
        """Say what stands against calling the engine at this moment.

        Between the request's arrival and the engine lie the gate and the start of a
        thread. A host that stood still there would run what its entry host has given
        up, and told the caller to be not run.

        Returns
        -------
        None or Failure
        """
        if self.cancelled.is_set():
            return CALLER_GONE
        if self.caller_gone is not None and self.caller_gone():
            return CALLER_GONE
        is_over = monotonic() >= self.deadline
        if self.contact_deadline is not None:
            is_over = is_over or contact_clock() >= self.contact_deadline
        return DEADLINE_PASSED if is_over else None

    def push(self, event):
        """Add an event; wait while the entry host does not read.

        Parameters
        ----------
        event : Event

        Returns
        -------
        bool
            False if the request was cancelled meanwhile.
        """
        while not self.cancelled.is_set():
            try:
                self._events.put(event, timeout=0.5)
                return True
            except queue.Full:
                continue
        return False

    def refuse(self, failure, *, live=None):
        """End the request as not run.

        Parameters
        ----------
        failure : Failure
        live : str or None, default=None
            Digest that the service is answered with here now.
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
        """End the request with an unknown outcome.

        Parameters
        ----------
        reason : str
        """
        self.push(Event(kind=EventKind.FAILED, reason=reason))

    def take(self, wait):
        """Return the next events.

        Parameters
        ----------
        wait : float
            Seconds to wait for the first.

        Returns
        -------
        list of Event
        """
        self.read_at = monotonic()
        events = []
        try:
            events.append(self._events.get(block=wait > 0, timeout=wait))
            while len(events) < BATCH:
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
        """Tell whether the entry host has stopped reading.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        return now - self.read_at > UNREAD_SECONDS

    def attach(self, call):
        """Remember the engine call, so that a cancel can break it off.

        Parameters
        ----------
        call : object
            With a ``shutdown`` method.
        """
        with self._lock:
            self._call = call
            cancelled = self.cancelled.is_set()
        if cancelled:
            _shut_down(call)

    def cancel(self):
        """Break the engine call off, if there is one."""
        with self._lock:
            self.cancelled.set()
            call = self._call
        if call is not None:
            _shut_down(call)


def _shut_down(call):
    try:
        call.shutdown()
    except (RuntimeError, OSError):
        # The answer was read to its end meanwhile; there is nothing to break off.
        return
