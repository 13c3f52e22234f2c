"""Where a request goes, and whether it may be sent once more."""

from hawthornspoke.base import monotonic
from hawthornspoke.placing import Ask, Decline
from hawthornspoke.relay._encoding import ANSWER_TIME
from hawthornspoke.retries import AskRetry, RetryAllowed, Succeeded

#: Connections tried for one request before it is refused. An endpoint that can't
#: be reached costs no run, only time.
MOST_CONNECTS = 3


class Chooser:
    """Asks the fleet and the retry budgets.

    Parameters
    ----------
    clock : callable
        Returns the moment on the clock of a request's deadlines.
    fleet : Fleet
    budget_for : callable
        Returns the RetryBudget of a service.
    log : EventLog
    """

    __slots__ = ("_clock", "_fleet", "_budget_for", "_log")

    def __init__(self, *, clock, fleet, budget_for, log):
        self._clock = clock
        self._fleet = fleet
        self._budget_for = budget_for
        self._log = log

    def choose(self, work, connects):
        """Return where a request goes next, None if nowhere.

        Parameters
        ----------
        work : Work
        connects : int
            How many endpoints were tried for it.

        Returns
        -------
        Place or None
        """
        if work.objection is not None:
            return None
        if connects >= MOST_CONNECTS + work.route.attempts:
            work.retry_after = work.retry_after or 0.5
            return None
        if work.sent and not self.may_retry(work):
            return None
        answer = self._answer(work, self.ask(work))
        if isinstance(answer, Decline):
            work.last_reason = work.last_reason or answer.reason
            work.retry_after = answer.retry_after
            return None
        return answer

    def choose_to_resume(self, work, version):
        """Return where a stream goes on with the same weights, None if nowhere.

        Parameters
        ----------
        work : Work
        version : int

        Returns
        -------
        Place or None
        """
        answer = self._answer(work, self.ask(work, same_version=version))
        if isinstance(answer, Decline):
            work.last_reason += f"; no endpoint to go on: {answer.reason}"
            return None
        return answer

    def ask(self, work, *, same_version=None):
        """Return the question for an endpoint, as it is at this moment.

        Parameters
        ----------
        work : Work
        same_version : int or None, default=None
            Of the weights that began the stream that is to go on.
        """
        now = self._clock()
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

    def may_retry(self, work):
        """Tell whether a request may be sent once more."""
        if work.objection is not None or work.sent >= work.route.attempts:
            return False
        left = work.deadline - self._clock()
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

    def succeeded(self, work):
        """Note that a request was answered well."""
        work.outcome = "answered"
        self._budget_for(work.service).step(Succeeded(), now=monotonic())

    def _answer(self, work, ask):
        (answer,) = self._fleet.step(ask, now=monotonic())
        if isinstance(answer, Decline):
            self._log_declined(work, ask, answer)
        else:
            self._log_placed(work, ask, answer)
            work.tried.append(answer.endpoint_id)
        return answer

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


def _left(deadline):
    return None if deadline is None else round(deadline - monotonic(), 3)
