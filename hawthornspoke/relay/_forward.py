"""Forwarding: choose an endpoint, try it, try another where that is allowed."""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.catalog import STREAM
from hawthornspoke.httpio import encode_request
from hawthornspoke.placing import Ask, Decline
from hawthornspoke.relay._events import EventSplitter
from hawthornspoke.relay._try import NOT_RUN, Try
from hawthornspoke.retries import AskRetry, RetryAllowed, Succeeded

#: Connections tried for one request before it is refused. An endpoint that can't
#: be reached costs no run, only time.
MOST_CONNECTS = 3

#: Seconds of silence after which a repeatable request is tried elsewhere. An
#: engine that works sends a first token within some hundred milliseconds and an
#: event each 50 to 150 ms; callers leave a stream that is silent for 2.4 s.
LEAST_PATIENCE = 1.2

#: Times the expected time to the first token that an endpoint is waited for.
PATIENCE = 3.0

#: Part of the time that a plain service's request has, spent at one endpoint
#: before a repeatable one is tried elsewhere.
PLAIN_PATIENCE_SHARE = 0.45

#: Seconds kept for the answer's own way back to the caller.
ANSWER_TIME = 0.005

#: Levels on the wire between two priorities of ours, and the least urgent level.
PRIORITY_STEP = 2
LEAST_URGENT = 9

SUCCESS = range(200, 300)


