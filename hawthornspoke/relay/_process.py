"""The entry host's process on one event loop: sockets, signals, what is believed."""

import asyncio
import random
import signal

from hawthornspoke.base import contact_clock, monotonic
from hawthornspoke.catalog import UNKNOWN, age_of
from hawthornspoke.events import EventLog
from hawthornspoke.httpio import (
    ConnectionPool,
    HttpServer,
    OperatorPort,
    ServerLimits,
)
from hawthornspoke.metrics import Metrics
from hawthornspoke.mirror import Neighbours
from hawthornspoke.peering import directive
from hawthornspoke.placing import (
    CatalogChanged,
    EndpointsListed,
    EntryHostsSeen,
    Fleet,
    WeightsDated,
    WeightsDeclared,
)
from hawthornspoke.relay._admission import Admission
from hawthornspoke.relay._agents import AgentLinks
from hawthornspoke.relay._contact import Confirmed, Contact, ContactLost, Lost
from hawthornspoke.relay._dialect import Dialect
from hawthornspoke.relay._forward import Forwarder
from hawthornspoke.relay._handler import Handler
from hawthornspoke.relay._timers import Timers
from hawthornspoke.retries import RetryBudget

#: Seconds after SIGTERM during which new requests are still served: the balancer
#: asks once a second and needs two refusals, and callers come a little later.
SERVE_WHILE_STOPPING = 2.6

#: Seconds before the kill at which requests that still run are cut, so that their
#: callers see a closed connection and not a host that vanished.
CUT_BEFORE_KILL = 0.4

#: Seconds between two looks at idle connections and vanished endpoints.
HOUSEKEEPING_EVERY = 0.5

#: Entry hosts that share the allowed retries, until an agent has told how many.
ASSUMED_ENTRY_HOSTS = 20

#: Seconds between two lines of counters in the log.
SUMMARY_EVERY = 10.0

#: Seconds, drawn at random between these, after which a task that ended is begun
#: again: what ended it may be there still, and may have ended it on all hosts.
BEGIN_AGAIN_PAUSE = (0.3, 0.9)

#: Seconds given to the log's writer at the end.
FLUSH_TIME = 0.2


