"""Fetches the pieces of declared versions on an entry host and sends them to agents.

The links of engines' hosts are narrow and carry requests, and an exchange among them
has several pieces arrive on one link at a time. Entry hosts have wide links. A few of
each failure domain fetch each piece once and send it to the agents there, to each at
the rate that it asks for.
"""

import asyncio
import random
from dataclasses import dataclass, field

from hawthornspoke.base import boottime_clock, is_failure
from hawthornspoke.seeding._versions import versions_to_seed
from hawthornspoke.spread import (
    SUPERSEDE_WINDOW_SHARE,
    Manifests,
    Peer,
    PieceExchange,
    Weights,
)
from hawthornspoke.swarm import READERS_PER_DOMAIN, select_seeders

#: Range of the random delay before a manifest is requested again, in seconds.
MANIFEST_RETRY_DELAY = (0.1, 0.2)

#: Bytes per second at which agents receive a version, beside requests.
RECEIVER_RATE = 410_000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SeedingPlan:
    """What is known of one model's weights and of the hosts that load or seed them.

    Parameters
    ----------
    model : str
    size : int
        Bytes of a version.
    origin : str or None
        Address of the origin.
    declared : list of (int, float)
        Versions and the times of their declarations, the oldest first, on the boot-time
        clock.
    version_bound : float
        Seconds after a declaration from which older versions are not used.
    failure_domain_by_receiver : dict of str to str
        Failure domains of the agents that load the weights, by ``IP:PORT`` of their
        engines.
    candidates_by_domain : dict of str to set of str
        Known IP addresses of entry hosts, including this one.
    loaded_versions : frozenset of (int or None)
        Versions that the engines of this failure domain have loaded, None if one has
        none.
    """

    model: str
    size: int
    origin: str | None
    declared: list
    version_bound: float
    failure_domain_by_receiver: dict = field(default_factory=dict)
    candidates_by_domain: dict = field(default_factory=dict)
    loaded_versions: frozenset = frozenset((None,))


