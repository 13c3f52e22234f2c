"""Sends requests to endpoints, after a last check right before the write."""

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.catalog import STREAM
from hawthornspoke.httpio import HEAD_METHOD
from hawthornspoke.placing import EndpointReadmitted
from hawthornspoke.relay._end_verification import EndVerifier
from hawthornspoke.relay._signals import log_readmission
from hawthornspoke.relay._try import Attempt

#: Seconds before an end without framing from which other lost connections are logged
#: with it.
LOSS_LOG_TIME = 0.1


class Sender:
    """Connects to endpoints and sends requests to them.

    Parameters
    ----------
    admission : Admission
    timers : Timers
    planner : AttemptPlanner
    encoder : Encoder
    fleet : Fleet
    pool : ConnectionPool
    header_names : HeaderNames
    suspects : PoisonRequestTracker
    shutdown : Shutdown
    signals : SignalReader
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "_admission",
        "_timers",
        "_planner",
        "_encoder",
        "_fleet",
        "_pool",
        "_header_names",
        "_end_verifier",
        "_suspects",
        "_shutdown",
        "_signals",
        "_log",
        "_metrics",
    )

    def __init__(
        self,
        *,
        admission,
        timers,
        planner,
        encoder,
        fleet,
        pool,
        header_names,
        suspects,
        shutdown,
        signals,
        log,
        metrics,
    ):
        self._admission = admission
        self._timers = timers
        self._planner = planner
        self._encoder = encoder
        self._fleet = fleet
        self._pool = pool
        self._header_names = header_names
        self._end_verifier = EndVerifier(
            pool=pool, fleet=fleet, header_names=header_names, metrics=metrics
        )
        self._suspects = suspects
        self._shutdown = shutdown
        self._signals = signals
        self._log = log
        self._metrics = metrics

    def create_attempt(self, context, placement, *, is_hedge=False):
        """Return a new Attempt of a request at the selected endpoint.

        Parameters
        ----------
        context : RequestContext
        placement : Placement
        is_hedge : bool, default=False
            Whether other attempts of the request are under way.

        Returns
        -------
        Attempt
        """
        account = context.reply.account
        if is_hedge and account is not None:
            account = account.open_secondary()
        return Attempt(
            placement=placement,
            pool=self._pool,
            fleet=self._fleet,
            header_names=self._header_names,
            timers=self._timers,
            on_head=lambda attempt: self._on_head(context, attempt),
            on_broken=lambda attempt: self._on_connection_broken(context, attempt),
            on_ended=self._on_ended,
            on_trust_changed=self._record_trust,
            verify_end=lambda attempt: self._verify_end(context, attempt),
            account=account,
        )

    async def send(self, context, attempt, *, last_event=None, version=None):
        """Send a request: its first attempt, a retry, or the resumption of a stream.

        Parameters
        ----------
        context : RequestContext
        attempt : Attempt
        last_event, version : int or None, default=None
            Id of the last event received and weights version of a stream to resume.

        Returns
        -------
        None or Failure
            A failure if nothing was sent.
        """
        # On a connection that carried another request, an answer without an id may
        # be a late one.
        failure = await attempt.connect(fresh=not context.request_id)
        if failure is not None:
            return failure
        # There is no await from here to the write, so the recheck still holds when the
        # bytes are written. Encoding takes time and doesn't depend on the recheck, so
        # it comes first.
        data = self._encoder.encode(
            context, attempt.placement, last_event=last_event, version=version
        )
        placement_request = self._planner.make_placement_request(
            context, required_version=version
        )
        decision = self._admission.recheck(
            context, placement_request=placement_request, placement=attempt.placement
        )
        if isinstance(decision, Failure):
            self._log_not_sent(context, attempt, decision)
            return decision
        charge = self._planner.charge_retry(context) if context.sent else None
        if isinstance(charge, Failure):
            self._log_not_sent(context, attempt, charge)
            return charge
        attempt.placement = decision
        attempt.expected_seconds = self._shutdown.expected_seconds(context, decision)
        # From here on the endpoint may run the request, even if an error is raised or
        # no response arrives before the deadline; only an explicit refusal by it clears
        # the flag.
        may_have_run_before, context.may_have_run = context.may_have_run, True
        failure = attempt.send(
            data,
            expected_id=context.request_id,
            prompt_tokens=context.prompt_tokens,
            answer_tokens=context.answer_tokens,
            is_bodiless=context.request.method == HEAD_METHOD,
        )
        if failure is not None:
            context.may_have_run = may_have_run_before
            if charge is not None:
                self._planner.return_retry(context, charge)
            self._log_not_sent(context, attempt, failure)
            return failure
        if charge is None:
            self._planner.count_request(context)
        self._suspects.add_attempt(
            context.features, attempt, request_id=context.request_id
        )
        context.sent += 1
        return None

    async def wait_for_probes(self, context):
        """Wait for probes that show whether a failed request crashed endpoints."""
        await self._suspects.wait_for_probes(context.features)

    async def _verify_end(self, context, attempt):
        placement, exchange = attempt.placement, attempt.exchange
        began_at = monotonic()
        is_whole, reason = await self._end_verifier.verify(
            placement,
            service=context.service,
            sent_at=attempt.sent_at,
            ended_at=exchange.ended_at,
            ended_after=exchange.ended_after,
        )
        lost_by_address = self._pool.losses.count_by_address(
            since=exchange.ended_after - LOSS_LOG_TIME
        )
        lost_here = lost_by_address.pop(placement.address, 0)
        self._metrics.count("unframed_ends_total", reason=reason)
        self._log.change(
            "unframed_end",
            request=context.request_id,
            endpoint=placement.endpoint_id,
            started_ms=placement.incarnation.started_ms,
            is_whole=is_whole,
            reason=reason,
            seconds=round(monotonic() - began_at, 3),
            since_sent=round(exchange.ended_at - attempt.sent_at, 3),
            received=exchange.received_bytes,
            lost_here=lost_here,
            peers_lost=len(lost_by_address),
        )
        return is_whole

    def record_event(self, attempt):
        """Record that a stream goes on."""
        self._suspects.record_event(attempt)

    def _on_head(self, context, attempt):
        self._signals.observe(attempt)
        exchange = attempt.exchange
        if not exchange.is_framed and not exchange.has_ended:
            attempt.probe_lease = self._end_verifier.prepare(
                attempt.placement, service=context.service
            )

    def _on_ended(self, attempt):
        self._suspects.remove_attempt(attempt)
        if attempt.probe_lease is not None:
            attempt.probe_lease.release()

    def _on_connection_broken(self, context, attempt):
        self._suspects.record_disconnect(
            context.features,
            attempt,
            service=context.service,
            is_stream=context.route.kind == STREAM,
        )
        self._log.change(
            "broken_off",
            request=context.request_id,
            fingerprint=context.fingerprint,
            service=context.service,
            endpoint=attempt.placement.endpoint_id,
            started_ms=attempt.placement.incarnation.started_ms,
            began=attempt.head is not None,
            since_head=_seconds_since_head(attempt),
            events_received=attempt.has_events,
            events_passed_on=context.reply.started,
            shared=list(context.features[1:]),
        )

    def log_incomplete(self, context, attempt, *, reason):
        """Log a stream that ended inside an event, or before the first one."""
        self._log.change(
            "answer_incomplete",
            request=context.request_id,
            fingerprint=context.fingerprint,
            service=context.service,
            endpoint=attempt.placement.endpoint_id,
            since_head=_seconds_since_head(attempt),
            events_received=attempt.has_events,
            reason=reason,
            shared=list(context.features[1:]),
        )

    def _record_trust(self, change):
        if isinstance(change, EndpointReadmitted):
            log_readmission(self._log, change, source="response")
        else:
            self._record_ejection(change)

    def _record_ejection(self, ejected):
        self._metrics.count("endpoint_ejections_total", reason=ejected.reason)
        self._log.change(
            "endpoint_ejected",
            endpoint=ejected.endpoint_id,
            reason=ejected.reason,
            seconds=ejected.seconds,
            load=ejected.load,
        )

    def _log_not_sent(self, context, attempt, failure):
        self._log.change(
            "not_sent",
            request=context.request_id,
            endpoint=attempt.placement.endpoint_id,
            reason=f"{failure.code}: {failure.reason}",
            time_left=round(context.deadline - self._admission.clock(), 3),
            contact_age=self._admission.contact_age(),
        )


def _seconds_since_head(attempt):
    return None if attempt.head_at is None else round(monotonic() - attempt.head_at, 3)
