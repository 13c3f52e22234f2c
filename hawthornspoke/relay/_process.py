"""The entry host's process on one event loop: sockets, signals, what is believed."""

import asyncio
import random
import signal

from hawthornspoke.base import Standstill, Ticks, contact_clock, monotonic
from hawthornspoke.events import EventLog
from hawthornspoke.httpio import ConnectionPool, HttpServer, OperatorPort
from hawthornspoke.metrics import Metrics
from hawthornspoke.mirror import Neighbours
from hawthornspoke.placing import EntryHostsSeen, Fleet
from hawthornspoke.relay._admission import Admission
from hawthornspoke.relay._budgets import RetryBudgets
from hawthornspoke.relay._contact import Contact
from hawthornspoke.relay._dialect import Dialect
from hawthornspoke.relay._forward import Forwarder
from hawthornspoke.relay._handler import Handler
from hawthornspoke.relay._sink import Sink
from hawthornspoke.relay._suspects import Suspects
from hawthornspoke.relay._timers import Timers

#: Seconds after SIGTERM during which new requests are still served: the balancer
#: asks once a second and needs two refusals, and callers come a little later.
SHUTDOWN_SERVE_TIME = 2.6

#: Seconds before the kill at which requests that still run are cut, so that their
#: callers see a closed connection and not a host that vanished.
ABORT_BEFORE_KILL = 0.4

#: Seconds between two looks at idle connections and vanished endpoints.
HOUSEKEEPING_INTERVAL = 0.5

#: Seconds between two lines of counters in the log.
COUNTERS_INTERVAL = 10.0

#: Seconds, drawn at random between these, after which a task that ended is begun
#: again: what ended it may be there still, and may have ended it on all hosts.
RESTART_PAUSE = (0.3, 0.9)

#: Seconds given to the log's writer at the end.
FLUSH_TIMEOUT = 0.2


