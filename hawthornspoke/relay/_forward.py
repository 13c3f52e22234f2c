"""Forwards requests: selects an endpoint, and retries at others where allowed."""

from hawthornspoke.relay._choosing import AttemptPlanner
from hawthornspoke.relay._encoding import Encoder
from hawthornspoke.relay._run import RequestRun
from hawthornspoke.relay._sending import Sender


class Forwarder:
    """Sends requests to endpoints until one responds.

    Parameters
    ----------
    admission : Admission
    timers : Timers
    fleet : Fleet
    pool : ConnectionPool
    header_names : HeaderNames
    budgets : RetryBudgets
    suspects : PoisonRequestTracker
    shutdown : Shutdown
    rate_limits : EndpointRateLimits
    signals : SignalReader
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "_admission",
        "_header_names",
        "_log",
        "_encoder",
        "_planner",
        "_sender",
        "_shutdown",
        "_metrics",
    )

    def __init__(
        self,
        *,
        admission,
        timers,
        fleet,
        pool,
        header_names,
        budgets,
        suspects,
        shutdown,
        rate_limits,
        signals,
        log,
        metrics,
    ):
        self._admission = admission
        self._header_names = header_names
        self._log = log
        self._metrics = metrics
        self._shutdown = shutdown
        self._encoder = Encoder(header_names=header_names, clock=admission.clock)
        self._planner = AttemptPlanner(
            clock=admission.clock,
            fleet=fleet,
            budgets=budgets,
            rate_limits=rate_limits,
            shutdown=shutdown,
            log=log,
            metrics=metrics,
        )
        self._sender = Sender(
            admission=admission,
            timers=timers,
            planner=self._planner,
            encoder=self._encoder,
            fleet=fleet,
            pool=pool,
            header_names=header_names,
            suspects=suspects,
            shutdown=shutdown,
            signals=signals,
            log=log,
            metrics=metrics,
        )

    async def run(self, context):
        """Run attempts until the request is answered or no attempt is allowed.

        Parameters
        ----------
        context : RequestContext
            Updated with the outcome. A response that is not a stream is stored in
            ``last_response``; a stream has been forwarded already.
        """
        await RequestRun(
            context=context,
            planner=self._planner,
            sender=self._sender,
            encoder=self._encoder,
            header_names=self._header_names,
            shutdown=self._shutdown,
            clock=self._admission.clock,
            log=self._log,
            metrics=self._metrics,
        ).execute()

    def response_headers(self, response):
        """Return the header fields of an endpoint's response that callers receive."""
        return self._encoder.response_headers(response)
