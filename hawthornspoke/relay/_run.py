"""Runs the attempts of one request until one of them has answered it."""

import contextlib
import math
import random

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.catalog import STREAM
from hawthornspoke.fields import parse_digits
from hawthornspoke.hedging import (
    AttemptAbandoned,
    AttemptDenied,
    AttemptEnded,
    AttemptRace,
    AttemptSilent,
    AttemptStarted,
    AttemptWanted,
    DataReceived,
    ProgressMade,
    TimePassed,
)
from hawthornspoke.memory_budget import ANSWER
from hawthornspoke.relay._reading import (
    SUCCESS_STATUSES,
    AnswerReader,
    AnswerReceived,
    first_result,
)
from hawthornspoke.relay._try import NOT_RUN

ENDPOINT_FAILED = Failure(code="endpoint_failed")

#: Seconds without an event after which a stream is also requested from another
#: endpoint. A healthy engine sends its first token within some hundred milliseconds and
#: an event every 50 to 150 ms; callers abandon a stream that sends nothing for 2.4 s.
STREAM_PATIENCE = 1.2

#: Maximum additional patience with a stream. The requests at an endpoint fall silent
#: together; if their second attempts were made together, all entry hosts would choose
#: endpoints by the same loads and overload them.
PATIENCE_JITTER = 0.4

#: Patience before the first event, as a multiple of the expected time to first token;
#: it is at least ``STREAM_PATIENCE``.
EXPECTED_TIME_FACTOR = 3.0

#: Share of the remaining time of a repeatable request without a stream after which
#: another endpoint is asked as well; and of any other request, which can't be repeated,
#: after which its endpoint counts as silent.
PLAIN_PATIENCE_SHARE = 0.45
UNREPEATABLE_PATIENCE_SHARE = 0.9

#: Seconds until a second attempt that could not be made is asked for again.
HEDGE_RETRY_INTERVAL = 0.3


