"""Tells the response to a request from late responses to earlier ones."""

import re

#: Kinds of responses that may not belong to the request; label of the counter.
OTHER_ID = "other_id"
NO_ID = "no_id"
HIDDEN = "hidden"

#: Maximum bytes of white space after the colon of a header field.
_MAX_SPACE = 8

#: Bytes of a status line up to the reason phrase.
STATUS_LINE_START_BYTES = len(b"HTTP/1.1 200")

#: Maximum bytes from the start of a head to its id, for it to be found in a body that
#: arrives in parts.
MAX_CONTAINED_HEAD_BYTES = 4096

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")

#: Status line and the fields before the one that is looked for.
_HEAD_START = (
    _STATUS_LINE.pattern + rb"[^\r\n]{0,256}\r\n"
    rb"(?:[^\r\n:]{1,256}:[^\r\n]{0,2048}\r\n){0,64}?"
)


class ResponseMatcher:
    """Matches the responses that a connection receives to one request.

    Parameters
    ----------
    id_header : str or None
        Header by which a response is matched; None accepts any response.
    expected_id : str or None
        Id that the response has to echo; None accepts any response.
    is_first : bool
        Whether the connection has carried no other request.
    """

    __slots__ = (
        "_id_header",
        "_expected_id",
        "_is_first",
        "_own_field",
        "_head",
        "_tail",
    )

    def __init__(self, *, id_header, expected_id, is_first):
        self._id_header = None if expected_id is None else id_header
        self._expected_id = expected_id
        self._is_first = is_first
        self._own_field = None
        self._head = None
        self._tail = b""

    def mismatch(self, head):
        """Return why a response may belong to an earlier request, None if it can't."""
        if self._id_header is None:
            return None
        received_id = head.get(self._id_header)
        if received_id is not None:
            return None if received_id == self._expected_id else OTHER_ID
        # Only what answers the first request of a connection can't be late.
        return None if self._is_first else NO_ID

    def is_identified(self, head):
        """Return whether a response that is accepted names its request."""
        return self._id_header is None or head.get(self._id_header) is not None

    def start_body(self):
        """Prepare for the body of the next response."""
        self._tail = b""

    def contains_head(self, data):
        """Return whether the body of the own response contains a response's head.

        The own response was cut short then, and what follows is no part of its body.

        Parameters
        ----------
        data : bytes
            Next part of the body; the head may be split between several parts.

        Returns
        -------
        bool
        """
        if self._id_header is None:
            return False
        data = self._tail + data
        if b"HTTP/1." not in data:
            self._tail = data[-STATUS_LINE_START_BYTES:]
            return False
        self._tail = data[-MAX_CONTAINED_HEAD_BYTES:]
        if self._head is None:
            name = re.escape(self._id_header.encode("latin-1"))
            self._head = re.compile(_HEAD_START + name + rb":", re.IGNORECASE)
        return self._head.search(data) is not None

    def hides_own_response(self, data):
        """Return whether what is discarded contains the id of the own response.

        The response that is discarded was cut short then, and the own one is taken for
        the rest of its body.

        Parameters
        ----------
        data : bytes
            Next part of a body; the field may be split between two parts.

        Returns
        -------
        bool
        """
        if self._id_header is None:
            return False
        data = self._tail + data
        if self._find_own_field(data) is not None:
            return True
        length = len(self._id_header) + 1 + _MAX_SPACE + len(self._expected_id)
        self._tail = data[1 - length :]
        return False

    def _find_own_field(self, data):
        if self._own_field is None:
            name = re.escape(self._id_header.encode("latin-1"))
            value = re.escape(self._expected_id.encode("latin-1"))
            self._own_field = re.compile(
                rb"%b:[ \t]{0,%d}%b(?![^\s])" % (name, _MAX_SPACE, value),
                re.IGNORECASE,
            )
        return self._own_field.search(data)


def contains_status_line(data):
    """Return whether a response begins within a reason phrase or a field's value.

    The head to which that belongs was cut short then.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    bool
    """
    return b"HTTP/1." in data and _STATUS_LINE.search(data) is not None