class Relay:
    """Takes callers' requests and forwards them straight to endpoints.

    Parameters
    ----------
    settings : RelaySettings
    source : object
        Reads the platform: ``await source.run(relay, neighbours)`` calls
        ``on_catalog``, ``on_entries``, ``on_declared``, ``on_dated``,
        ``on_confirmed`` and ``on_contact_lost``.
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
        "entries",
        "stopping",
        "pool",
        "timers",
        "handler",
        "agents",
        "neighbours",
        "front",
        "ready",
        "operator",
        "_budget_by_service",
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
        self.entries = ()
        self.stopping = False
        self.pool = ConnectionPool(id_header=self.dialect.request_id)
        self.timers = Timers(clock=contact_clock)
        self._budget_by_service = {}
        self._stop_deadline = None
        self._stopped = None
        admission = Admission(
            dialect=self.dialect,
            fleet=self.fleet,
            contact=self.contact,
            clock=contact_clock,
        )
        self.handler = Handler(
            forwarder=Forwarder(
                admission=admission,
                timers=self.timers,
                fleet=self.fleet,
                pool=self.pool,
                dialect=self.dialect,
                budget_for=self._budget_for,
                log=self.log,
            ),
            admission=admission,
            timers=self.timers,
            dialect=self.dialect,
            log=self.log,
            metrics=self.metrics,
        )
        self.agents = AgentLinks(
            port=settings.agent_port,
            fleet=self.fleet,
            log=self.log,
            directive_for=self._directive_for,
            on_entry_hosts=self._on_entry_hosts,
        )
        self.front = self._server(settings.front, self.handler)
        self.ready = self._server(settings.ready, self._answer_ready)
        ip = settings.front.rpartition(":")[0]
        self.neighbours = Neighbours(address=ip, port=settings.agent_port, log=self.log)
        self.operator = self._server(
            f"{ip}:{settings.operator_port}",
            OperatorPort(metrics=self.metrics, dump=self._dump),
        )

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
        tasks = [
            loop.create_task(self._keep("platform", self._read_platform)),
            loop.create_task(self._keep("housekeeping", self._housekeeping)),
            loop.create_task(self._keep("summaries", self._summaries)),
            loop.create_task(self._keep("timers", self.timers.run)),
        ]
        self.log.change("started", role="entry", failure_domain=self._domain)
        try:
            await self._stopped
        finally:
            for task in tasks:
                task.cancel()
            self.agents.close()
            self.neighbours.close()
            self.pool.close()
            for server in (self.front, self.ready, self.operator):
                server.close()
            self.log.change("stopped", cut=self.front.running())
            self.log.flush(monotonic() + FLUSH_TIME)
        return 0

    # What the platform's reader calls.

    def on_catalog(self, catalog):
        """Take a configuration; one that is not newer changes nothing."""
        known = self.handler.catalog
        if known is not None and catalog.revision <= known.revision:
            return
        changed = CatalogChanged(service_by_name=catalog.service_by_name)
        self.fleet.step(changed, now=monotonic())
        self.handler.use(catalog)
        limits = catalog.limits
        self.front.limits = ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_time=limits.header_time,
            idle_time=limits.idle_time,
        )
        self.log.change(
            "configuration",
            revision=catalog.revision,
            routes=len(catalog.routes),
            organisations=len(set(catalog.organisation_by_key.values())),
        )
        self._follow_agents()

    def on_entries(self, entries):
        """Take the platform's whole list of endpoints."""
        listed = EndpointsListed(
            entries=tuple(entries),
            contact_regained_at=monotonic()
            - (contact_clock() - self.contact.regained_at),
        )
        before = {entry.endpoint_id: entry for entry in self.entries}
        self.entries = listed.entries
        self.fleet.step(listed, now=monotonic())
        now_there = {entry.endpoint_id: entry for entry in self.entries}
        for endpoint_id in before.keys() - now_there.keys():
            self.pool.drop(endpoint_id)
            self.log.change("endpoint_gone", endpoint=endpoint_id)
        for endpoint_id, entry in now_there.items():
            if before.get(endpoint_id) != entry:
                self.log.change(
                    "endpoint",
                    endpoint=endpoint_id,
                    service=entry.service,
                    address=entry.address,
                    started_ms=entry.incarnation.started_ms,
                    leaving=entry.leaving,
                    weights_version=entry.weights_version,
                    layers=entry.layers,
                )
        self._follow_agents()

    def on_declared(self, declared, *, written_at=UNKNOWN, known_until=UNKNOWN):
        """Take declared weights.

        Parameters
        ----------
        declared : DeclaredWeights
        written_at : float, default=UNKNOWN
            A moment on the contact clock before which they were not declared.
        known_until : float, default=UNKNOWN
            A moment on it until which all declarations were known.
        """
        before = self.fleet.declared.latest(declared.model)
        message = WeightsDeclared(
            declared=declared, at=written_at, known_until=known_until
        )
        self.fleet.step(message, now=monotonic())
        if self.fleet.declared.latest(declared.model) == before:
            return
        self.log.change(
            "weights",
            model=declared.model,
            version=declared.version,
            age=age_of(written_at, contact_clock()),
            before=before,
        )
        self.agents.tell_all()

    def on_dated(self, model, moments):
        """Take when versions were declared that were found without a moment.

        Parameters
        ----------
        model : str
        moments : tuple of (int, float)
            Versions and moments on the contact clock before which they were not
            declared.
        """
        self.fleet.step(WeightsDated(model=model, moments=moments), now=monotonic())
        now = contact_clock()
        for version, at in moments:
            self.log.change(
                "weights_dated", model=model, version=version, age=age_of(at, now)
            )
        # Agents plan by the moment, and tell it to hosts that start later.
        self.agents.tell_all()

    def on_confirmed(self, at):
        """Take that the platform answered; ``at`` is on the contact clock."""
        self._note_contact(
            self.contact.step(Confirmed(at=at), now=contact_clock()), "regained"
        )

    def on_contact_lost(self, reason):
        """Take that the platform could not be read."""
        self._note_contact(
            self.contact.step(Lost(reason=reason), now=contact_clock()), "lost"
        )

    def _note_contact(self, outcomes, what):
        for outcome in outcomes:
            reason = outcome.reason if isinstance(outcome, ContactLost) else ""
            self.log.change(f"platform_{what}", reason=reason)

    def _on_entry_hosts(self, agent, addresses):
        self.neighbours.told(agent, addresses)

    @property
    def _domain(self):
        return self.settings.failure_domain

    def _server(self, address, handler):
        host, _, port = address.rpartition(":")
        return HttpServer(
            host=host, port=int(port), handler=handler, on_broken=self._on_broken
        )

    def _on_broken(self, error):
        self.log.change("handler_failed", error=repr(error))
        self.metrics.count("handler_failures_total")

    def _budget_for(self, service):
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(
                ratio=self.settings.retry_ratio, reserve=self._own_reserve()
            )
        return budget

    def _own_reserve(self):
        """Return this host's part of the retries that all entry hosts may make."""
        hosts = self.agents.entry_hosts() or ASSUMED_ENTRY_HOSTS
        return self.settings.retry_reserve / hosts

    def _engine_services(self):
        catalog = self.handler.catalog
        if catalog is None:
            return {}
        return {
            name: service.engine
            for name, service in catalog.service_by_name.items()
            if service.engine is not None and service.engine.layers
        }

    def _follow_agents(self):
        engines = self._engine_services()
        self.agents.follow(
            entry.address for entry in self.entries if entry.service in engines
        )
        self.agents.tell_all()

    def _directive_for(self, address):
        engines = self._engine_services()
        service = next(
            (item.service for item in self.entries if item.address == address), None
        )
        engine = engines.get(service)
        if engine is None:
            return None
        catalog = self.handler.catalog
        origins = [item.origin for item in catalog.service_by_name.values()]
        declared = self.fleet.declared
        return directive(
            engine=engine,
            version=declared.latest(engine.model),
            age=age_of(declared.since(engine.model), contact_clock()),
            peers=self._peers(service),
            origin=next((origin for origin in origins if origin), None),
            bound=self.settings.version_bound,
            failure_domain=self.settings.failure_domain,
        )

    def _peers(self, service):
        """Return the endpoints of a service that agents are told of.

        Each entry host tells each agent. Were the list in all of these messages,
        34 hosts would send 110 KB to each agent for one endpoint that came or went,
        a quarter of a second of its link; so only hosts that read the platform do.
        """
        if self.neighbours.reader() is not None:
            return None
        return [item for item in self.entries if item.service == service]

    async def _answer_ready(self, request, reply):
        is_ready = not self.stopping and self.handler.catalog is not None
        # A host that is cut off from the platform must soon refuse all keys. Its
        # callers are sent to others before that, if the balancer has others.
        is_ready = is_ready and self.contact.steady(now=contact_clock())
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
            "budgets": {
                name: budget.dump(now=now)
                for name, budget in self._budget_by_service.items()
            },
            "metrics": self.metrics.dump(),
        }
        return state

    def _log_dump(self):
        self.log.change("dump", state=self._dump())

    def _reload(self):
        if self.reload_settings is None:
            self.log.change("reload", result="nothing to read again")
            return
        fresh = self.reload_settings()
        if not isinstance(fresh, type(self.settings)):
            # A file that is half-written or wrong must not end a host that serves.
            self.log.change("reload", result="kept", reason=str(fresh))
            return
        self.settings = fresh
        self.fleet.version_bound = fresh.version_bound
        self.contact.keys_valid_for = fresh.keys_valid_for
        self.contact.changes_bind_after = fresh.changes_bind_after
        self.log.change("reload", result="taken")

    def _begin_stop(self):
        if self.stopping:
            return
        self.stopping = True
        self._stop_deadline = monotonic() + self.settings.grace - CUT_BEFORE_KILL
        self.log.change("stopping", running=self.front.running())
        asyncio.get_running_loop().create_task(self._stop())

    async def _stop(self):
        # Callers keep coming until the balancer has noticed; they are served, and
        # told to use another connection next time.
        self.front.draining = True
        await asyncio.sleep(SERVE_WHILE_STOPPING)
        self.handler.refusing = True
        self.front.stop_listening()
        self.front.close_idle()
        while self.front.running() and monotonic() < self._stop_deadline:
            await asyncio.sleep(0.05)
        if not self._stopped.done():
            self._stopped.set_result(None)

    async def _keep(self, name, work):
        """Run a task that is not to end, and begin it again if it does.

        A task that ended unseen would leave a host that serves on with what it
        believed then. Ending the process instead would cut all streams that callers
        read through it, and the next process would read the same rows. Meanwhile the
        platform's word gets older, so that the host stops trusting keys and reports
        itself not ready, as when the platform can't be reached.
        """
        while True:
            try:
                await work()
                error = "it returned"
            except Exception as raised:
                error = repr(raised)
            self.metrics.count("tasks_ended_total", task=name)
            self.log.change("task_ended", task=name, error=error)
            await asyncio.sleep(random.uniform(*BEGIN_AGAIN_PAUSE))

    async def _read_platform(self):
        await self.source.run(self, self.neighbours)

    async def _housekeeping(self):
        reader = self.neighbours.reader()
        while True:
            await asyncio.sleep(HOUSEKEEPING_EVERY)
            self.pool.sweep()
            before, reader = reader, self.neighbours.reader()
            if reader != before:
                self.log.change("reader", peer=reader, before=before)
                self.agents.tell_all()
            seen = EntryHostsSeen(
                near=self.neighbours.readers.known(),
                all=self.agents.entry_hosts() or ASSUMED_ENTRY_HOSTS,
            )
            self.fleet.step(seen, now=monotonic())
            for budget in self._budget_by_service.values():
                budget.reserve = self._own_reserve()
            steady = self.contact.steady(now=contact_clock())
            self.front.draining = self.stopping or not steady

    async def _summaries(self):
        while True:
            await asyncio.sleep(SUMMARY_EVERY)
            self.log.decision("counters", **self.metrics.dump())
