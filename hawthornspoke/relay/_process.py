"""The process of an entry host: servers, signals and background tasks."""

import asyncio
import random
import signal

from hawthornspoke.base import StallDetector, Ticks, boottime_clock, monotonic
from hawthornspoke.catalog import declaration_date_logger
from hawthornspoke.events import EventLog
from hawthornspoke.httpio import ConnectionPool, HttpServer, OperatorHandler
from hawthornspoke.memory_budget import (
    MemoryBudget,
    MemoryGuard,
    buffer_limit,
    limit_kept_memory,
    resident_bytes,
)
from hawthornspoke.metrics import Metrics
from hawthornspoke.mirror import Neighbours
from hawthornspoke.placing import EntryHostsUpdated, Fleet
from hawthornspoke.relay._admission import Admission
from hawthornspoke.relay._budgets import RetryBudgets
from hawthornspoke.relay._cold_monitor import ColdEndpointMonitor
from hawthornspoke.relay._contact import PlatformContact
from hawthornspoke.relay._dialect import HeaderNames
from hawthornspoke.relay._entry_hosts import EntryHostCount
from hawthornspoke.relay._forward import Forwarder
from hawthornspoke.relay._handler import Handler
from hawthornspoke.relay._rate_limits import EndpointRateLimits
from hawthornspoke.relay._retry_records import RetryRecords
from hawthornspoke.relay._seeding import Seeding
from hawthornspoke.relay._shutdown import Shutdown
from hawthornspoke.relay._signals import SignalReader
from hawthornspoke.relay._sink import Sink
from hawthornspoke.relay._suspects import PoisonRequestTracker
from hawthornspoke.relay._timers import Timers
from hawthornspoke.relay._unattended import UnattendedEngines

#: Seconds after SIGTERM during which new requests are still served: the load balancer
#: probes once a second and needs two failures, and callers follow a little later.
SHUTDOWN_SERVE_TIME = 2.6

#: Seconds within which connections in the accept queue are accepted and read. After a
#: stall of this process their requests are older than the end of the serve time.
ACCEPT_TIME = 0.05

#: Seconds before SIGKILL at which running requests end with a status, and seconds for
#: its way to their callers, after which connections are closed.
ABORT_BEFORE_KILL = 0.45
LAST_ANSWER_TIME = 0.1

#: Seconds between two runs of the housekeeping task.
HOUSEKEEPING_INTERVAL = 0.5

#: Seconds between two log entries with the counters.
COUNTERS_INTERVAL = 10.0

#: Minimum and maximum seconds before a background task that ended is restarted. The
#: cause may persist, and may have ended the task on all hosts at once.
RESTART_PAUSE = (0.3, 0.9)

#: Seconds for the handlers of requests that are cut at exit.
CUT_TIMEOUT = 0.1

#: Seconds for flushing the log at exit.
FLUSH_TIMEOUT = 0.2