class RequestRun:
    """One request on its way to endpoints, and the way of their answer to its caller.

    Parameters
    ----------
    context : RequestContext
        Updated with the outcome. A response that is not a stream is stored in
        ``last_response``; a stream is passed on.
    planner : AttemptPlanner
    sender : Sender
    encoder : Encoder
    header_names : HeaderNames
    shutdown : Shutdown
    clock : callable
        Clock of the request's deadline.
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "_context",
        "_planner",
        "_sender",
        "_encoder",
        "_header_names",
        "_shutdown",
        "_clock",
        "_log",
        "_metrics",
        "_race",
        "_reader_by_id",
        "_connection_attempts",
        "_last_id",
        "_version",
    )

    def __init__(
        self,
        *,
        context,
        planner,
        sender,
        encoder,
        header_names,
        shutdown,
        clock,
        log,
        metrics,
    ):
        self._context = context
        self._planner = planner
        self._sender = sender
        self._encoder = encoder
        self._header_names = header_names
        self._shutdown = shutdown
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._race = AttemptRace(
            max_attempts=context.route.attempts, is_repeatable=context.route.repeatable
        )
        self._reader_by_id = {}
        self._connection_attempts = 0
        self._last_id = parse_digits(context.request.get(header_names.last_event, ""))
        self._version = None

    async def execute(self):
        """Run attempts until the request is answered or no attempt is allowed."""
        try:
            while self._reader_by_id or await self._start():
                result = await self._next_result()
                if result is None:
                    self._step(TimePassed())
                elif await self._apply(*result):
                    return
        finally:
            # Attempts are left only if the task was cancelled: the caller disconnected,
            # or the deadline passed.
            self._record_timeouts()
            with contextlib.ExitStack() as stack:
                for reader in self._reader_by_id.values():
                    stack.callback(reader.cancel)
        if self._context.reply.started:
            self._context.reply.abort()
            self._context.outcome = "cut"

    async def _start(self):
        """Make an attempt while no other one is under way; return whether it is."""
        while True:
            placement = await self._select()
            if placement is None:
                self._step(AttemptDenied())
                return False
            attempt_id, reader = self._create_reader(placement)
            failure = await reader.send()
            if failure is None:
                return True
            await self._remove(attempt_id, failure)

    async def _select(self):
        context = self._context
        if not context.reply.started:
            return await self._planner.select(context, self._connection_attempts)
        if not self._is_resumable():
            return None
        return self._planner.select_for_resume(context, int(self._version))

    def _hedge(self):
        """Make an attempt beside those under way, if there is an endpoint for it."""
        context = self._context
        placement = None
        has_started = context.reply.started
        if not has_started or self._is_resumable():
            placement = self._planner.select_hedge(
                context,
                self._connection_attempts,
                required_version=int(self._version) if has_started else None,
            )
        if placement is None:
            self._step(AttemptDenied(retry_at=monotonic() + HEDGE_RETRY_INTERVAL))
            return
        self._metrics.count("hedges_total", service=context.service)
        self._log.change(
            "hedged",
            request=context.request_id,
            endpoint=placement.endpoint_id,
            silent=[item.attempt.placement.endpoint_id for item in self._readers()],
        )
        _, reader = self._create_reader(placement, is_hedge=True)
        reader.begin()

    def _is_resumable(self):
        return (
            self._context.route.repeatable and parse_digits(self._version) is not None
        )

    def _create_reader(self, placement, *, is_hedge=False):
        context = self._context
        attempt = self._sender.create_attempt(context, placement, is_hedge=is_hedge)
        reader = AnswerReader(
            context=context,
            attempt=attempt,
            sender=self._sender,
            header_names=self._header_names,
            last_id=self._last_id,
            version=self._version if context.reply.started else None,
        )
        self._connection_attempts += 1
        attempt_id = self._connection_attempts
        self._reader_by_id[attempt_id] = reader
        self._step(
            AttemptStarted(
                attempt_id=attempt_id, patience=self._first_patience(placement)
            )
        )
        return attempt_id, reader

    async def _next_result(self):
        """Return an attempt's id and the next part of its answer, None if all wait."""
        wake_at = self._race.wake_at
        timeout = None if wake_at == math.inf else max(0.0, wake_at - monotonic())
        result = await first_result(self._readers(), timeout=timeout)
        if result is None:
            self._note_data()
            return None
        reader, part = result
        for attempt_id, item in self._reader_by_id.items():
            if item is reader:
                return attempt_id, part

    def _note_data(self):
        """Start the patience anew with attempts whose endpoints aren't silent."""
        for attempt_id, reader in self._reader_by_id.items():
            if reader.is_progressing():
                self._step(
                    DataReceived(attempt_id=attempt_id, patience=self._patience())
                )

    async def _apply(self, attempt_id, part):
        """Apply what an attempt has brought; return whether the request is answered."""
        if isinstance(part, Failure):
            await self._remove(attempt_id, part)
            return False
        if isinstance(part, AnswerReceived):
            return await self._apply_answer(attempt_id, part.response)
        self._keep(attempt_id)
        reader = self._reader_by_id[attempt_id]
        self._last_id = reader.last_id
        self._start_reply(reader.head)
        self._sender.record_event(reader.attempt)
        if not part.is_last:
            await self._context.reply.write(part.data)
            return False
        del self._reader_by_id[attempt_id]
        reader.attempt.complete(is_success=True)
        self._context.reply.finish()
        self._record_success(reader.attempt)
        return True

    async def _apply_answer(self, attempt_id, response):
        context = self._context
        reader = self._reader_by_id[attempt_id]
        context.last_response = response
        if context.reply.account is not None:
            # Before the attempt is completed, which counts its bytes no more.
            context.reply.account.hold(ANSWER, response.body_size)
        is_success = response.status in SUCCESS_STATUSES
        if not is_success and self._may_be_bettered(response):
            reader.attempt.complete(is_success=False)
            failure = ENDPOINT_FAILED.with_reason(
                f"the endpoint responded with status {response.status}"
            )
            await self._remove(attempt_id, failure)
            return False
        # Before the attempt is completed, which gives its connection back.
        self._keep(attempt_id)
        reader.attempt.complete(is_success=is_success)
        del self._reader_by_id[attempt_id]
        if is_success:
            self._record_success(reader.attempt)
        else:
            context.last_reason = (
                f"the endpoint responded with status {response.status}"
            )
        return True

    def _record_success(self, attempt):
        self._planner.record_success(self._context)
        self._shutdown.record_run(self._context, attempt)

    def _record_timeouts(self):
        """Record the runs that were still under way at the request's deadline."""
        if self._clock() < self._context.deadline:
            return
        for reader in self._reader_by_id.values():
            if reader.is_sent:
                self._shutdown.record_run(self._context, reader.attempt)

    def _may_be_bettered(self, response):
        """Return whether another attempt may still succeed after an error."""
        has_others = len(self._reader_by_id) > 1
        return self._context.route.repeatable and (has_others or response.status >= 500)

    def _keep(self, attempt_id):
        """Keep the attempt that has made progress, and end all others."""
        reader = self._reader_by_id[attempt_id]
        self._step(ProgressMade(attempt_id=attempt_id, patience=self._patience()))
        reader.attempt.record_progress(account=self._context.reply.account)

    async def _remove(self, attempt_id, failure):
        """End an attempt that has failed."""
        context = self._context
        reader = self._reader_by_id.pop(attempt_id)
        reader.cancel()
        if failure == NOT_RUN:
            context.refused += 1
        context.may_have_run = context.sent > context.refused
        context.last_reason = f"{failure.code}: {failure.reason}"
        self._log.change(
            "try_failed",
            request=context.request_id,
            endpoint=reader.attempt.placement.endpoint_id,
            reason=context.last_reason,
            may_have_run=context.may_have_run,
        )
        self._step(
            AttemptEnded(
                attempt_id=attempt_id,
                was_sent=reader.is_sent,
                retry_at=monotonic() + HEDGE_RETRY_INTERVAL,
            )
        )
        if not self._reader_by_id:
            await self._sender.wait_for_probes(context)

    def _start_reply(self, head):
        context = self._context
        if context.reply.started:
            return
        self._version = head.get(self._header_names.versions, "")
        context.first_byte_at = monotonic()
        context.reply.start(head.status, self._encoder.response_headers(head))

    def _step(self, message):
        for outcome in self._race.step(message, now=monotonic()):
            if isinstance(outcome, AttemptAbandoned):
                self._reader_by_id.pop(outcome.attempt_id).cancel()
            elif isinstance(outcome, AttemptSilent):
                self._reader_by_id[outcome.attempt_id].attempt.record_silence()
            elif isinstance(outcome, AttemptWanted) and outcome.is_hedge:
                # Without other attempts, ``execute`` makes the one that is wanted.
                self._hedge()

    def _readers(self):
        return list(self._reader_by_id.values())

    def _first_patience(self, placement):
        """Return the seconds until the first part of an answer is overdue."""
        if self._context.route.kind == STREAM:
            expected = EXPECTED_TIME_FACTOR * placement.expected
            return max(_stream_patience(), expected)
        return self._patience()

    def _patience(self):
        """Return the seconds until the next part of an answer is overdue."""
        if self._context.route.kind == STREAM:
            return _stream_patience()
        remaining = max(0.0, self._context.deadline - self._clock())
        is_repeatable = self._context.route.repeatable and self._race.sent < 2
        share = PLAIN_PATIENCE_SHARE if is_repeatable else UNREPEATABLE_PATIENCE_SHARE
        return remaining * share


def _stream_patience():
    return STREAM_PATIENCE + PATIENCE_JITTER * random.random()
