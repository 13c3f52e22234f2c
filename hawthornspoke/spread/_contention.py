"""Asks the engine how much other work on its host slows it down at the moment.

An engine says so in its responses to requests and to health checks, but not in the
state that an agent reads otherwise. Entry hosts see few responses of each engine, and
contention lasts less than a second, so agents of such engines ask for it. Entry hosts
name the path to ask at once responses of the service have shown that its engines report
contention; agents of other services don't ask.
"""

from hawthornspoke.base import boottime_clock, is_failure
from hawthornspoke.spread._client_types import ENGINE_UNREACHABLE

#: Ticks between two health checks: several within the time that contention lasts.
CHECK_TICKS = 2

#: Seconds after which an observation is not reported any more.
OBSERVATION_TTL = 0.5

#: Responses without a slowdown, one after the other, after which no checks are made
#: until the engine restarts or an entry host names the path again. An engine that isn't
#: reached, or is not ready, is checked on.
MAX_MISSES = 20


class ContentionWatch:
    """Keeps the slowdown that the engine has reported last.

    Parameters
    ----------
    engine : object
        Its coroutine ``slowdown`` returns the slowdown reported at a path, None if the
        response has none, or a Failure.
    log : EventLog
    metrics : Metrics
    on_changed : callable
        Called when the slowdown has changed.

    Attributes
    ----------
    path : str or None
        Path of health checks; None if none are made.
    """

    __slots__ = (
        "path",
        "_engine",
        "_log",
        "_metrics",
        "_on_changed",
        "_named_path",
        "_has_failed",
        "_slowdown",
        "_expires_at",
        "_misses",
    )

    def __init__(self, *, engine, log, metrics, on_changed):
        self.path = None
        self._engine = engine
        self._log = log
        self._metrics = metrics
        self._named_path = None
        self._has_failed = False
        self._on_changed = on_changed
        self._slowdown = None
        self._expires_at = float("-inf")
        self._misses = 0

    def set_path(self, path):
        """Start health checks at a path, unless it is None.

        Entry hosts that haven't seen a response yet name none; checks go on then.
        """
        if path is not None and path != self.path:
            self.path = self._named_path = path
            self._misses = 0
            self._log.change("contention_checks_started", path=path)

    def reset_engine(self):
        """Forget what the previous run of the engine has reported."""
        self.path = self._named_path
        self._slowdown = None
        self._expires_at = float("-inf")
        self._misses = 0

    def slowdown(self):
        """Return the present slowdown, None if it isn't known."""
        return self._slowdown if boottime_clock() < self._expires_at else None

    async def run(self, ticks):
        """Make health checks until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            await ticks.next(CHECK_TICKS)
            if self.path is not None:
                await self._check()

    async def _check(self):
        requested_at = boottime_clock()
        observed = await self._engine.slowdown(self.path)
        if is_failure(observed):
            self._record_failure(observed)
            return
        if observed is None:
            self._count("no_slowdown")
            self._record_miss("no slowdown in the response")
            return
        self._count("observed")
        self._misses = 0
        self._has_failed = False
        before, self._slowdown = self.slowdown(), observed
        self._expires_at = requested_at + OBSERVATION_TTL
        if observed != before:
            self._metrics.count("contention_changes_total")
            self._on_changed()

    def _record_failure(self, failure):
        self._count("failed")
        if not self._has_failed:
            self._has_failed = True
            self._log.change("contention_check_failed", reason=failure.reason)
        if failure != ENGINE_UNREACHABLE:
            self._record_miss(str(failure))

    def _record_miss(self, reason):
        self._misses += 1
        if self._misses >= MAX_MISSES:
            self.path = None
            self._log.change("contention_checks_ended", reason=reason)

    def _count(self, outcome):
        self._metrics.count("contention_checks_total", outcome=outcome)