class Seeder:
    """Seeds the versions of one model while this host is selected for it.

    Parameters
    ----------
    settings : SpreadSettings
        Its ``engine_address`` is the IP address of this host.
    origin : object
        Provides ``manifest`` and ``piece``; see ``Manifests`` and ``PieceExchange``.
    log : EventLog
    metrics : Metrics
    """

    __slots__ = (
        "exchange",
        "_settings",
        "_manifests",
        "_log",
        "_plan",
        "_is_selected",
        "_weights_by_version",
        "_task_by_version",
    )

    def __init__(self, *, settings, origin, log, metrics):
        self.exchange = PieceExchange(
            settings=settings,
            origin=origin,
            log=log,
            metrics=metrics,
            on_piece=lambda weights, index: None,
            on_complete=self._on_complete,
            on_digests_rejected=self._on_digests_rejected,
            is_serving=lambda: False,
            is_seeder=True,
        )
        self._settings = settings
        self._manifests = Manifests(origin=origin, exchange=self.exchange, log=log)
        self._log = log
        self._plan = None
        self._is_selected = False
        self._weights_by_version = {}
        self._task_by_version = {}

    def update(self, plan):
        """Start or stop seeding, and fetch the versions that are declared now.

        Parameters
        ----------
        plan : SeedingPlan
        """
        self._plan = plan
        seeders_by_domain = self._select(plan)
        own_domain = self._settings.failure_domain
        is_selected = self._settings.ip in seeders_by_domain.get(own_domain, ())
        if is_selected != self._is_selected:
            self._is_selected = is_selected
            self._log.change("seeding", model=plan.model, selected=is_selected)
        self.exchange.origin_address = plan.origin
        if not is_selected:
            self._keep(())
            return
        self._set_peers(plan, seeders_by_domain)
        versions = versions_to_seed(
            plan.declared,
            complete={
                version
                for version, weights in self._weights_by_version.items()
                if weights.is_complete
            },
            supersede_window=SUPERSEDE_WINDOW_SHARE * plan.size / RECEIVER_RATE,
            version_bound=plan.version_bound,
            now=boottime_clock(),
        )
        self._keep(versions)
        for priority, version in enumerate(versions):
            # A host that restarts doesn't fetch what all engines have loaded.
            is_needed = plan.loaded_versions != {version}
            if is_needed and version not in self._task_by_version:
                self._start(version, priority)

    def on_frame(self, link, frame):
        """Handle a frame of an agent or of another seeder."""
        if frame.manifest_ask is not None:
            self._manifests.answer(link, frame)
        else:
            self.exchange.on_frame(link, frame)

    def close(self):
        """Cancel all tasks and close all connections."""
        for task in self._task_by_version.values():
            task.cancel()
        self.exchange.close()

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "is_selected": self._is_selected,
            "swarm": self.exchange.swarm.dump(now=now),
        }

    def _select(self, plan):
        receivers_by_domain = {}
        for failure_domain in plan.failure_domain_by_receiver.values():
            count = receivers_by_domain.get(failure_domain, 0)
            receivers_by_domain[failure_domain] = count + 1
        return {
            failure_domain: select_seeders(
                candidates, receivers=receivers_by_domain.get(failure_domain, 0)
            )
            for failure_domain, candidates in plan.candidates_by_domain.items()
        }

    def _set_peers(self, plan, seeders_by_domain):
        own_domain = self._settings.failure_domain
        peers = {}
        for failure_domain, seeders in seeders_by_domain.items():
            if failure_domain != own_domain:
                seeders = seeders[:READERS_PER_DOMAIN]
            for address in seeders:
                peers[address] = self._peer(failure_domain, address, is_seeder=True)
        for receiver, failure_domain in plan.failure_domain_by_receiver.items():
            if failure_domain == own_domain:
                address = receiver.rpartition(":")[0]
                peers[receiver] = self._peer(failure_domain, address, is_seeder=False)
        if peers.keys() != self.exchange.peer_names():
            self.exchange.set_peers(peers)

    def _peer(self, failure_domain, address, *, is_seeder):
        return Peer(
            failure_domain=failure_domain,
            address=address,
            port=self._settings.port,
            is_seeder=is_seeder,
        )

    def _keep(self, versions):
        """Stop fetching all other versions; discard those that are not the latest."""
        for version in set(self._task_by_version) - set(versions):
            self._task_by_version.pop(version).cancel()
        latest = sorted(self._weights_by_version)[-2:]
        for version, weights in list(self._weights_by_version.items()):
            if version in versions:
                continue
            if version in latest:
                self.exchange.cancel_transfer(weights.name)
            else:
                self.exchange.discard_version(weights.name)
                del self._weights_by_version[version]

    def _start(self, version, priority):
        task = asyncio.get_running_loop().create_task(self._fetch(version, priority))
        self._task_by_version[version] = task
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._log.change("seeding_failed", error=repr(task.exception()))

    async def _fetch(self, version, priority):
        weights = self._weights_by_version.get(version)
        while weights is None:
            digests = await self._manifests.get(self._plan.model, version)
            if is_failure(digests):
                await asyncio.sleep(random.uniform(*MANIFEST_RETRY_DELAY))
                continue
            weights = Weights(model=self._plan.model, version=version, digests=digests)
            self._weights_by_version[version] = weights
        self.exchange.start_transfer(weights, priority=priority)

    def _on_complete(self, weights):
        self._log.decision("seeded", weights=weights.name)

    def _on_digests_rejected(self, weights):
        self._log.change("digests_distrusted", weights=weights.name)
        self._weights_by_version.pop(weights.version, None)
        self.exchange.discard_version(weights.name)
        self._manifests.reject(weights.name)
        task = self._task_by_version.pop(weights.version, None)
        if task is not None:
            task.cancel()
