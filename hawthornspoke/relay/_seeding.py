"""Seeding by an entry host: what it knows of hosts and versions, one seeder a model."""

from hawthornspoke.base import monotonic
from hawthornspoke.seeding import RemoteHosts, Seeder, SeedingPlan
from hawthornspoke.spread import SpreadSettings


class Seeding:
    """Keeps the seeders of all models up to date.

    Parameters
    ----------
    settings : RelaySettings
    origin : object or None
        See ``Seeder``; None if this host is not to seed.
    neighbours : Neighbours
        Passes on the frames of agents and other seeders.
    fleet : Fleet
    log : EventLog
    metrics : Metrics

    Attributes
    ----------
    remote_hosts : RemoteHosts
    """

    __slots__ = (
        "remote_hosts",
        "_settings",
        "_origin",
        "_neighbours",
        "_fleet",
        "_log",
        "_metrics",
        "_seeder_by_model",
    )

    def __init__(self, *, settings, origin, neighbours, fleet, log, metrics):
        self.remote_hosts = RemoteHosts()
        self._settings = settings
        self._origin = origin
        self._neighbours = neighbours
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._seeder_by_model = {}
        neighbours.on_other_frame = self._on_frame

    async def run(self, ticks):
        """Step the exchanges on each tick, until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            await ticks.next()
            for seeder in self._seeder_by_model.values():
                seeder.exchange.tick()

    def update(self, service_by_name, entries):
        """Update all seeders.

        Parameters
        ----------
        service_by_name : dict of str to Service
            Of the configuration in force.
        entries : iterable of EndpointEntry
        """
        if self._origin is None:
            return
        origins = [service.origin for service in service_by_name.values()]
        origin = next((item for item in origins if item), None)
        engine_by_model = {
            service.engine.model: service.engine
            for service in service_by_name.values()
            if service.engine is not None and service.engine.layers
        }
        for model, engine in engine_by_model.items():
            if model not in self._seeder_by_model:
                self._seeder_by_model[model] = self._make_seeder()
            services = {
                name
                for name, service in service_by_name.items()
                if service.engine is not None and service.engine.model == model
            }
            self._seeder_by_model[model].update(
                SeedingPlan(
                    model=model,
                    size=engine.pieces * engine.piece_bytes,
                    origin=origin,
                    declared=self._fleet.declared.versions_from_platform(model),
                    version_bound=self._fleet.version_bound,
                    failure_domain_by_receiver={
                        entry.address: entry.failure_domain
                        for entry in entries
                        if entry.service in services and not entry.leaving
                    },
                    candidates_by_domain=self._candidates_by_domain(),
                    loaded_versions=self._loaded_versions(services),
                )
            )

    def close(self):
        """Stop seeding."""
        for seeder in self._seeder_by_model.values():
            seeder.close()

    def dump(self):
        """Return the state as plain data."""
        now = monotonic()
        return {
            model: seeder.dump(now=now)
            for model, seeder in self._seeder_by_model.items()
        }

    def _loaded_versions(self, services):
        """Return the versions that engines of this failure domain have loaded."""
        return frozenset(
            endpoint.weights_version
            for endpoint in self._fleet.endpoint_by_id.values()
            if endpoint.entry.service in services
            and endpoint.is_in(self._settings.failure_domain)
            and not endpoint.gone
        )

    def _candidates_by_domain(self):
        candidates = self.remote_hosts.addresses_by_domain()
        readers = self._neighbours.readers
        candidates[self._settings.failure_domain] = readers.neighbour_addresses() | {
            self._neighbours.address
        }
        return candidates

    def _make_seeder(self):
        settings = self._settings
        return Seeder(
            settings=SpreadSettings(
                node=settings.node,
                failure_domain=settings.failure_domain,
                region_by_failure_domain=settings.region_by_failure_domain,
                ip=self._neighbours.address,
                port=settings.agent_port,
                engine_address=self._neighbours.address,
                link_rate=settings.link_rate,
            ),
            origin=self._origin,
            log=self._log,
            metrics=self._metrics,
        )

    def _on_frame(self, link, frame):
        model = _model_of(frame)
        seeder = self._seeder_by_model.get(model)
        if seeder is not None:
            seeder.on_frame(link, frame)


def _model_of(frame):
    """Return the model that a frame is about, None if it names no weights."""
    for message in (frame.chunk_ask, frame.announce, frame.holdings_ask):
        if message is not None:
            return (message.digest or "").rpartition("@")[0]
    if frame.manifest_ask is not None:
        return (frame.manifest_ask.weights or "").rpartition("@")[0]
    return None
