"""The agent process, which runs on the host of an engine.

It fetches declared weights in pieces, orders the engine to load them, and reports the
engine's state to entry hosts, which send requests to the engine.
"""

import asyncio
import itertools
import signal

from hawthornspoke.base import (
    StallDetector,
    Ticks,
    boottime_clock,
    is_failure,
    monotonic,
)
from hawthornspoke.catalog import UNKNOWN_START
from hawthornspoke.events import EventLog
from hawthornspoke.httpio import HttpServer, OperatorHandler
from hawthornspoke.metrics import Metrics
from hawthornspoke.peering import listen
from hawthornspoke.spread._contention import ContentionWatch
from hawthornspoke.spread._delivery import Delivery
from hawthornspoke.spread._directives import Directives
from hawthornspoke.spread._engine_state import engine_state
from hawthornspoke.spread._entry_links import EntryLinks
from hawthornspoke.spread._evidence import EvidenceLinks
from hawthornspoke.spread._rate_limits import RateLimitLinks
from hawthornspoke.spread._retries import RetryLinks
from hawthornspoke.spread._upgrade import EngineObserved

#: Ticks between two log lines with the engine's state. With every fifth of these lines,
#: all counters are logged too.
SUMMARY_TICKS = 20
SUMMARIES_PER_COUNTERS = 5

#: Maximum age in seconds of an engine state that is reported to entry hosts, counted
#: from the call that asked the engine for it. It allows for that call, of a second at
#: most, and the tick between two calls. A state is older only if this process was
#: suspended; it may be outdated then and is not reported.
STATE_TTL = 1.2

FLUSH_TIMEOUT = 0.2


