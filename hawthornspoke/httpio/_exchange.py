"""One request sent on a connection, and its response."""

import asyncio
import collections

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.httpio._message import Response
from hawthornspoke.memory_budget import KERNEL, READ_BUFFER_BYTES, SENDING, UNREAD

#: Maximum bytes of a body that one read returns, so that little is written beyond the
#: high-water mark of a slow caller.
READ_BYTES = 32768

#: Received parts that are smaller are held together.
SMALL_PART_BYTES = 16384

#: Maximum bytes of a response that are held unread, unless the sender of the request
#: sets a limit.
MAX_UNREAD_BYTES = 8 * 1024 * 1024

TOO_LARGE = Failure(code="too_large")


class Exchange:
    """One request sent on a connection, and its response as it is received.

    Parameters
    ----------
    expected_id : str or None
        Request id that the response has to echo; None accepts any response.
    account : MemoryAccount or None, default=None
        Of the caller for whom the request is sent.
    max_unread_bytes : int, default=MAX_UNREAD_BYTES
        A memory budget may allow less.

    Attributes
    ----------
    is_framed : bool
        Whether the response has a length or chunks; known with its head.
    ended_with_connection : bool
        Whether the response had neither a length nor chunks, and the endpoint closed
        the connection: at its end, or earlier if the endpoint crashed.
    ended_at : float or None
        When the response was complete or failed, on the monotonic clock.
    ended_after : float or None
        Earliest time of its end, which is found later if reading was paused.
    on_end : callable or None
        Called when the response is complete or has failed; may be set later.
    """

    __slots__ = (
        "expected_id",
        "account",
        "max_unread_bytes",
        "head",
        "complete",
        "is_framed",
        "ended_with_connection",
        "ended_at",
        "ended_after",
        "on_end",
        "failure",
        "_parts",
        "_buffered_bytes",
        "_received",
        "_expected_bytes",
        "_max_skipped_bytes",
        "_retained_bytes",
        "_waiter",
    )

    def __init__(self, *, expected_id, account=None, max_unread_bytes=MAX_UNREAD_BYTES):
        self.expected_id = expected_id
        self.account = account
        self.max_unread_bytes = max_unread_bytes
        self.head = None
        self.complete = False
        self.is_framed = True
        self.ended_with_connection = False
        self.ended_at = None
        self.ended_after = None
        self.on_end = None
        self.failure = None
        # Parts as received: a single buffer that grows to megabytes is copied again and
        # again within the allocator's heap, which then takes a multiple of its size.
        self._parts = collections.deque()
        self._buffered_bytes = 0
        self._received = 0
        self._expected_bytes = 0
        self._max_skipped_bytes = None
        self._retained_bytes = 0
        self._waiter = None
        if account is not None:
            account.expect_response()

    @property
    def unread_bytes(self):
        """Received bytes of the body that weren't read yet, or that were retained."""
        return self._buffered_bytes + self._retained_bytes

    @property
    def received_bytes(self):
        """Bytes of the body received so far."""
        return self._received

    @property
    def has_ended(self):
        """Whether the response is complete or has failed."""
        return self.complete or self.failure is not None

    @property
    def has_head_or_failure(self):
        """Whether ``read_head`` returns at once."""
        return self.head is not None or self.failure is not None

    @property
    def has_buffered_bytes(self):
        """Whether bytes of the body have arrived and weren't read yet."""
        return self._buffered_bytes > 0

    async def read_head(self):
        """Wait for the response head; return it or a Failure."""
        while not self.has_head_or_failure:
            await self._wait()
        return self.head if self.head is not None else self.failure

    async def read(self):
        """Return the next bytes of the body, ``b""`` at its end, or a Failure."""
        if self.account is not None:
            self.account.pass_on()
        while not self._parts and not self.has_ended:
            await self._wait()
        if self._parts:
            data = self._take(READ_BYTES)
            self._count()
            return data
        return self.failure if self.failure is not None else b""

    async def read_whole(self):
        """Read the response with its body; return it or a Failure."""
        head = await self.read_head()
        if isinstance(head, Failure):
            return head
        failure = await self.wait_for_end()
        if failure is not None:
            return failure
        # The body still counts as unread until ``discard``.
        body, parts = b"", ()
        if self.account is not None and self._buffered_bytes > READ_BYTES:
            # To join them would take as many bytes again, which nothing counts.
            parts = self._parts.copy()
        else:
            body = b"".join(self._parts)
        self._clear()
        return Response(
            status=head.status, headers=head.headers, body=body, parts=parts
        )

    async def wait_for_end(self):
        """Wait until the response is complete; return a Failure if it fails."""
        while not self.has_ended:
            await self._wait()
        return self.failure

    def skip_body(self, *, max_bytes):
        """Drop the body, received so far or later, as nobody reads it.

        Parameters
        ----------
        max_bytes : int
            Size of the body beyond which the exchange fails.
        """
        self.discard()
        self._clear()
        self._max_skipped_bytes = max_bytes
        self._check_skipped()

    def receive_head(self, head, *, is_framed=True):
        """Store the response head and wake the reader."""
        self.head = head
        self.is_framed = is_framed
        if self.account is not None:
            self.account.hold(KERNEL, 0)
        self._wake()

    def receive_body(self, data):
        """Append received body data and wake the reader.

        Returns
        -------
        bool
            Whether the unread bytes are within the limit.
        """
        self._received += len(data)
        if self._max_skipped_bytes is not None:
            self._check_skipped()
            return True
        self._append(data)
        self._count()
        self._wake()
        return self._is_within_limit()

    def reserve(self, size):
        """Count a body of a size as held before it arrives."""
        self._expected_bytes = size
        self._count()

    def retain(self, size):
        """Count bytes that were read and can't be passed on yet.

        Parameters
        ----------
        size : int
            All bytes that are retained now.
        """
        if size != self._retained_bytes:
            self._retained_bytes = size
            self._count()

    def discard(self):
        """Count nothing of this exchange any more, as its request has ended."""
        account, self.account = self.account, None
        if account is not None:
            account.hold(UNREAD, 0)
            account.hold(SENDING, 0)
            account.hold(KERNEL, 0)
            account.stop_pausing()

    def move_account(self, account):
        """Count what is held for the response with another account.

        Parameters
        ----------
        account : MemoryAccount or None
        """
        self.discard()
        self.account = account
        self._count()

    def end(self, failure=None, *, since=None):
        """Mark the response as complete, or as failed if a failure is given.

        No effect if the exchange has already ended.

        Parameters
        ----------
        failure : Failure or None, default=None
        since : float or None, default=None
            Earliest time of the end; None for now.
        """
        if self.has_ended:
            return
        self.ended_at = monotonic()
        self.ended_after = self.ended_at if since is None else since
        if failure is None:
            self.complete = True
        else:
            self.failure = failure
        self._wake()
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()

    def _is_within_limit(self):
        size = self.unread_bytes
        if size > self.max_unread_bytes:
            return False
        if self.account is None or size <= READ_BUFFER_BYTES:
            return True
        is_announced = size <= self._expected_bytes
        return self.account.may_ever_hold(size, is_announced=is_announced)

    def _check_skipped(self):
        if self._received > self._max_skipped_bytes:
            self.end(TOO_LARGE.with_reason(f"{self._received} bytes of a refusal"))

    def _take(self, size):
        """Return the next bytes, at most ``size``."""
        taken = []
        left = size
        while self._parts and left > 0:
            part = self._parts.popleft()
            if len(part) > left:
                # Without a copy of the rest; a view keeps an array from growing.
                view = memoryview(bytes(part) if isinstance(part, bytearray) else part)
                self._parts.appendleft(view[left:])
                part = view[:left]
            taken.append(part)
            left -= len(part)
        self._buffered_bytes -= size - left
        return bytes(taken[0]) if len(taken) == 1 else b"".join(taken)

    def _append(self, data):
        self._buffered_bytes += len(data)
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) < SMALL_PART_BYTES:
            # An object for each of many small parts would take far more than they do.
            last += data
        elif len(data) < SMALL_PART_BYTES:
            self._parts.append(bytearray(data))
        else:
            self._parts.append(data)

    def _clear(self):
        self._parts.clear()
        self._buffered_bytes = 0

    def _count(self):
        if self.account is not None:
            missing = max(0, self._expected_bytes - self._received)
            self.account.hold(UNREAD, self.unread_bytes + missing)

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
