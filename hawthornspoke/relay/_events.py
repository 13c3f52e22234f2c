"""Taking a stream of events apart."""

SEPARATOR = b"\n\n"

#: Bytes of the longest event that is waited for; more is not a stream of ours.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Cuts a byte stream into whole events and reads their ids.

    An endpoint may die in the middle of an event. Only whole events are passed on,
    so that what another endpoint sends next starts where a caller can read it.

    Parameters
    ----------
    last_id : int or None, default=None
        The event after which the stream goes on.
    """

    __slots__ = ("last_id", "error", "_partial")

    def __init__(self, *, last_id=None):
        self.last_id = last_id
        self.error = ""
        self._partial = b""

    def feed(self, data):
        """Take bytes and return the whole events among them.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
            Nothing behind an event that is out of order; ``broken`` then says why.
        """
        if self.error:
            return b""
        buffer = self._partial + data
        end = buffer.rfind(SEPARATOR)
        if end < 0:
            self._partial = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                self.error = "an event without an end"
            return b""
        end += len(SEPARATOR)
        self._partial = buffer[end:]
        return self._check(buffer[:end])

    def has_partial_event(self):
        """Tell whether the stream stopped within an event."""
        return bool(self._partial.strip())

    def restart(self):
        """Forget a part of an event: another endpoint sends it whole."""
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
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
