"""Endpoint selection for a request, and the decision whether it may be retried."""

from hawthornspoke.base import monotonic
from hawthornspoke.catalog import rank_of
from hawthornspoke.placing import PlacementRequest, Rejection
from hawthornspoke.relay._encoding import RESPONSE_RETURN_TIME
from hawthornspoke.retries import (
    OUT_OF_BUDGET,
    RequestCounted,
    RetryDenied,
    RetryRequest,
    RetryUnused,
)

#: Connection attempts allowed per request in addition to the attempts of its route.
#: An unreachable endpoint costs time but doesn't run the request.
EXTRA_CONNECTION_ATTEMPTS = 3


class AttemptPlanner:
    """Decides whether a request may be sent (again), and to which endpoint.

    The endpoint is selected by the Fleet; this class prepares the query for it and
    applies the limits of the route and of the retry budget.

    Parameters
    ----------
    clock : callable
        Returns the time on the clock that request deadlines are measured on.
    fleet : Fleet
    budgets : RetryBudgets
    rate_limits : EndpointRateLimits
    shutdown : Shutdown
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_budgets",
        "_rate_limits",
        "_shutdown",
        "_log",
        "_metrics",
    )

    def __init__(self, *, clock, fleet, budgets, rate_limits, shutdown, log, metrics):
        self._clock = clock
        self._fleet = fleet
        self._budgets = budgets
        self._rate_limits = rate_limits
        self._shutdown = shutdown
        self._log = log
        self._metrics = metrics

    async def select(self, context, connection_attempts):
        """Return the next endpoint for a request, None if there is none.

        Wait for a permit if only endpoints at their rate limits could serve it.

        Parameters
        ----------
        context : RequestContext
        connection_attempts : int
            Number of connections attempted for it so far.

        Returns
        -------
        Placement or None
        """
        if context.rejection is not None:
            return None
        if connection_attempts >= EXTRA_CONNECTION_ATTEMPTS + context.route.attempts:
            context.retry_after = context.retry_after or 0.5
            return None
        if context.sent and not self._may_retry(context):
            return None
        result = self._request_placement(context, self.make_placement_request(context))
        if isinstance(result, Rejection) and result.awaited_permits:
            is_granted = await self._rate_limits.wait_for_permit(
                result.awaited_permits,
                time_left=min(context.deadline, self._shutdown.deadline)
                - self._clock(),
            )
            if is_granted:
                result = self._request_placement(
                    context, self.make_placement_request(context)
                )
        if isinstance(result, Rejection):
            context.last_reason = context.last_reason or result.reason
            context.retry_after = result.retry_after
            return None
        return None if self._outlasts_host(context, result) else result

    def select_for_resume(self, context, version):
        """Return an endpoint that can resume a stream with the same weights, if any.

        Parameters
        ----------
        context : RequestContext
        version : int

        Returns
        -------
        Placement or None
        """
        if not self._may_retry(context):
            return None
        result = self._request_placement(
            context, self.make_placement_request(context, required_version=version)
        )
        if isinstance(result, Rejection):
            context.last_reason += (
                f"; no endpoint to resume the stream: {result.reason}"
            )
            return None
        return None if self._outlasts_host(context, result) else result

    def select_hedge(self, context, connection_attempts, *, required_version=None):
        """Return an endpoint for an attempt beside those under way, if there is one.

        Parameters
        ----------
        context : RequestContext
        connection_attempts : int
            Number of connections attempted for it so far.
        required_version : int or None, default=None
            Weights version of the stream to resume.

        Returns
        -------
        Placement or None
        """
        context.last_reason = "silent"
        if connection_attempts >= EXTRA_CONNECTION_ATTEMPTS + context.route.attempts:
            return None
        if not self._may_retry(context):
            return None
        request = self.make_placement_request(
            context, required_version=required_version, is_hedge=True
        )
        result = self._request_placement(context, request)
        if isinstance(result, Rejection):
            context.last_reason += f"; {result.reason}"
            return None
        return None if self._outlasts_host(context, result) else result

    def _outlasts_host(self, context, placement):
        """Return whether an attempt may end only after this host, which shuts down."""
        failure = self._shutdown.failure(context, placement)
        if failure is None:
            return False
        context.tried.remove(placement.endpoint_id)
        context.last_reason = f"{failure.code}: {failure.reason}"
        if not context.sent:
            context.rejection = failure
            context.retry_after = failure.retry_after
        return True

    def make_placement_request(self, context, *, required_version=None, is_hedge=False):
        """Return the request for a placement, with the remaining times as of now.

        Parameters
        ----------
        context : RequestContext
        required_version : int or None, default=None
            Weights version of the stream to resume.
        is_hedge : bool, default=False
            Whether attempts of the request are under way.
        """
        now = self._clock()
        is_resumption = required_version is not None
        return PlacementRequest(
            service=context.service,
            prompt_tokens=context.prompt_tokens,
            time_until_late=1.0 if is_resumption else context.objective_deadline - now,
            time_left=context.deadline - now,
            is_retry=is_resumption or context.is_caller_retry or context.sent > 0,
            tried=frozenset(context.tried),
            required_version=required_version,
            rank=rank_of(context.route, context.organisation),
            organisation=context.organisation.name if context.organisation else "",
            answer_tokens=context.answer_tokens,
            allowed_regions=context.allowed_regions,
            is_hedge=is_hedge,
            boottime_now=now,
        )

    def _may_retry(self, context):
        """Return whether the route and the retry budget allow a retry now."""
        if not self._may_send_again(context):
            return False
        now = self._clock()
        budget = self._budgets.for_service(context.service, now=now)
        failure = budget.denial(_retry_request(context), now=now)
        if failure is not None:
            self._record_denial(context, failure)
        return failure is None

    def _may_send_again(self, context):
        if context.rejection is not None or context.sent >= context.route.attempts:
            return False
        remaining = context.deadline - self._clock()
        if (
            not context.reply.started
            and remaining < context.deadline - context.resend_deadline
        ):
            # The caller would disconnect before the first event arrives, and the
            # endpoint would have processed the prompt in vain.
            context.last_reason = (
                f"{context.last_reason}; too little time left for a first event"
            )
            return False
        return True

    def count_request(self, context):
        """Record that a request is sent for the first time."""
        self._budgets.count_request(context.service)
        self._step_budget(context, RequestCounted())

    def charge_retry(self, context):
        """Charge the budget for a retry that is written next.

        Parameters
        ----------
        context : RequestContext

        Returns
        -------
        RetryCharge or Failure
            The budget may be spent since the endpoint was selected.
        """
        (verdict,) = self._step_budget(context, _retry_request(context))
        if isinstance(verdict, RetryDenied):
            self._record_denial(context, verdict.failure)
            return verdict.failure
        if verdict.charge.grant is None:
            self._budgets.record_charge(context.service, now=self._clock())
        self._record_retry(context, "charged")
        return verdict.charge

    def return_retry(self, context, charge):
        """Return what the budget was charged for a retry that wasn't written."""
        self._step_budget(context, RetryUnused(charge=charge))
        self._record_retry(context, "returned")

    def _step_budget(self, context, message):
        now = self._clock()
        return self._budgets.for_service(context.service, now=now).step(
            message, now=now
        )

    def _record_denial(self, context, failure):
        if failure == OUT_OF_BUDGET:
            self._budgets.record_denial(context.service, now=self._clock())
        self._record_retry(context, "denied", reason=failure.code)
        context.last_reason = f"{context.last_reason}; {failure.code}"

    def _record_retry(self, context, outcome, **fields):
        """Log and count what became of a retry."""
        self._metrics.count(f"retries_{outcome}_total", service=context.service)
        self._log.decision(
            f"retry_{outcome}",
            request=context.request_id,
            sent=context.sent,
            **self._budgets.describe(context.service, now=self._clock()),
            **fields,
        )

    def record_success(self, context):
        """Record that a request was answered successfully."""
        context.outcome = "answered"

    def _request_placement(self, context, placement_request):
        (result,) = self._fleet.step(placement_request, now=monotonic())
        self._rate_limits.send_claims()
        if isinstance(result, Rejection):
            self._log_declined(context, placement_request, result)
        else:
            self._log_placed(context, placement_request, result)
            context.tried.append(result.endpoint_id)
        return result

    def _log_placed(self, context, placement_request, placement):
        if placement.is_shifted:
            self._metrics.count("requests_shifted_total", service=context.service)
        self._log.decision(
            "placed",
            request=context.request_id,
            endpoint=placement.endpoint_id,
            started_ms=placement.incarnation.started_ms,
            load=placement.load,
            report_age=placement.report_age,
            expected=round(placement.expected, 4),
            on_time_left=round(placement_request.time_until_late, 3),
            returned=placement_request.is_retry,
            version=placement.weights_version,
            begin_left=_seconds_until(placement.start_deadline),
            rate_limit=placement.rate_limit,
            shifted=placement.is_shifted,
        )

    def _log_declined(self, context, placement_request, decline):
        self._metrics.count("placement_rejections_total", reason=decline.reason)
        regions = placement_request.allowed_regions
        self._log.change(
            "declined",
            request=context.request_id,
            service=placement_request.service,
            reason=decline.reason,
            rank=placement_request.rank,
            organisation=placement_request.organisation,
            allowed_regions=None if regions is None else sorted(regions),
            on_time_left=round(placement_request.time_until_late, 3),
            returned=placement_request.is_retry,
            retry_after=decline.retry_after,
            scarcity=_rounded(decline.scarcity),
            step=decline.step,
        )
        if decline.scarcity is not None:
            self._metrics.count(
                "admission_rejections_total",
                rank=str(placement_request.rank),
                reason=decline.reason,
            )


def _retry_request(context):
    return RetryRequest(
        repeatable=context.route.repeatable,
        was_run=context.may_have_run,
        deadline=context.deadline - RESPONSE_RETURN_TIME,
    )


def _rounded(value):
    return None if value is None else round(value, 2)


def _seconds_until(deadline):
    return None if deadline is None else round(deadline - monotonic(), 3)
