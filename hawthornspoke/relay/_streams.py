"""Passing streams on, and going on elsewhere where one was cut."""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.relay._events import EventSplitter

#: Seconds of silence after which a repeatable request is tried elsewhere. An
#: engine that works sends a first token within some hundred milliseconds and an
#: event each 50 to 150 ms; callers leave a stream that is silent for 2.4 s.
LEAST_PATIENCE = 1.2

SUCCESS = range(200, 300)


class Streams:
    """Passes events on, whole ones only.

    Parameters
    ----------
    chooser : Chooser
    sender : Sender
    encoder : Encoder
    dialect : Dialect
    """

    __slots__ = ("_chooser", "_sender", "_encoder", "_dialect")

    def __init__(self, *, chooser, sender, encoder, dialect):
        self._chooser = chooser
        self._sender = sender
        self._encoder = encoder
        self._dialect = dialect

    async def pass_on(self, work, attempt, head):
        """Pass a stream on to the caller, from as many endpoints as that takes.

        Parameters
        ----------
        work : Work
        attempt : Try
            Where it has begun.
        head : Response

        Returns
        -------
        bool
            Whether the request needs no further try.
        """
        splitter = EventSplitter(last_id=_number(work.request, self._dialect))
        try:
            while attempt is not None:
                if await self._pump(work, attempt, head, splitter):
                    attempt.done(well=True)
                    work.reply.finish()
                    self._chooser.succeeded(work)
                    return True
                attempt.fail()
                await self._sender.settle(work)
                if not work.reply.started:
                    # Not an event has been passed on: it can start anew elsewhere.
                    return False
                attempt = await self._resume(work, head, splitter)
        finally:
            if attempt is not None:
                attempt.leave()
        work.reply.abort()
        work.outcome = "cut"
        return True

    async def _pump(self, work, attempt, head, splitter):
        """Pass events on; return whether the stream is complete."""
        while True:
            try:
                async with asyncio.timeout(LEAST_PATIENCE):
                    data = await attempt.exchange.read()
            except TimeoutError:
                if not work.route.repeatable:
                    continue
                work.last_reason = f"no event in {LEAST_PATIENCE:g} s"
                return False
            if isinstance(data, Failure):
                work.last_reason = f"{data.code}: {data.reason}"
                return False
            if not data:
                if splitter.unfinished():
                    work.last_reason = "the stream ended within an event"
                return not splitter.unfinished() and work.reply.started
            events = splitter.feed(data)
            if events:
                self._start(work, head)
                await work.reply.write(events)
            if splitter.broken:
                work.last_reason = splitter.broken
                return False

    def _start(self, work, head):
        if work.reply.started:
            return
        work.first_byte_at = monotonic()
        work.reply.start(head.status, self._encoder.answer_headers(head))

    async def _resume(self, work, head, splitter):
        """Go on at another endpoint with the same version of the weights."""
        version = head.get(self._dialect.versions, "")
        if not (work.route.repeatable and version.isdigit()):
            return None
        while self._chooser.may_retry(work):
            place = self._chooser.choose_to_resume(work, int(version))
            if place is None:
                return None
            attempt = await self._try_to_resume(work, place, splitter, version)
            if attempt is not None:
                return attempt
        return None

    async def _try_to_resume(self, work, place, splitter, version):
        attempt = self._sender.attempt_at(work, place)
        kept = False
        try:
            failure = await self._sender.send(
                work, attempt, last_event=splitter.last_id, version=int(version)
            )
            if failure is not None:
                work.last_reason += f"; {failure.code}: {failure.reason}"
                return None
            work.resumed += 1
            head = await attempt.read_head(patience=LEAST_PATIENCE)
            if isinstance(head, Failure):
                work.last_reason += f"; {head.code}: {head.reason}"
                return None
            sealed = head.get(self._dialect.seal) is not None
            same = head.get(self._dialect.versions) == version
            if head.status not in SUCCESS or not sealed or not same:
                attempt.fail()
                return None
            splitter.restart()
            kept = True
            return attempt
        finally:
            if not kept:
                attempt.leave()


def _number(request, dialect):
    value = request.get(dialect.last_event, "")
    return int(value) if value.isdigit() else None
