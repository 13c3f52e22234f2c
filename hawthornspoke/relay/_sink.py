"""Applies the state that is read from the platform."""

from hawthornspoke.base import boottime_clock, monotonic
from hawthornspoke.catalog import UNKNOWN_TIME, declaration_age
from hawthornspoke.httpio import ServerLimits
from hawthornspoke.peering import declared_age, make_directive
from hawthornspoke.placing import (
    CatalogChanged,
    DeclarationTimesUpdated,
    EndpointsListed,
    EvacuationsChanged,
    WeightsDeclared,
)
from hawthornspoke.relay._agents import AgentLinks
from hawthornspoke.relay._contact import Confirmed, ContactLost, ReadFailed

#: Maximum number of invalid values of one configuration that are logged.
MAX_LOGGED_REPLACED_VALUES = 10


class Sink:
    """Receives platform state and updates the components that depend on it.

    Parameters
    ----------
    settings : RelaySettings
    fleet : Fleet
    contact : PlatformContact
    pool : ConnectionPool
    handler : Handler
    front : HttpServer
        Serves callers' requests.
    neighbours : Neighbours
    suspects : PoisonRequestTracker
    rate_limits : EndpointRateLimits
    retry_records : RetryRecords
    retry_budgets : RetryBudgets
    log : EventLog
    metrics : Metrics
    earliest_arrival : callable
        See ``AgentLinks``.

    Attributes
    ----------
    settings : RelaySettings
        Replaced when the settings are reloaded.
    entries : tuple of EndpointEntry
    agents : AgentLinks
    earliest_arrival : callable
    """

    __slots__ = (
        "settings",
        "log",
        "metrics",
        "entries",
        "agents",
        "earliest_arrival",
        "suspects",
        "retry_budgets",
        "_fleet",
        "_contact",
        "_pool",
        "_handler",
        "_front",
        "_neighbours",
        "_rate_limits",
        "_seeding",
    )

    def __init__(
        self,
        *,
        settings,
        fleet,
        contact,
        pool,
        handler,
        front,
        neighbours,
        suspects,
        rate_limits,
        retry_records,
        retry_budgets,
        log,
        metrics,
        earliest_arrival,
        seeding,
    ):
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.entries = ()
        self.suspects = suspects
        self.retry_budgets = retry_budgets
        self.earliest_arrival = earliest_arrival
        self.agents = AgentLinks(
            port=settings.agent_port,
            failure_domain=settings.failure_domain,
            fleet=fleet,
            log=log,
            directive_for=self.directive_for,
            on_entry_hosts=neighbours.update_entry_hosts,
            suspects=suspects,
            rate_limits=rate_limits,
            retry_records=retry_records,
            earliest_arrival=earliest_arrival,
            on_remote_hosts=seeding.remote_hosts.update,
            unread_for=lambda: contact.age(now=boottime_clock()),
            losses=pool.losses,
        )
        self._seeding = seeding
        self._fleet = fleet
        self._contact = contact
        self._pool = pool
        self._handler = handler
        self._front = front
        self._neighbours = neighbours
        self._rate_limits = rate_limits

    def on_catalog(self, catalog, *, is_correction=False):
        """Apply a configuration.

        Parameters
        ----------
        catalog : Catalog
        is_correction : bool, default=False
            Whether it replaces the known one although its version is not newer.
            Otherwise it is ignored then.
        """
        known = self._handler.catalog
        is_newer = known is None or catalog.revision > known.revision
        if not is_newer and not is_correction:
            return
        changed = CatalogChanged(
            service_by_name=catalog.service_by_name,
            ranks_by_service=catalog.ranks_by_service(),
        )
        self._fleet.step(changed, now=monotonic())
        self._handler.set_catalog(catalog)
        limits = catalog.limits
        self._front.set_limits(
            ServerLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_time=limits.header_time,
                idle_time=limits.idle_time,
            )
        )
        self.log.change(
            "configuration",
            revision=catalog.revision,
            routes=len(catalog.routes),
            organisations=len(set(catalog.organisation_by_key.values())),
        )
        self._log_replaced_values(catalog)
        self._update_agents()

    def on_evacuations(self, failure_domains):
        """Apply the operators' evacuations.

        Parameters
        ----------
        failure_domains : frozenset of str
            All failure domains that are evacuated now.
        """
        if failure_domains == self._fleet.constraints.evacuated_domains:
            return
        self._fleet.step(
            EvacuationsChanged(failure_domains=failure_domains), now=monotonic()
        )
        self._rate_limits.end_forbidden_waits()
        known = self.settings.region_by_failure_domain.keys()
        self.log.change(
            "evacuations",
            failure_domains=sorted(failure_domains),
            unknown=sorted(failure_domains - known),
        )
        self.metrics.set_gauge(
            "evacuated_failure_domains", len(failure_domains & known)
        )

    def on_entries(self, entries):
        """Apply the platform's complete list of endpoints."""
        listed = EndpointsListed(
            entries=tuple(entries),
            contact_regained_at=monotonic()
            - (boottime_clock() - self._contact.regained_at),
        )
        before = {entry.endpoint_id: entry for entry in self.entries}
        self.entries = listed.entries
        self._fleet.step(listed, now=monotonic())
        current = {entry.endpoint_id: entry for entry in self.entries}
        for endpoint_id in before.keys() - current.keys():
            self._pool.drop(endpoint_id)
            self.log.change("endpoint_gone", endpoint=endpoint_id)
        for endpoint_id, entry in current.items():
            if before.get(endpoint_id) != entry:
                self.log.change(
                    "endpoint",
                    endpoint=endpoint_id,
                    service=entry.service,
                    address=entry.address,
                    slots=entry.slots,
                    failure_domain=entry.failure_domain,
                    started_ms=entry.incarnation.started_ms,
                    leaving=entry.leaving,
                    weights_version=entry.weights_version,
                    layers=entry.layers,
                )
        self._update_agents()
        self.suspects.on_endpoints_listed()

    def on_declared(
        self,
        declared,
        *,
        written_at=UNKNOWN_TIME,
        known_until=UNKNOWN_TIME,
        outage_ended_at=UNKNOWN_TIME,
    ):
        """Apply the declaration of a weights version, after which older ones expire.

        Parameters
        ----------
        declared : DeclaredWeights
        written_at : float, default=UNKNOWN_TIME
            Lower bound of the time of the declaration, on the boot-time clock.
        known_until : float, default=UNKNOWN_TIME
            Time up to which this host knew all declarations, on the boot-time clock.
        outage_ended_at : float, default=UNKNOWN_TIME
            End of an outage of the platform within which this host may have missed the
            declaration, on the boot-time clock.
        """
        before = self._fleet.declared.latest_version(declared.model)
        message = WeightsDeclared(
            declared=declared,
            at=written_at,
            known_until=known_until,
            outage_ended_at=outage_ended_at,
            boottime_now=boottime_clock(),
        )
        self._fleet.step(message, now=monotonic())
        if self._fleet.declared.latest_version(declared.model) == before:
            return
        self.log.change(
            "weights",
            model=declared.model,
            version=declared.version,
            age=declaration_age(written_at, boottime_clock()),
            before=before,
        )
        self.agents.send_directives()
        self.update_seeding()

    def on_declaration_times(self, model, earliest_times):
        """Apply the times of declarations that were first read without a time.

        Parameters
        ----------
        model : str
        earliest_times : tuple of (int, float)
            Versions, and lower bounds of their declaration times on the boot-time
            clock.
        """
        self._fleet.step(
            DeclarationTimesUpdated(model=model, earliest_times=earliest_times),
            now=monotonic(),
        )
        now = boottime_clock()
        for version, at in earliest_times:
            self.log.change(
                "weights_dated",
                model=model,
                version=version,
                age=declaration_age(at, now),
            )
        # Agents schedule the switch to new weights by these times, and report the times
        # to entry hosts that start later.
        self.agents.send_directives()

    def on_confirmed(self, at):
        """Record a response of the platform; ``at`` is on the boot-time clock."""
        self._log_contact_change(
            self._contact.step(Confirmed(at=at), now=boottime_clock()), "regained"
        )

    def on_contact_lost(self, reason):
        """Record that the platform could not be read."""
        self._log_contact_change(
            self._contact.step(ReadFailed(reason=reason), now=boottime_clock()), "lost"
        )

    def update_seeding(self):
        """Seed the declared versions if this host is selected for it."""
        catalog = self._handler.catalog
        if catalog is not None:
            self._seeding.update(catalog.service_by_name, self.entries)

    def directive_for(self, service):
        """Return the directive for the agents of a service.

        None before the configuration is known, and for services without weights.
        """
        engine = self._engine_by_service().get(service)
        if engine is None:
            return None
        catalog = self._handler.catalog
        health_path = None
        if (
            self.settings.contention_checks
            and service in self._fleet.contended_services()
        ):
            health_path = catalog.service_by_name[service].health_path
        origins = [item.origin for item in catalog.service_by_name.values()]
        declared = self._fleet.declared
        now = boottime_clock()
        version = declared.latest_version(engine.model)
        # Once the bound of a declaration has passed, its time has no effect any more.
        recent = declared.declared_versions(
            engine.model, declared_after=now - self.settings.version_bound
        )
        bounds = declared.bounds(engine.model, version)
        return make_directive(
            engine=engine,
            version=version,
            age=None if bounds.earliest == UNKNOWN_TIME else now - bounds.earliest,
            known_for=max(0.0, now - bounds.latest),
            made_at=now,
            peers=self._peers(service),
            origin=next((origin for origin in origins if origin), None),
            bound=self.settings.version_bound,
            failure_domain=self.settings.failure_domain,
            health_path=health_path,
            earlier_versions=[
                declared_age(earlier, now)
                for earlier in recent
                if version is not None and earlier.version < version
            ],
        )

    def sees_all_failure_domains(self):
        """Return whether agents are connected in all failure domains that have some.

        If not, this host may be cut off from entry hosts there.
        """
        listed, connected = set(), set()
        for entry in self.entries:
            if self.agents.is_listed(entry.address):
                listed.add(entry.failure_domain)
            if self.agents.is_connected(entry.address):
                connected.add(entry.failure_domain)
        return bool(listed) and listed <= connected

    def _log_replaced_values(self, catalog):
        for description in catalog.replaced_values[:MAX_LOGGED_REPLACED_VALUES]:
            self.log.change(
                "configuration_value_replaced",
                revision=catalog.revision,
                value=description,
            )

    def _log_contact_change(self, outcomes, event):
        for outcome in outcomes:
            reason = outcome.reason if isinstance(outcome, ContactLost) else ""
            self.log.change(f"platform_{event}", reason=reason)

    def _engine_by_service(self):
        catalog = self._handler.catalog
        if catalog is None:
            return {}
        return {
            name: service.engine
            for name, service in catalog.service_by_name.items()
            if service.engine is not None and service.engine.layers
        }

    def _update_agents(self):
        engines = self._engine_by_service()
        service_by_address = {}
        for entry in self.entries:
            # If two entries share an address, the agent there gets the directive for
            # the service of the first one.
            service_by_address.setdefault(entry.address, entry.service)
        self.agents.set_endpoints(
            {
                entry.address: service_by_address[entry.address]
                for entry in self.entries
                # Without a configuration, connect to all: any may have an agent.
                if self._handler.catalog is None or entry.service in engines
            }
        )
        self.agents.send_directives()
        self.update_seeding()

    def _peers(self, service):
        """Return the endpoints of a service that directives list, None to omit them.

        Every entry host sends directives to every agent. If all of them contained the
        list, 34 hosts would send 110 KB to each agent whenever an endpoint is added
        or removed, which occupies the agent's link for a quarter of a second. So only
        hosts that read the platform directly include the list.
        """
        if self._neighbours.reader() is not None:
            return None
        return [item for item in self.entries if item.service == service]
