"""Reads an endpoint's answer part by part."""

import asyncio
from dataclasses import dataclass

from hawthornspoke.base import Failure
from hawthornspoke.catalog import STREAM
from hawthornspoke.httpio import HEAD_METHOD
from hawthornspoke.relay._events import EventSplitter

SUCCESS_STATUSES = range(200, 300)

UNUSABLE_HEAD = Failure(code="unusable_head")
ATTEMPT_FAILED = Failure(code="attempt_failed")
STREAM_INVALID = Failure(code="stream_invalid")
STREAM_INCOMPLETE = Failure(code="stream_incomplete")


@dataclass(slots=True, kw_only=True, frozen=True)
class EventsReceived:
    """Complete events of a stream.

    Parameters
    ----------
    data : bytes
    is_last : bool
        Whether the stream ends after them.
    """

    data: bytes
    is_last: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerReceived:
    """A whole answer that isn't a stream."""

    response: object


class AnswerReader:
    """Reads the answer to one attempt.

    Parameters
    ----------
    context : RequestContext
    attempt : Attempt
    sender : Sender
    header_names : HeaderNames
    last_id : int or None
        Id of the event after which the stream goes on.
    version : str or None, default=None
        Weights version of the stream to resume; None to start anew.

    Attributes
    ----------
    head : Response or None
    is_sent : bool
        Whether the endpoint may have received the request.
    task : Task or None
        Reads the next part while other attempts are under way.
    """

    __slots__ = (
        "attempt",
        "head",
        "is_sent",
        "task",
        "_context",
        "_sender",
        "_header_names",
        "_splitter",
        "_version",
        "_received_bytes",
    )

    def __init__(
        self,
        *,
        context,
        attempt,
        sender,
        header_names,
        last_id,
        version=None,
    ):
        self.attempt = attempt
        self.head = None
        self.is_sent = False
        self.task = None
        self._context = context
        self._sender = sender
        self._header_names = header_names
        self._splitter = EventSplitter(last_id=last_id)
        self._version = version
        self._received_bytes = 0

    @property
    def last_id(self):
        """Id of the last complete event, None if there was none."""
        return self._splitter.last_id

    async def send(self):
        """Send the request; return a Failure if nothing was sent."""
        is_resumption = self._version is not None
        failure = await self._sender.send(
            self._context,
            self.attempt,
            last_event=self.last_id if is_resumption else None,
            version=int(self._version) if is_resumption else None,
        )
        self.is_sent = failure is None
        if self.is_sent and is_resumption:
            self._context.resumed += 1
        return failure

    def begin(self):
        """Send the request and read the first part of its answer, in a task."""
        self.task = asyncio.ensure_future(self._send_and_read())

    async def next_part(self):
        """Read the next part of the answer.

        A call that was cancelled may be repeated.

        Returns
        -------
        EventsReceived, AnswerReceived or Failure
            The attempt has ended if it is a failure.
        """
        if self.head is None:
            head = await self.attempt.read_head()
            if isinstance(head, Failure):
                return head
            defect = self._defect(head)
            if defect is not None:
                self.attempt.fail()
                return UNUSABLE_HEAD.with_reason(defect)
            self.head = head
        if self._is_stream():
            return await self._read_events()
        return await self._read_whole()

    def is_progressing(self):
        """Return whether the endpoint isn't silent, though no part was read.

        Parts of a whole answer may have arrived since the last call, or this host has
        not read what has arrived: it stood still, or lacks memory.
        """
        exchange = self.attempt.exchange
        if exchange is None:
            return False
        is_head_unread = self.head is None and exchange.head is not None
        if is_head_unread or exchange.has_ended or self.attempt.has_unread_data():
            return True
        if self._is_stream():
            return exchange.has_buffered_bytes
        before, self._received_bytes = self._received_bytes, exchange.received_bytes
        if self._received_bytes <= before:
            return False
        self.attempt.record_response()
        return True

    def has_failed(self):
        """Return whether the task has ended with an exception or a failure."""
        return self.task.exception() is not None or isinstance(
            self.task.result(), Failure
        )

    def take_result(self):
        """Return the result of the task, which has ended."""
        task, self.task = self.task, None
        return task.result()

    def cancel(self):
        """End the attempt, if it hasn't ended, and stop reading."""
        if self.task is not None:
            self.task.cancel()
        self.attempt.abandon()

    async def _send_and_read(self):
        failure = await self.send()
        return await self.next_part() if failure is None else failure

    def _defect(self, head):
        """Return why a response head can't be used, None if it can."""
        is_success = head.status in SUCCESS_STATUSES
        is_sealed = head.get(self._header_names.seal) is not None
        if is_success and not is_sealed:
            # Endpoints seal every success, so another server now has the address.
            return "the response has no seal"
        if self._version is None:
            return None
        if not is_success:
            return f"status {head.status} in place of the rest of the stream"
        if head.get(self._header_names.versions) != self._version:
            return "the rest of the stream is of another weights version"
        return None

    def _is_stream(self):
        return (
            self._context.route.kind == STREAM
            and self._context.request.method != HEAD_METHOD
            and self.head is not None
            and self.head.status in SUCCESS_STATUSES
        )

    async def _read_events(self):
        while not self._splitter.error:
            data = await self.attempt.exchange.read()
            if isinstance(data, Failure):
                self.attempt.fail()
                return data
            if not data:
                return await self._check_end()
            self.attempt.record_response()
            events = self._splitter.feed(data)
            self.attempt.exchange.retain(self._splitter.partial_bytes)
            if events:
                self.attempt.has_events = True
                return EventsReceived(data=events, is_last=False)
        self.attempt.fail()
        return STREAM_INVALID.with_reason(self._splitter.error)

    async def _check_end(self):
        """Check whether a stream that has ended is complete."""
        if self._splitter.has_partial_event():
            defect = "the stream ended in the middle of an event"
        elif self._version is None and not self.attempt.has_events:
            defect = "the stream ended before its first event"
        elif not await self.attempt.has_whole_answer():
            defect = "the end of the stream is not verified"
        else:
            return EventsReceived(data=b"", is_last=True)
        self._sender.log_incomplete(self._context, self.attempt, reason=defect)
        self.attempt.cut_short()
        return STREAM_INCOMPLETE.with_reason(defect)

    async def _read_whole(self):
        answer = await self.attempt.read_whole()
        if isinstance(answer, Failure):
            return answer
        return AnswerReceived(response=answer)


async def first_result(readers, *, timeout):
    """Wait until one of several readers has read the next part of its answer.

    Parameters
    ----------
    readers : list of AnswerReader
    timeout : float or None
        Seconds.

    Returns
    -------
    (AnswerReader, object) or None
        The reader, and what its ``next_part`` returned; None if none has in time.
    """
    if len(readers) == 1 and readers[0].task is None:
        # A task for each event would cost more than the event itself.
        try:
            async with asyncio.timeout(timeout):
                return readers[0], await readers[0].next_part()
        except TimeoutError:
            return None
    for reader in readers:
        if reader.task is None:
            reader.task = asyncio.ensure_future(reader.next_part())
    tasks = [reader.task for reader in readers]
    done, _ = await asyncio.wait(
        tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )
    finished = [reader for reader in readers if reader.task in done]
    if not finished:
        return None
    if len(readers) == 1:
        return readers[0], readers[0].take_result()
    # An answer goes before a failure that came at the same time.
    finished.sort(key=lambda reader: reader.has_failed())
    reader = finished[0]
    try:
        return reader, reader.take_result()
    except Exception as error:
        # A fault in one attempt must not end the others.
        return reader, ATTEMPT_FAILED.with_reason(repr(error))