class Relay:
    """Takes callers' requests and forwards them straight to endpoints.

    Parameters
    ----------
    settings : RelaySettings
    source : object
        Reads the platform: ``await source.run(sink, neighbours)`` tells a ``Sink``.
    dialect : Dialect or None, default=None
    reload_settings : callable or None, default=None
        Returns fresh RelaySettings on SIGHUP.
    """

    __slots__ = (
        "settings",
        "source",
        "dialect",
        "reload_settings",
        "log",
        "metrics",
        "fleet",
        "contact",
        "stopping",
        "pool",
        "budgets",
        "timers",
        "suspects",
        "handler",
        "standstill",
        "neighbours",
        "front",
        "sink",
        "ready",
        "operator",
        "_stop_deadline",
        "_stopped",
    )

    def __init__(self, *, settings, source, dialect=None, reload_settings=None):
        self.settings = settings
        self.source = source
        self.dialect = dialect or Dialect()
        self.reload_settings = reload_settings
        self.log = EventLog(node=settings.node)
        self.metrics = Metrics()
        self.fleet = Fleet(
            failure_domain=settings.failure_domain,
            version_bound=settings.version_bound,
            seed=hash(settings.node) & 0xFFFF,
        )
        self.contact = Contact(
            keys_valid_for=settings.keys_valid_for,
            changes_bind_after=settings.changes_bind_after,
        )
        self.stopping = False
        self.pool = ConnectionPool(id_header=self.dialect.request_id)
        self.budgets = RetryBudgets(
            settings=settings,
            reported_entry_hosts=lambda: self.agents.entry_hosts(),
        )
        self.timers = Timers(clock=contact_clock)
        self.suspects = Suspects(fleet=self.fleet, log=self.log, metrics=self.metrics)
        self._stop_deadline = None
        self._stopped = None
        admission = Admission(
            dialect=self.dialect,
            fleet=self.fleet,
            contact=self.contact,
            suspects=self.suspects,
            clock=contact_clock,
        )
        self.handler = Handler(
            forwarder=Forwarder(
                admission=admission,
                timers=self.timers,
                fleet=self.fleet,
                pool=self.pool,
                dialect=self.dialect,
                budget_for=self.budgets.for_service,
                suspects=self.suspects,
                log=self.log,
            ),
            admission=admission,
            timers=self.timers,
            suspects=self.suspects,
            dialect=self.dialect,
            log=self.log,
            metrics=self.metrics,
        )
        self.standstill = Standstill(
            on_woke=lambda seconds: self.log.change("stood_still", seconds=seconds)
        )
        self.front = self._server(settings.front, self.handler)
        self.ready = self._server(settings.ready, self._handle_ready)
        ip = settings.front.rpartition(":")[0]
        self.neighbours = Neighbours(address=ip, port=settings.agent_port, log=self.log)
        self.sink = Sink(
            settings=settings,
            fleet=self.fleet,
            contact=self.contact,
            pool=self.pool,
            handler=self.handler,
            front=self.front,
            neighbours=self.neighbours,
            suspects=self.suspects,
            log=self.log,
            metrics=self.metrics,
            arrived_after=self.standstill.arrived_after,
        )
        self.operator = self._server(
            f"{ip}:{settings.operator_port}",
            OperatorPort(metrics=self.metrics, dump=self._dump),
        )

    @property
    def agents(self):
        """The connections to agents."""
        return self.sink.agents

    async def run(self):
        """Serve until SIGTERM and the end of what is in progress.

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
                self._supervise("standstill", lambda: self.standstill.run(ticks))
            ),
            loop.create_task(self._supervise("timers", lambda: self.timers.run(ticks))),
        ]
        self.log.change(
            "started",
            role="entry",
            failure_domain=self._failure_domain,
            version_bound=self.settings.version_bound,
        )
        try:
            await self._stopped
        finally:
            for task in tasks:
                task.cancel()
            self.suspects.close()
            self.agents.close()
            self.neighbours.close()
            self.pool.close()
            for server in (self.front, self.ready, self.operator):
                server.close()
            self.log.change("stopped", cut=self.front.running())
            self.log.flush(monotonic() + FLUSH_TIMEOUT)
        return 0

    @property
    def _failure_domain(self):
        return self.settings.failure_domain

    def _server(self, address, handler):
        host, _, port = address.rpartition(":")
        return HttpServer(
            host=host, port=int(port), handler=handler, on_broken=self._on_broken
        )

    def _on_broken(self, error):
        self.log.change("handler_failed", error=repr(error))
        self.metrics.count("handler_failures_total")

    async def _handle_ready(self, request, reply):
        is_ready = not self.stopping and self.handler.catalog is not None
        # A host that is cut off from the platform must soon refuse all keys. Its
        # callers are sent to others before that, if the balancer has others.
        is_ready = is_ready and self.contact.is_stable(now=contact_clock())
        reply.send(200 if is_ready else 503)

    def _dump(self):
        now = monotonic()
        state = {
            "node": self.settings.node,
            "stopping": self.stopping,
            "running": self.front.running(),
            "revision": getattr(self.handler.catalog, "revision", None),
            "contact": self.contact.dump(now=contact_clock()),
            "readers": self.neighbours.readers.dump(now=now),
            "fleet": self.fleet.dump(now=now),
            "budgets": self.budgets.dump(now=now),
            "quarantine": self.suspects.quarantine.dump(now=now),
            "metrics": self.metrics.dump(),
        }
        return state

    def _log_dump(self):
        self.log.change("dump", state=self._dump())

    def _reload(self):
        if self.reload_settings is None:
            self.log.change("reload", result="nothing to read again")
            return
        new_settings = self.reload_settings()
        if not isinstance(new_settings, type(self.settings)):
            # A file that is half-written or wrong must not end a host that serves.
            self.log.change("reload", result="kept", reason=str(new_settings))
            return
        self.settings = self.sink.settings = self.budgets.settings = new_settings
        self.fleet.version_bound = new_settings.version_bound
        self.contact.keys_valid_for = new_settings.keys_valid_for
        self.contact.changes_bind_after = new_settings.changes_bind_after
        self.log.change("reload", result="taken")

    def _begin_stop(self):
        if self.stopping:
            return
        self.stopping = True
        self._stop_deadline = monotonic() + self.settings.grace - ABORT_BEFORE_KILL
        self.log.change("stopping", running=self.front.running())
        asyncio.get_running_loop().create_task(self._stop())

    async def _stop(self):
        # Callers keep coming until the balancer has noticed; they are served, and
        # told to use another connection next time.
        self.front.draining = True
        await asyncio.sleep(SHUTDOWN_SERVE_TIME)
        self.handler.refusing = True
        self.front.stop_listening()
        self.front.close_idle()
        while self.front.running() and monotonic() < self._stop_deadline:
            await asyncio.sleep(0.05)
        if not self._stopped.done():
            self._stopped.set_result(None)

    async def _supervise(self, name, run_task):
        """Run a task that is not to end, and begin it again if it does.

        A task that ended unseen would leave a host that serves on with what it
        believed then. Ending the process instead would cut all streams that callers
        read through it, and the next process would read the same rows. Meanwhile the
        platform's word gets older, so that the host stops trusting keys and reports
        itself not ready, as when the platform can't be reached.
        """
        while True:
            try:
                await run_task()
                error = "it returned"
            except Exception as raised:
                error = repr(raised)
            self.metrics.count("tasks_ended_total", task=name)
            self.log.change("task_ended", task=name, error=error)
            await asyncio.sleep(random.uniform(*RESTART_PAUSE))

    async def _read_platform(self):
        await self.source.run(self.sink, self.neighbours)

    async def _housekeeping(self):
        reader = self.neighbours.reader()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)
            self.pool.sweep()
            before, reader = reader, self.neighbours.reader()
            if reader != before:
                self.log.change("reader", peer=reader, before=before)
                self.agents.send_directives()
            seen = EntryHostsSeen(
                near=self.neighbours.readers.known(),
                all=self.budgets.entry_hosts(),
                position=self.neighbours.readers.position(),
            )
            self.fleet.step(seen, now=monotonic())
            self.agents.set_followed(self.fleet.followed())
            self.budgets.update_reserves()
            self.suspects.sharing.rebalance()
            is_stable = self.contact.is_stable(now=contact_clock())
            self.front.draining = self.stopping or not is_stable

    async def _log_counters(self):
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL)
            self.log.decision("counters", **self.metrics.dump())