class Forwarder:
    """Runs the tries of requests.

    Parameters
    ----------
    admission : Admission
    timers : Timers
    fleet : Fleet
    pool : ConnectionPool
    dialect : Dialect
    budget_for : callable
        Returns the RetryBudget of a service.
    log : EventLog
    """

    __slots__ = (
        "_admission",
        "_timers",
        "_fleet",
        "_pool",
        "_dialect",
        "_budget_for",
        "_log",
    )

    def __init__(self, *, admission, timers, fleet, pool, dialect, budget_for, log):
        self._admission = admission
        self._timers = timers
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._budget_for = budget_for
        self._log = log

    async def run(self, work):
        """Try until the request is answered or given up.

        Parameters
        ----------
        work : Work
            Says afterwards what happened. A whole answer is left in
            ``last_response``; a stream has been passed on.
        """
        connects = 0
        while True:
            place = self._choose(work, connects)
            if place is None:
                return
            attempt = Try(
                place=place,
                pool=self._pool,
                fleet=self._fleet,
                dialect=self._dialect,
                timers=self._timers,
            )
            connects += 1
            try:
                if await self._try(work, attempt):
                    return
                self._log.change(
                    "try_failed",
                    request=work.request_id,
                    endpoint=place.endpoint_id,
                    reason=work.last_reason,
                    may_have_run=work.may_have_run,
                )
            finally:
                # Reached with an open connection only if the task was cancelled:
                # the caller left, or the request's time is over.
                attempt.leave()

    def _choose(self, work, connects):
        if work.objection is not None:
            return None
        if connects >= MOST_CONNECTS + work.route.attempts:
            work.retry_after = work.retry_after or 0.5
            return None
        if work.sent and not self._may_retry(work):
            return None
        ask = self._ask(work)
        (answer,) = self._fleet.step(ask, now=monotonic())
        if isinstance(answer, Decline):
            work.last_reason = work.last_reason or answer.reason
            work.retry_after = answer.retry_after
            self._log_declined(work, ask, answer)
            return None
        self._log_placed(work, ask, answer)
        work.tried.append(answer.endpoint_id)
        return answer

    def _ask(self, work, *, same_version=None):
        """Return the question for an endpoint, as it is at this moment.

        Parameters
        ----------
        work : Work
        same_version : int or None, default=None
            Of the weights that began the stream that is to go on.
        """
        now = self._admission.clock()
        begun = same_version is not None
        return Ask(
            service=work.service,
            prompt_tokens=work.prompt_tokens,
            on_time_left=1.0 if begun else work.objective_deadline - now,
            time_left=work.deadline - now,
            returned=begun or work.returned or work.sent > 0,
            tried=frozenset(work.tried),
            same_version=same_version,
            contact_now=now,
        )

    def _log_placed(self, work, ask, place):
        self._log.decision(
            "placed",
            request=work.request_id,
            endpoint=place.endpoint_id,
            started_ms=place.incarnation.started_ms,
            load=place.load,
            report_age=place.report_age,
            expected=round(place.expected, 4),
            on_time_left=round(ask.on_time_left, 3),
            returned=ask.returned,
            version=place.weights_version,
            begin_left=_left(place.begin_deadline),
        )

    def _log_declined(self, work, ask, decline):
        self._log.change(
            "declined",
            request=work.request_id,
            service=ask.service,
            reason=decline.reason,
            on_time_left=round(ask.on_time_left, 3),
            returned=ask.returned,
            retry_after=decline.retry_after,
        )

    def _may_retry(self, work):
        if work.objection is not None or work.sent >= work.route.attempts:
            return False
        left = work.deadline - self._admission.clock()
        if not work.reply.started and left < work.deadline - work.resend_deadline:
            # The caller will have left before a first event can come; an endpoint
            # would read the prompt for nobody.
            work.last_reason = f"{work.last_reason}; no time for a first event"
            return False
        now = monotonic()
        message = AskRetry(
            repeatable=work.route.repeatable,
            was_run=work.may_have_run,
            deadline=now + left - ANSWER_TIME,
        )
        (verdict,) = self._budget_for(work.service).step(message, now=now)
        if isinstance(verdict, RetryAllowed):
            return True
        work.last_reason = f"{work.last_reason}; {verdict.failure.code}"
        return False

    async def _try(self, work, attempt):
        """Return whether the request needs no further try."""
        ran_before = work.may_have_run
        failure = await self._connect_and_send(work, attempt)
        if failure is not None:
            work.last_reason = f"{failure.code}: {failure.reason}"
            return False
        head = await attempt.read_head(patience=self._patience(work, attempt.place))
        if isinstance(head, Failure):
            work.last_reason = f"{head.code}: {head.reason}"
            work.may_have_run = ran_before or head != NOT_RUN
            return False
        if head.status in SUCCESS and head.get(self._dialect.seal) is None:
            # No endpoint of ours: bytes of something else at that address.
            attempt.fail()
            work.last_reason = "an answer without a seal"
            return False
        if work.route.kind == STREAM and head.status in SUCCESS:
            return await self._pass_stream(work, attempt, head)
        return await self._take_whole(work, attempt)

    async def _connect_and_send(self, work, attempt, *, last_event=None, version=None):
        """Send a request, the first time, once more, or for the rest of a stream.

        Parameters
        ----------
        work : Work
        attempt : Try
        last_event, version : int or None, default=None
            After which event a stream goes on, and of which weights.

        Returns
        -------
        None or Failure
            If not a byte of it has left.
        """
        failure = await attempt.connect()
        if failure is not None:
            return failure
        # Nothing is waited for from here to the write, and all that takes time but
        # decides nothing comes before the last look.
        data = self._encode(work, attempt.place, last_event, version)
        ask = self._ask(work, same_version=version)
        place = self._admission.recheck(work, ask=ask, place=attempt.place)
        if not isinstance(place, Failure):
            attempt.place = place
            failure = attempt.send(data, expected_id=work.request_id)
        else:
            failure = place
        if failure is not None:
            self._log_not_sent(work, attempt, failure)
            return failure
        work.sent += 1
        # From here on the endpoint may run it, also when nothing is heard any more
        # before the request's time is over; only its own word takes that back.
        work.may_have_run = True
        return None

    def _log_not_sent(self, work, attempt, failure):
        self._log.change(
            "not_sent",
            request=work.request_id,
            endpoint=attempt.place.endpoint_id,
            reason=f"{failure.code}: {failure.reason}",
            time_left=round(work.deadline - self._admission.clock(), 3),
            contact_age=self._admission.contact_age(),
        )

    async def _take_whole(self, work, attempt):
        patience = work.deadline - self._admission.clock()
        answer = await attempt.read_whole(patience=patience)
        if isinstance(answer, Failure):
            work.last_reason = f"{answer.code}: {answer.reason}"
            return False
        well = answer.status in SUCCESS
        attempt.done(well=well)
        work.last_response = answer
        if well:
            self._succeeded(work)
            return True
        work.last_reason = f"endpoint answered {answer.status}"
        return not (work.route.repeatable and answer.status >= 500)

    async def _pass_stream(self, work, attempt, head):
        splitter = EventSplitter(last_id=_number(work.request, self._dialect))
        try:
            while attempt is not None:
                if await self._pump(work, attempt, head, splitter):
                    attempt.done(well=True)
                    work.reply.finish()
                    self._succeeded(work)
                    return True
                attempt.fail()
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
        work.reply.start(head.status, self.answer_headers(head))

    async def _resume(self, work, head, splitter):
        """Go on at another endpoint with the same version of the weights."""
        version = head.get(self._dialect.versions, "")
        if not (work.route.repeatable and version.isdigit()):
            return None
        while self._may_retry(work):
            ask = self._ask(work, same_version=int(version))
            (place,) = self._fleet.step(ask, now=monotonic())
            if isinstance(place, Decline):
                work.last_reason += f"; no endpoint to go on: {place.reason}"
                self._log_declined(work, ask, place)
                return None
            self._log_placed(work, ask, place)
            work.tried.append(place.endpoint_id)
            attempt = await self._try_to_resume(work, place, splitter, version)
            if attempt is not None:
                return attempt
        return None

    async def _try_to_resume(self, work, place, splitter, version):
        attempt = Try(
            place=place,
            pool=self._pool,
            fleet=self._fleet,
            dialect=self._dialect,
            timers=self._timers,
        )
        kept = False
        try:
            failure = await self._connect_and_send(
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

    def _succeeded(self, work):
        work.outcome = "answered"
        self._budget_for(work.service).step(Succeeded(), now=monotonic())

    def _patience(self, work, place):
        left = work.deadline - self._admission.clock()
        if not work.route.repeatable:
            return max(0.0, left)
        if work.route.kind == STREAM:
            wanted = max(LEAST_PATIENCE, PATIENCE * place.expected)
        else:
            wanted = left * PLAIN_PATIENCE_SHARE if work.sent == 1 else left
        return max(0.0, min(left, wanted))

    def _encode(self, work, place, last_event, version):
        request = work.request
        headers = self._headers(work, place, last_event=last_event)
        if version is not None:
            headers.append((self._dialect.expected_version, str(version)))
        return encode_request(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
        )

    def _headers(self, work, place, *, last_event=None):
        dialect = self._dialect
        without = set(dialect.set_here())
        if last_event is not None:
            without.add(dialect.last_event.lower())
        headers = work.request.end_to_end(without=without)
        left = work.deadline - ANSWER_TIME - self._admission.clock()
        headers.append((dialect.deadline_ms, str(max(1, int(left * 1000)))))
        headers.append((dialect.expected_endpoint, place.endpoint_id))
        if work.organisation is not None:
            headers.append((dialect.organisation, work.organisation.name))
        headers.append((dialect.priority, str(self._priority(work))))
        if last_event is not None:
            headers.append((dialect.last_event, str(last_event)))
        return headers

    def _priority(self, work):
        own = work.route.priority
        if work.organisation is not None and work.organisation.priority is not None:
            own = work.organisation.priority
        # A caller that is late already gains nothing by going first, and one that
        # is not would become late behind it.
        now = self._admission.clock()
        late = work.returned or now > work.objective_deadline
        return min(LEAST_URGENT, own * PRIORITY_STEP + int(late))

    def answer_headers(self, response):
        """Return the fields of an endpoint's answer that callers get."""
        return response.end_to_end(without=self._dialect.internal())


def _left(deadline):
    return None if deadline is None else round(deadline - monotonic(), 3)


def _number(request, dialect):
    value = request.get(dialect.last_event, "")
    return int(value) if value.isdigit() else None
