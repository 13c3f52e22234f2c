"""Limits on what a peer sends besides the body of a message."""

#: Maximum bytes of a message's head, with all interim responses before it.
MAX_HEAD_BYTES = 65536

#: Maximum number of header fields. A small field takes far more memory than bytes.
MAX_HEAD_FIELDS = 256

#: Maximum bytes between two parts of a body, and after the last: chunk sizes, chunk
#: extensions and trailers.
MAX_FRAMING_BYTES = 65536

#: What a peer sent too much of; label of the counter.
HEAD = "head"
FRAMING = "framing"
BODY = "body"
DISCARDED = "discarded"
REFUSAL = "refusal"


class BoundedFeed:
    """Feeds an HTTP parser, which accepts heads and chunk extensions of any size.

    Parameters
    ----------
    parser : httptools.HttpRequestParser or httptools.HttpResponseParser
    max_head_bytes : int, default=MAX_HEAD_BYTES

    Attributes
    ----------
    is_in_body : bool
        Whether the head is complete.
    """

    __slots__ = ("is_in_body", "_feed_data", "_bytes_left")

    def __init__(self, *, parser, max_head_bytes=MAX_HEAD_BYTES):
        self.is_in_body = False
        self._feed_data = parser.feed_data
        self._bytes_left = max_head_bytes

    def feed(self, data):
        """Feed received bytes to the parser.

        The parser doesn't tell where a head ends. So it never gets more bytes at once
        than it may get without progress.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bool
            Whether the limits are kept; the parser must not be fed further if not.

        Raises
        ------
        httptools.HttpParserError, httptools.HttpParserUpgrade
        """
        if len(data) < self._bytes_left:
            self._bytes_left -= len(data)
            self._feed_data(data)
            return True
        start = 0
        while start < len(data) and self._bytes_left > 0:
            part = data[start : start + self._bytes_left]
            start += len(part)
            self._bytes_left -= len(part)
            self._feed_data(part)
        return self._bytes_left > 0

    def record_progress(self):
        """Record the end of the head or a part of the body."""
        self.is_in_body = True
        self._bytes_left = MAX_FRAMING_BYTES

    def record_discarded(self, size):
        """Record a part of the body of another message before the expected one."""
        self._bytes_left += size
