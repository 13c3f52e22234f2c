"""Responses of ``http.client``, and so of urllib3, whose size is limited."""

import http.client
import io

from hawthornspoke.fields import parse_digits

#: Maximum bytes of a head, and between two parts of a body: chunk sizes, chunk
#: extensions and trailers.
MAX_FRAMING_BYTES = 65536


class ResponseTooLarge(OSError):
    """A server sends more than a response may hold."""


class HeadCut(OSError):
    """A server closed the connection inside the head of its response."""


class UnreadableFraming(OSError):
    """The head of a response doesn't tell in a readable way where its body ends."""


class BoundedResponse(http.client.HTTPResponse):
    """Response that fails with ``ResponseTooLarge`` beyond a limit.

    The read timeout of a socket doesn't end a response whose bytes keep arriving. It
    also fails with ``HeadCut`` if its head has no end: the standard library takes the
    fields until then for all of them, and without those that frame the body, what has
    arrived of the response for the whole of it. It does so without a readable length or
    with an unknown transfer coding as well; these are ``UnreadableFraming`` here.

    Attributes
    ----------
    max_body_bytes : int or None
        None for a body that is read in parts, and not kept.
    """

    max_body_bytes = None

    def __init__(self, sock, *args, **options):
        super().__init__(sock, *args, **options)
        self.fp = _BoundedReader(self.fp.detach(), max_body_bytes=self.max_body_bytes)

    def begin(self):
        """Read the head, and any interim response before it."""
        # A response without a body gives up its reader in here.
        reader = self.fp
        if reader is not None:
            reader.is_in_head = True
        super().begin()
        if reader is not None:
            reader.is_in_head = False
        self._check_framing()

    def _check_framing(self):
        codings = self.headers.get_all("Transfer-Encoding", ())
        if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
            raise UnreadableFraming(f"transfer coding {', '.join(codings)!r}")
        for field in self.headers.get_all("Content-Length", ()):
            if any(parse_digits(part.strip()) is None for part in field.split(",")):
                raise UnreadableFraming(f"length {field!r}")


class _BoundedReader(io.BufferedReader):
    """Reader in which lines are framing, and all else is a part of the body.

    Attributes
    ----------
    is_in_head : bool
        Whether a head is read, in which the connection must not end after the first
        byte. Before it, the connection had been closed while it was idle.
    """

    def __init__(self, raw, *, max_body_bytes):
        super().__init__(raw)
        self.is_in_head = False
        self._framing_bytes = 0
        self._body_bytes = 0
        self._max_body_bytes = max_body_bytes

    def readline(self, size=-1):
        """Read a line of the head, of a chunk's head or of the trailers."""
        left = MAX_FRAMING_BYTES - self._framing_bytes
        if size is None or size < 0:
            size = left + 1
        line = super().readline(size)
        self._framing_bytes += len(line)
        if self.is_in_head and self._framing_bytes and len(line) < size:
            self._check_line(line)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise ResponseTooLarge(f"over {MAX_FRAMING_BYTES} bytes of framing")
        return line

    def _check_line(self, line):
        if not line.endswith(b"\n"):
            raise HeadCut("the connection was closed inside the head of the response")

    def read(self, size=-1):
        """Read a part of the body, or the rest of it."""
        if self._max_body_bytes is not None:
            left = self._max_body_bytes - self._body_bytes
            if size is None or size < 0:
                size = left + 1
            elif size > left:
                # A reader of the standard library allocates all that it may read.
                self._check(self._body_bytes + size)
        return self._count(super().read(size))

    def read1(self, size=-1):
        """Read a part of the body with at most one call of the system."""
        return self._count(super().read1(size))

    def readinto(self, buffer):
        """Read a part of the body into a buffer."""
        size = super().readinto(buffer)
        self._count(memoryview(buffer)[:size])
        return size

    def _count(self, data):
        self._framing_bytes = 0
        self._body_bytes += len(data)
        self._check(self._body_bytes)
        return data

    def _check(self, size):
        if self._max_body_bytes is not None and size > self._max_body_bytes:
            raise ResponseTooLarge(f"a body of over {self._max_body_bytes} bytes")