class Agent:
    """Fetches declared weights and installs them on the engine of this host.

    Parameters
    ----------
    settings : SpreadSettings
    engine : object
        The engine on this host; see ``Installer``.
    origin : object
        Provides ``manifest`` and ``piece``; see ``Manifests`` and ``PieceExchange``.
    platform_reader : coroutine function
        Reads the platform once, given the last Directive or None, and returns a
        Directive (the version to load, the origin and the peers) or a Failure; used
        only while no entry host that reads the platform is connected. Its attribute
        ``peers``, a coroutine function too, reads only the list of endpoints and is
        used until the first directive is received.
    """

    __slots__ = (
        "settings",
        "engine",
        "log",
        "metrics",
        "delivery",
        "entry_links",
        "evidence_links",
        "rate_limit_links",
        "retry_links",
        "directives",
        "stall_detector",
        "contention",
        "operator",
        "_snapshot",
        "_incarnation",
        "_observations_started",
        "_latest_observation",
        "_observed_at",
        "_order_pending",
        "_stopped",
        "_engine_down",
    )

    def __init__(self, *, settings, engine, origin, platform_reader):
        self.settings = settings
        self.engine = engine
        self.log = EventLog(node=settings.node)
        self.metrics = Metrics()
        self.delivery = Delivery(
            settings=settings,
            engine=engine,
            origin=origin,
            log=self.log,
            metrics=self.metrics,
            last_observation=self._last_observation,
            observe_engine=lambda: self._observe_engine(),
            is_serving=self._is_serving,
            on_order_pending=self._on_order_pending,
        )
        self.entry_links = EntryLinks(
            failure_domain=settings.failure_domain,
            spawn=self.exchange.spawn,
            on_local_hosts=lambda addresses: self.directives.set_candidates(addresses),
            on_unusable_clock=lambda address, reason: self.log.change(
                "clock_unusable", host=address, reason=reason
            ),
        )
        self.evidence_links = EvidenceLinks()
        self.rate_limit_links = RateLimitLinks(metrics=self.metrics)
        self.retry_links = RetryLinks(entry_links=self.entry_links)
        self.stall_detector = StallDetector(
            on_resume=lambda seconds: self.log.change("stood_still", seconds=seconds)
        )
        self.contention = ContentionWatch(
            engine=engine,
            log=self.log,
            metrics=self.metrics,
            on_changed=lambda: self._report_state(),
        )
        self.directives = Directives(
            settings=settings,
            delivery=self.delivery,
            entry_links=self.entry_links,
            platform_reader=platform_reader,
            log=self.log,
            earliest_arrival=self.stall_detector.earliest_arrival,
            on_health_path=self.contention.set_path,
        )
        self.operator = HttpServer(
            host=settings.ip,
            port=settings.operator_port,
            handler=OperatorHandler(metrics=self.metrics, dump=self._dump),
            on_handler_error=lambda error, request: self.log.change(
                "failed", error=repr(error)
            ),
        )
        self._snapshot = None
        self._incarnation = UNKNOWN_START
        self._observations_started = 0
        self._latest_observation = 0
        self._observed_at = float("-inf")
        self._order_pending = False
        self._stopped = None
        self._engine_down = None

    @property
    def exchange(self):
        """The transfer of pieces from and to other hosts."""
        return self.delivery.exchange

    @property
    def installer(self):
        """The client that stages pieces at the engine and orders it to load them."""
        return self.delivery.installer

    @property
    def upgrade(self):
        """The state machine that plans which version the engine loads, and when."""
        return self.delivery.upgrade

    async def run(self):
        """Run until SIGTERM or SIGINT.

        Returns
        -------
        int
            Exit code.
        """
        loop = asyncio.get_running_loop()
        self._stopped = loop.create_future()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGHUP, lambda: self.log.change("reload"))
        loop.add_signal_handler(signal.SIGUSR1, self._log_dump)
        server = await listen(
            self.settings.ip,
            self.settings.port,
            on_frame=self._on_frame,
            on_closed=self._on_closed,
        )
        await self.operator.start()
        ticks = Ticks()
        loops = [
            self.stall_detector.run(ticks),
            self._watch_engine(ticks),
            self.contention.run(ticks),
            self._log_summaries(ticks),
            self.entry_links.probe(ticks),
            self.exchange.run(ticks),
            self.directives.poll_platform(),
        ]
        self.exchange.spawn(self.directives.bootstrap())
        tasks = [loop.create_task(item) for item in loops]
        self.log.change(
            "started",
            role="agent",
            engine=self.settings.engine_address,
            failure_domain=self.settings.failure_domain,
        )
        try:
            # One of these tasks ends by itself only on an unexpected exception. The
            # process then exits, and the platform restarts it.
            await asyncio.wait(
                [self._stopped, *tasks], return_when=asyncio.FIRST_COMPLETED
            )
            for task in tasks:
                if task.done() and not task.cancelled():
                    self.log.change("loop_ended", error=repr(task.exception()))
        finally:
            for task in tasks:
                task.cancel()
            self.delivery.close()
            server.close()
            self.exchange.close()
            self.operator.close()
            self.log.change("stopped")
            self.log.flush(monotonic() + FLUSH_TIMEOUT)
        return 0

    # Entry hosts and peers.

    def _on_frame(self, link, frame):
        self._dispatch(link, frame)
        if frame.clock is not None:
            self.entry_links.receive_clock(link, frame.clock)
            self.directives.update_dates(link)

    def _dispatch(self, link, frame):
        if frame.directive is not None:
            if self.directives.receive(link, frame.directive):
                self._report_state()
        elif frame.entry_domain is not None:
            self.entry_links.set_failure_domain(link, frame.entry_domain)
            self.rate_limit_links.add(link)
        elif frame.follows is not None or frame.request_rates is not None:
            self.entry_links.update_host(link, frame)
        elif self._share(link, frame):
            return
        elif frame.manifest_ask is not None:
            self.delivery.manifests.answer(link, frame)
        elif frame.directive_ask is not None:
            self.directives.answer(link, frame)
        else:
            self.exchange.on_frame(link, frame)

    def _share(self, link, frame):
        """Handle what entry hosts share through this agent; return whether it is."""
        if frame.evidence is not None or frame.retrial_claim is not None:
            self.evidence_links.receive(link, frame)
        elif frame.rate_limits is not None:
            self.rate_limit_links.receive(link, frame)
        elif frame.permit_claim is not None:
            self.rate_limit_links.answer(link, frame)
        elif frame.retries_used is not None:
            self.retry_links.receive(link, frame)
        else:
            return False
        return True

    def _on_closed(self, link):
        self.entry_links.drop(link)
        self.evidence_links.drop(link)
        self.rate_limit_links.drop(link)
        self.retry_links.drop(link)

    # The engine.

    async def _watch_engine(self, ticks):
        while True:
            await self._observe_engine()
            await ticks.next()

    async def _log_summaries(self, ticks):
        for number in itertools.count(1):
            await ticks.next(SUMMARY_TICKS)
            if number % SUMMARIES_PER_COUNTERS == 0:
                self.log.decision("counters", **self.metrics.dump())
            observed = self._snapshot
            self.log.decision(
                "engine",
                engine=self.settings.engine_address,
                version=observed and observed.version,
                layers=observed and observed.layers,
                loading=observed is not None and (observed.busy or self._order_pending),
                running=observed and observed.running,
                waiting=observed and observed.waiting,
                origin_bytes=self.metrics.counter_value(
                    "piece_bytes_total", source="origin"
                ),
            )

    async def _observe_engine(self):
        self._observations_started += 1
        number = self._observations_started
        requested_at = boottime_clock()
        observed = await self.engine.snapshot()
        if number < self._latest_observation:
            # Responses on two connections can arrive out of order. A late one may
            # describe the previous incarnation and would look like another restart.
            return
        self._latest_observation = number
        self._observed_at = requested_at
        down = is_failure(observed)
        if down != self._engine_down:
            self._engine_down = down
            self.log.change("engine_lost" if down else "engine_found")
        self._snapshot = None if down else observed
        if not down:
            self._update_incarnation(observed.incarnation)
        self.delivery.step(self._last_observation())
        self._report_state()

    def _update_incarnation(self, incarnation):
        """Reset the delivery if the engine has restarted.

        Any difference between two incarnations that the engine itself reports means a
        restart, also if the later one has the earlier start time.
        """
        if incarnation.differs_from(self._incarnation):
            self.log.change(
                "engine_restarted",
                started_ms=incarnation.started_ms,
                before=self._incarnation.started_ms,
            )
            self.delivery.reset_engine()
            self.contention.reset_engine()
        if incarnation.is_known:
            self._incarnation = incarnation

    def _last_observation(self):
        observed = self._snapshot
        if observed is None:
            return EngineObserved(version=None, is_complete=False, busy=True)
        is_complete = observed.layers is not None and observed.layers[0] == 0
        return EngineObserved(
            version=observed.version,
            is_complete=is_complete,
            busy=observed.busy,
        )

    def _is_serving(self):
        return self._snapshot is not None and self._snapshot.running > 0

    def _report_state(self):
        if boottime_clock() >= self._observed_at + STATE_TTL:
            # After a suspension of this process, a frame from an entry host can lead
            # here before the engine is observed again. Entry hosts would take the
            # outdated load and weights for current ones; the next observation reports
            # the actual state.
            return
        self.entry_links.report(self._state(), monotonic())

    def _state(self):
        now = boottime_clock()
        return engine_state(
            observed=self._snapshot,
            address=self.settings.engine_address,
            model=self.delivery.model,
            upgrade=self.upgrade,
            boottime_now=now,
            order_pending=self._order_pending,
            links=self.entry_links,
            ages=self.directives.declared_ages(now),
            slowdown=self.contention.slowdown(),
        )

    def _on_order_pending(self, order_pending):
        self._order_pending = order_pending
        self._report_state()

    # Operators.

    def _stop(self):
        self.log.change("stopping")
        if not self._stopped.done():
            self._stopped.set_result(None)

    def _dump(self):
        now = monotonic()
        return {
            "node": self.settings.node,
            "engine": str(self._snapshot),
            "entry_hosts": len(self.entry_links),
            "upgrade": self.upgrade.dump(now=boottime_clock()),
            "link": self.entry_links.link.dump(now=now),
            "swarm": self.exchange.swarm.dump(now=now),
            "permits": self.rate_limit_links.allocator.dump(now=now),
            "retries": self.retry_links.ledger.dump(now=boottime_clock()),
            "evidence": self.evidence_links.exchange.dump(now=now),
            "metrics": self.metrics.dump(),
        }

    def _log_dump(self):
        self.log.change("dump", state=self._dump())
