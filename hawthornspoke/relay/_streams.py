"""Forwards event streams, and resumes interrupted ones at another endpoint."""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.fields import parse_digits
from hawthornspoke.relay._events import EventSplitter

#: Seconds without data from an endpoint after which a repeatable stream is restarted or
#: resumed at another one. A healthy engine sends its first token within some hundred
#: milliseconds and an event every 50 to 150 ms; callers abandon a stream that sends
#: nothing for 2.4 s.
STREAM_READ_TIMEOUT = 1.2

SUCCESS_STATUSES = range(200, 300)


class StreamForwarder:
    """Forwards complete events of a stream to the caller.

    Parameters
    ----------
    planner : AttemptPlanner
    sender : Sender
    encoder : Encoder
    header_names : HeaderNames
    """

    __slots__ = ("_planner", "_sender", "_encoder", "_header_names")

    def __init__(self, *, planner, sender, encoder, header_names):
        self._planner = planner
        self._sender = sender
        self._encoder = encoder
        self._header_names = header_names

    async def forward(self, context, attempt, head):
        """Forward a stream to the caller, resuming it at other endpoints if needed.

        Parameters
        ----------
        context : RequestContext
        attempt : Attempt
            The attempt that started the stream.
        head : Response

        Returns
        -------
        bool
            Whether the request needs no further attempt.
        """
        splitter = EventSplitter(
            last_id=_last_event_id(context.request, self._header_names)
        )
        try:
            while attempt is not None:
                if await self._forward_events(context, attempt, head, splitter):
                    attempt.complete(is_success=True)
                    context.reply.finish()
                    self._planner.record_success(context)
                    return True
                attempt.fail()
                await self._sender.wait_for_probes(context)
                if not context.reply.started:
                    # No event was forwarded: the request can start anew elsewhere.
                    return False
                attempt = await self._resume(context, head, splitter)
        finally:
            if attempt is not None:
                attempt.abandon()
        context.reply.abort()
        context.outcome = "cut"
        return True

    async def _forward_events(self, context, attempt, head, splitter):
        """Forward events; return whether the stream is complete."""
        while True:
            try:
                async with asyncio.timeout(STREAM_READ_TIMEOUT):
                    data = await attempt.exchange.read()
            except TimeoutError:
                if not context.route.repeatable:
                    continue
                context.last_reason = f"no event within {STREAM_READ_TIMEOUT:g} s"
                return False
            if isinstance(data, Failure):
                context.last_reason = f"{data.code}: {data.reason}"
                return False
            if not data:
                return await self._check_end(context, attempt, splitter)
            events = splitter.feed(data)
            if events:
                attempt.has_events = True
                self._start(context, head)
                await context.reply.write(events)
            if splitter.error:
                context.last_reason = splitter.error
                return False

    async def _check_end(self, context, attempt, splitter):
        """Return whether a stream that has ended is complete."""
        if splitter.has_partial_event():
            context.last_reason = "the stream ended in the middle of an event"
        elif not context.reply.started:
            context.last_reason = "the stream ended before its first event"
        elif await attempt.is_cut_by_crash():
            context.last_reason = "the endpoint ended with its stream"
        else:
            return True
        self._sender.log_incomplete(context, attempt)
        attempt.cut_short()
        return False

    def _start(self, context, head):
        if context.reply.started:
            return
        context.first_byte_at = monotonic()
        context.reply.start(head.status, self._encoder.response_headers(head))

    async def _resume(self, context, head, splitter):
        """Resume at another endpoint with the same weights version."""
        version = head.get(self._header_names.versions, "")
        number = parse_digits(version)
        if not context.route.repeatable or number is None:
            return None
        while self._planner.may_retry(context):
            placement = self._planner.select_for_resume(context, number)
            if placement is None:
                return None
            attempt = await self._attempt_resume(context, placement, splitter, version)
            if attempt is not None:
                return attempt
        return None

    async def _attempt_resume(self, context, placement, splitter, version):
        attempt = self._sender.create_attempt(context, placement)
        is_resumed = False
        try:
            failure = await self._sender.send(
                context, attempt, last_event=splitter.last_id, version=int(version)
            )
            if failure is not None:
                context.last_reason += f"; {failure.code}: {failure.reason}"
                return None
            context.resumed += 1
            head = await attempt.read_head(response_timeout=STREAM_READ_TIMEOUT)
            if isinstance(head, Failure):
                context.last_reason += f"; {head.code}: {head.reason}"
                return None
            is_sealed = head.get(self._header_names.seal) is not None
            is_same_version = head.get(self._header_names.versions) == version
            if (
                head.status not in SUCCESS_STATUSES
                or not is_sealed
                or not is_same_version
            ):
                attempt.fail()
                return None
            splitter.restart()
            is_resumed = True
            return attempt
        finally:
            if not is_resumed:
                attempt.abandon()


def _last_event_id(request, header_names):
    return parse_digits(request.get(header_names.last_event, ""))