class Relay:
    """Serves callers' requests by forwarding them directly to endpoints.

    Parameters
    ----------
    settings : RelaySettings
    source : object
        Platform reader: ``await source.run(sink, neighbours)`` updates a ``Sink``.
    header_names : HeaderNames or None, default=None
    reload_settings : callable or None, default=None
        Returns new RelaySettings on SIGHUP; anything else is logged as the error.
    origin : object or None, default=None
        Provides pieces of weights; see ``Seeder``. None if this host is not to seed.
    engine_for : callable or None, default=None
        Returns a client of the engine at an address; see ``UnattendedEngines``. None if
        this host is not to retire engines.
    """

    __slots__ = (
        "settings",
        "source",
        "header_names",
        "reload_settings",
        "log",
        "metrics",
        "fleet",
        "contact",
        "stopping",
        "memory",
        "pool",
        "entry_hosts",
        "retry_records",
        "budgets",
        "timers",
        "suspects",
        "rate_limits",
        "cold_monitor",
        "shutdown",
        "handler",
        "stall_detector",
        "neighbours",
        "seeding",
        "front",
        "sink",
        "unattended",
        "ready",
        "operator",
        "_stopped",
    )

    def __init__(
        self,
        *,
        settings,
        source,
        header_names=None,
        reload_settings=None,
        origin=None,
        engine_for=None,
    ):
        self.settings = settings
        self.source = source
        self.header_names = header_names or HeaderNames()
        self.reload_settings = reload_settings
        self.log = EventLog(node=settings.node)
        self.metrics = Metrics()
        self.fleet = Fleet(
            failure_domain=settings.failure_domain,
            version_bound=settings.version_bound,
            region_by_failure_domain=settings.region_by_failure_domain,
            cold_overage=settings.cold_overage,
            cold_allowance=settings.cold_allowance,
            seed=hash(settings.node) & 0xFFFF,
        )
        self.contact = PlatformContact(
            keys_valid_for=settings.keys_valid_for,
            changes_bind_after=settings.changes_bind_after,
        )
        self.stopping = False
        self.memory = self._make_memory_guard()
        self.pool = ConnectionPool(
            id_header=self.header_names.request_id,
            receive_buffer=None if self.memory is None else MemoryGuard.receive_buffer,
            max_unread_bytes=settings.max_answer_bytes,
        )
        self.pool.metrics = self.metrics
        self.entry_hosts = EntryHostCount(reported=lambda: self.agents.entry_hosts())
        self.retry_records = RetryRecords(host=settings.node)
        self.budgets = RetryBudgets(
            settings=settings,
            entry_hosts=self.entry_hosts,
            log=self.log,
            started_at=boottime_clock(),
            records=self.retry_records,
        )
        self.timers = Timers(clock=boottime_clock)
        self.suspects = PoisonRequestTracker(
            fleet=self.fleet,
            log=self.log,
            metrics=self.metrics,
            entry_hosts=self.entry_hosts.current,
        )
        self.rate_limits = EndpointRateLimits(
            fleet=self.fleet,
            entry_hosts=lambda: self.entry_hosts.largest(boottime_clock()),
            log=self.log,
            metrics=self.metrics,
        )
        self.cold_monitor = ColdEndpointMonitor(
            fleet=self.fleet, log=self.log, metrics=self.metrics
        )
        self._stopped = None
        self.shutdown = Shutdown(fleet=self.fleet, clock=boottime_clock)
        admission = Admission(
            header_names=self.header_names,
            fleet=self.fleet,
            contact=self.contact,
            suspects=self.suspects,
            shutdown=self.shutdown,
            clock=boottime_clock,
        )
        self.handler = Handler(
            forwarder=Forwarder(
                admission=admission,
                timers=self.timers,
                fleet=self.fleet,
                pool=self.pool,
                header_names=self.header_names,
                budgets=self.budgets,
                suspects=self.suspects,
                shutdown=self.shutdown,
                rate_limits=self.rate_limits,
                signals=SignalReader(
                    fleet=self.fleet,
                    header_names=self.header_names,
                    on_changed=self.rate_limits.share,
                    log=self.log,
                    metrics=self.metrics,
                ),
                log=self.log,
                metrics=self.metrics,
            ),
            admission=admission,
            timers=self.timers,
            suspects=self.suspects,
            shutdown=self.shutdown,
            header_names=self.header_names,
            log=self.log,
            metrics=self.metrics,
        )
        self.stall_detector = StallDetector(
            on_resume=lambda seconds: self.log.change("stood_still", seconds=seconds)
        )
        self.pool.earliest_arrival = self.stall_detector.earliest_arrival
        self.front = self._server(
            settings.front, self.handler, memory=self.memory, metrics=self.metrics
        )
        self.ready = self._server(settings.ready, self._handle_ready)
        ip = settings.front.rpartition(":")[0]
        self.fleet.declared.on_dated = declaration_date_logger(self.log)
        self.neighbours = Neighbours(address=ip, port=settings.agent_port, log=self.log)
        self.seeding = Seeding(
            settings=settings,
            origin=origin,
            neighbours=self.neighbours,
            fleet=self.fleet,
            log=self.log,
            metrics=self.metrics,
        )
        self.sink = Sink(
            settings=settings,
            fleet=self.fleet,
            contact=self.contact,
            pool=self.pool,
            handler=self.handler,
            front=self.front,
            neighbours=self.neighbours,
            suspects=self.suspects,
            rate_limits=self.rate_limits,
            retry_records=self.retry_records,
            retry_budgets=self.budgets,
            log=self.log,
            metrics=self.metrics,
            earliest_arrival=self.stall_detector.earliest_arrival,
            seeding=self.seeding,
        )
        self.unattended = UnattendedEngines(
            fleet=self.fleet,
            engine_for=engine_for,
            has_agent=lambda address: self.agents.is_connected(address),
            log=self.log,
        )
        self.operator = self._server(
            f"{ip}:{settings.operator_port}",
            OperatorHandler(metrics=self.metrics, dump=self._dump),
        )

    @property
    def agents(self):
        """Connections to agents."""
        return self.sink.agents

    async def run(self):
        """Serve until SIGTERM and the end of running requests.

        Returns
        -------
        int
            Exit code.
        """
        loop = asyncio.get_running_loop()
        self._stopped = loop.create_future()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGINT, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGUSR1, self._log_dump)
        for server in (self.ready, self.front, self.operator):
            await server.start()
        ticks = Ticks()
        tasks = [
            loop.create_task(self._supervise("platform", self._read_platform)),
            loop.create_task(self._supervise("housekeeping", self._housekeeping)),
            loop.create_task(self._supervise("summaries", self._log_counters)),
            loop.create_task(
                self._supervise("standstill", lambda: self.stall_detector.run(ticks))
            ),
            loop.create_task(self._supervise("timers", lambda: self.timers.run(ticks))),
            loop.create_task(
                self._supervise("seeding", lambda: self.seeding.run(ticks))
            ),
        ]
        if self.unattended.is_enabled:
            tasks.append(
                loop.create_task(
                    self._supervise("retirement", lambda: self.unattended.run(ticks))
                )
            )
        if self.memory is not None:
            tasks.append(loop.create_task(self._supervise("memory", self.memory.run)))
        self.log.change(
            "started",
            role="entry",
            failure_domain=self._failure_domain,
            version_bound=self.settings.version_bound,
            memory_limit=None if self.memory is None else self.memory.budget.limit,
        )
        try:
            await self._stopped
        finally:
            for task in tasks:
                task.cancel()
            self.suspects.close()
            self.rate_limits.close()
            self.agents.close()
            self.neighbours.close()
            self.seeding.close()
            self.unattended.close()
            self.pool.close()
            cut = self.front.unfinished_count()
            await self.front.cut_requests(timeout=CUT_TIMEOUT)
            for server in (self.ready, self.operator):
                server.close()
            self.log.change("stopped", cut=cut)
            self.log.flush(monotonic() + FLUSH_TIMEOUT)
        return 0

    @property
    def _failure_domain(self):
        return self.settings.failure_domain

    def _make_memory_guard(self):
        limit = buffer_limit(self.settings.memory_bytes, process_bytes=resident_bytes())
        if limit is None:
            return None
        limit_kept_memory()
        return MemoryGuard(
            budget=MemoryBudget(limit=limit), log=self.log, metrics=self.metrics
        )

    def _server(self, address, handler, *, memory=None, metrics=None):
        host, _, port = address.rpartition(":")
        return HttpServer(
            host=host,
            port=int(port),
            handler=handler,
            on_handler_error=self._on_handler_error,
            memory=memory,
            metrics=metrics,
        )

    def _on_handler_error(self, error, request):
        self.log.change(
            "handler_failed",
            request=request.get(self.header_names.request_id),
            target=request.target,
            error=repr(error),
        )
        self.metrics.count("handler_failures_total")

    async def _handle_ready(self, request, reply):
        is_ready = not self.stopping and self.handler.catalog is not None
        is_ready = is_ready and self.suspects.is_informed
        # A host that is cut off from the platform must soon refuse all keys. It reports
        # itself not ready before that, so that the load balancer uses other hosts, if
        # there are any.
        is_ready = is_ready and self.contact.is_stable(now=boottime_clock())
        reply.send(200 if is_ready else 503)

    def _dump(self):
        now = monotonic()
        state = {
            "node": self.settings.node,
            "stopping": self.stopping,
            "running": self.front.running_count(),
            "revision": getattr(self.handler.catalog, "revision", None),
            "contact": self.contact.dump(now=boottime_clock()),
            "readers": self.neighbours.readers.dump(now=now),
            "store": self.neighbours.dump_store(),
            "fleet": self.fleet.dump(now=now),
            "caller_retries": self.handler.dump_caller_retries(),
            "shutdown": self.shutdown.gate.dump(now=boottime_clock()),
            "budgets": self.budgets.dump(now=boottime_clock()),
            "rate_limits": self.rate_limits.dump(now=now),
            "seeding": self.seeding.dump(),
            "quarantine": self.suspects.quarantine.dump(now=now),
            "memory": None if self.memory is None else self.memory.dump(),
            "metrics": self.metrics.dump(),
        }
        return state

    def _log_dump(self):
        self.log.change("dump", state=self._dump())

    def _reload(self):
        if self.reload_settings is None:
            self.log.change("reload", result="no settings to reload")
            return
        new_settings = self.reload_settings()
        if not isinstance(new_settings, type(self.settings)):
            # An incomplete or invalid file must not stop a running host.
            self.log.change("reload", result="kept", reason=str(new_settings))
            return
        self.settings = self.sink.settings = self.budgets.settings = new_settings
        self.fleet.version_bound = new_settings.version_bound
        self.fleet.cold_overage = new_settings.cold_overage
        self.fleet.cold_allowance = new_settings.cold_allowance
        self.fleet.set_regions(new_settings.region_by_failure_domain)
        self.contact.keys_valid_for = new_settings.keys_valid_for
        self.contact.changes_bind_after = new_settings.changes_bind_after
        self.log.change("reload", result="taken")

    def _begin_stop(self):
        if self.stopping:
            return
        self.stopping = True
        seconds_left = self.settings.grace - ABORT_BEFORE_KILL
        self.handler.begin_shutdown(boottime_clock() + seconds_left)
        self.log.change(
            "stopping",
            running=self.front.running_count(),
            seconds_left=round(seconds_left, 3),
        )
        asyncio.get_running_loop().create_task(self._stop())

    async def _stop(self):
        # Callers still connect until the load balancer reacts. They are served, and
        # their connections are closed after the response.
        self.front.draining = True
        seconds_left = self.shutdown.deadline - boottime_clock()
        await asyncio.sleep(min(SHUTDOWN_SERVE_TIME, seconds_left))
        await asyncio.sleep(ACCEPT_TIME)
        # Not earlier: refused callers would connect again just before the close.
        self.handler.refusing = True
        self.front.stop_listening()
        await asyncio.sleep(ACCEPT_TIME)
        self.front.close_idle()
        close_at = self.shutdown.deadline + LAST_ANSWER_TIME
        while self.front.unfinished_count() and boottime_clock() < close_at:
            await asyncio.sleep(0.05)
        if not self._stopped.done():
            self._stopped.set_result(None)

    async def _supervise(self, name, run_task):
        """Run a task that should never end, and restart it if it does.

        If a task ended unnoticed, the host would keep serving from stale state. Ending
        the process instead would interrupt all streams, and the next process would
        read the same data and could fail in the same way. While the task that reads the
        platform is down, the last confirmation ages, so that the host stops trusting
        keys and reports itself not ready, as when the platform is unreachable.
        """
        while True:
            try:
                await run_task()
                error = "the task returned"
            except Exception as raised:
                error = repr(raised)
            self.metrics.count("tasks_ended_total", task=name)
            self.log.change("task_ended", task=name, error=error)
            await asyncio.sleep(random.uniform(*RESTART_PAUSE))

    async def _read_platform(self):
        await self.source.run(self.sink, self.neighbours)

    async def _housekeeping(self):
        reader = self.neighbours.reader()
        contended = self.fleet.contended_services()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)
            self.pool.sweep()
            before, reader = reader, self.neighbours.reader()
            if reader != before:
                self.log.change("reader", peer=reader, before=before)
                # ``reader`` is the host through which this one reads the platform, None
                # if it reads directly; only then do its directives list the endpoints.
                self.agents.send_directives()
            before, contended = contended, self.fleet.contended_services()
            if contended != before:
                self.log.change("contended_services", services=sorted(contended))
                # Directives name the path of health checks for these services.
                self.agents.send_directives()
            is_view_whole = self.sink.sees_all_failure_domains()
            self.entry_hosts.update(is_view_whole=is_view_whole, now=boottime_clock())
            if is_view_whole:
                self.budgets.adopt_history(now=boottime_clock())
            update = EntryHostsUpdated(
                near=self.neighbours.readers.host_count(),
                all=self.entry_hosts.current(),
                position=self.neighbours.readers.position(),
                near_is_reported=self.neighbours.readers.has_neighbour_list(),
                all_is_reported=self.agents.entry_hosts() is not None,
                is_view_whole=is_view_whole,
            )
            self.fleet.step(update, now=monotonic())
            self.cold_monitor.update(now=monotonic())
            self.sink.update_seeding()
            self.agents.set_followed(self.fleet.followed_addresses())
            self.agents.send_request_rates(
                self.fleet.request_rates_by_service(now=monotonic())
            )
            self.budgets.update_shares(now=boottime_clock())
            self.suspects.sharing.rebalance()
            is_stable = self.contact.is_stable(now=boottime_clock())
            self.front.draining = self.stopping or not is_stable

    async def _log_counters(self):
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL)
            self.log.decision("counters", **self.metrics.dump())
