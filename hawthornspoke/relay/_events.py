"""Splits streams of server-sent events."""

from hawthornspoke.fields import parse_digits

SEPARATOR = b"\n\n"

#: Maximum size of an event in bytes; a longer one is treated as invalid data.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Splits a byte stream into complete events and checks the order of their ids.

    An endpoint may fail in the middle of an event. Only complete events are
    forwarded, so that another endpoint can resume at an event boundary.

    Parameters
    ----------
    last_id : int or None, default=None
        Id of the event after which the stream resumes.
    """

    __slots__ = ("last_id", "error", "_partial")

    def __init__(self, *, last_id=None):
        self.last_id = last_id
        self.error = ""
        self._partial = b""

    def feed(self, data):
        """Add bytes and return the complete events among the buffered ones.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
            The events before the first invalid one, which has no id or is out of order;
            ``error`` then holds the reason.
        """
        if self.error:
            return b""
        buffer = self._partial + data
        end = buffer.rfind(SEPARATOR)
        if end < 0:
            self._partial = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                self.error = "an event exceeds the maximum size"
            return b""
        end += len(SEPARATOR)
        self._partial = buffer[end:]
        return self._check(buffer[:end])

    def has_partial_event(self):
        """Return whether the buffer holds an incomplete event."""
        return bool(self._partial.strip())

    def restart(self):
        """Discard an incomplete event, which another endpoint sends again."""
        self._partial = b""
        self.error = ""

    def _check(self, events):
        valid_length = 0
        for event in events.split(SEPARATOR)[:-1]:
            event_id = _parse_id(event)
            if event_id is None and event.strip():
                self.error = "an event without an id"
                break
            if event_id is not None:
                if self.last_id is not None and event_id != self.last_id + 1:
                    self.error = f"event {event_id} after {self.last_id}"
                    break
                self.last_id = event_id
            valid_length += len(event) + len(SEPARATOR)
        return events[:valid_length]


def _parse_id(event):
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return parse_digits(line[3:].strip().decode("latin-1"))
    return None
