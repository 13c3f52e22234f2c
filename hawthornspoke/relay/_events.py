"""Splits streams of server-sent events."""

from hawthornspoke.fields import parse_digits

SEPARATOR = b"\n\n"

#: Maximum size of an event in bytes; a longer one is treated as invalid data.
MAX_EVENT_BYTES = 1024 * 1024

TOO_LONG = f"an event of more than {MAX_EVENT_BYTES} bytes"


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
        self._partial = bytearray()

    @property
    def partial_bytes(self):
        """Size of the incomplete event in the buffer."""
        return len(self._partial)

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
        # Only the new bytes are searched, and the last one before them, since an event
        # may arrive in any number of parts.
        searched = max(0, len(self._partial) - len(SEPARATOR) + 1)
        self._partial += data
        end = self._partial.rfind(SEPARATOR, searched)
        events = b""
        if end >= 0:
            end += len(SEPARATOR)
            events = self._check(bytes(self._partial[:end]))
            del self._partial[:end]
        if len(self._partial) >= MAX_EVENT_BYTES + len(SEPARATOR) and not self.error:
            self.error = TOO_LONG
        if self.error:
            self._partial.clear()
        return events

    def has_partial_event(self):
        """Return whether the buffer holds an incomplete event."""
        return bool(self._partial.strip())

    def restart(self):
        """Discard an incomplete event, which another endpoint sends again."""
        self._partial.clear()
        self.error = ""

    def _check(self, events):
        valid_length = 0
        for event in events.split(SEPARATOR)[:-1]:
            if len(event) > MAX_EVENT_BYTES:
                self.error = TOO_LONG
                break
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
