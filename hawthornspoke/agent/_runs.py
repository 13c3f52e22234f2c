"""One request on this host: its events on their way to the entry host."""

import queue
import threading

from hawthornspoke.base import monotonic
from hawthornspoke.protocol import Event, EventKind

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
    """

    __slots__ = (
        "submit",
        "deadline",
        "read_at",
        "ended",
        "cancelled",
        "_events",
        "_call",
        "_lock",
    )

    def __init__(self, *, submit, deadline):
        self.submit = submit
        self.deadline = deadline
        self.read_at = monotonic()
        self.ended = False
        self.cancelled = threading.Event()
        self._events = queue.Queue(maxsize=MAX_EVENTS)
        self._call = None
        self._lock = threading.Lock()

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
