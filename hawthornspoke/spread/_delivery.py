"""Fetches the pieces of versions, stages them at the engine and installs them."""

import asyncio
import random

from hawthornspoke.base import Failure, boottime_clock, is_failure
from hawthornspoke.spread._exchange import PieceExchange
from hawthornspoke.spread._installer import Installer
from hawthornspoke.spread._manifests import Manifests
from hawthornspoke.spread._piece_store import Weights, weights_name
from hawthornspoke.spread._upgrade import (
    CancelTransfer,
    EngineRestarted,
    Install,
    InstallEnded,
    PiecesComplete,
    Retire,
    StartTransfer,
    Upgrade,
)

#: Range of the random delay before a manifest is requested again, in seconds. It is
#: short because only two hosts of each region read the origin, and no piece can be
#: requested without the manifest, which lists the pieces' digests.
MANIFEST_RETRY_DELAY = (0.1, 0.2)

#: Number of versions whose pieces stay in memory although the upgrade machine no longer
#: wants them, because slower peers may still request them.
MAX_OLD_VERSIONS = 1

#: Result of an install that was cancelled by an engine restart or the agent's shutdown.
INSTALL_CANCELLED = Failure(code="install_cancelled")


class Delivery:
    """Performs the actions that the upgrade machine returns.

    Parameters
    ----------
    settings : SpreadSettings
    engine, origin : object
        See ``Agent``.
    log : EventLog
    metrics : Metrics
    last_observation : callable
        Returns the EngineObserved of the latest snapshot.
    observe_engine : coroutine function
        Reads the engine's state now.
    is_serving : callable
        Tells whether the engine is serving requests now.
    on_order_pending : callable
        See ``Installer``.

    Attributes
    ----------
    model : str or None
        None until a directive has named it.
    """

    __slots__ = (
        "model",
        "upgrade",
        "exchange",
        "manifests",
        "installer",
        "_log",
        "_metrics",
        "_last_observation",
        "_observe_engine",
        "_weights_by_version",
        "_tasks",
        "_is_closed",
    )

    def __init__(
        self,
        *,
        settings,
        engine,
        origin,
        log,
        metrics,
        last_observation,
        observe_engine,
        is_serving,
        on_order_pending,
    ):
        self.model = None
        self.upgrade = Upgrade()
        self.exchange = PieceExchange(
            settings=settings,
            origin=origin,
            log=log,
            metrics=metrics,
            on_piece=self._on_piece,
            on_complete=self._on_complete,
            on_digests_rejected=self._on_digests_rejected,
            is_serving=is_serving,
        )
        self.manifests = Manifests(origin=origin, exchange=self.exchange, log=log)
        self.installer = Installer(
            engine=engine, log=log, on_order_pending=on_order_pending
        )
        self._log = log
        self._metrics = metrics
        self._last_observation = last_observation
        self._observe_engine = observe_engine
        self._weights_by_version = {}
        self._tasks = {}
        self._is_closed = False

    @property
    def install(self):
        """The task of the install in progress, or None."""
        return self._tasks.get("install")

    def step(self, message):
        """Pass a message to the upgrade machine and perform the returned actions."""
        if self._is_closed:
            return
        # This clock includes suspension of the host, during which weights expire too.
        for outcome in self.upgrade.step(message, now=boottime_clock()):
            if isinstance(outcome, StartTransfer):
                self._start_task(f"get {outcome.version}", self._fetch_version(outcome))
            elif isinstance(outcome, CancelTransfer):
                self._cancel_transfer(outcome.version)
            elif isinstance(outcome, Install):
                self._start_install(outcome.version)
            elif isinstance(outcome, Retire) and "retire" not in self._tasks:
                self._start_task("retire", self.installer.retire(self.model, outcome))

    def reset_engine(self):
        """Discard the state that belongs to an earlier incarnation of the engine.

        Staged pieces may be lost, and the new incarnation does not know the order that
        a running install waits for. Without this the install would wait for as long as
        the slowest engine may take to load.
        """
        self.installer.forget_staged()
        install = self.install
        if install is not None:
            install.cancel()
        self.step(EngineRestarted())

    def close(self):
        """Cancel all tasks, and start no more: their ends would plan further ones."""
        self._is_closed = True
        for task in self._tasks.values():
            task.cancel()

    def _start_task(self, name, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._on_task_done(name, done))
        return task

    def _start_install(self, version):
        task = self._start_task("install", self._install(version))
        # In a callback rather than at the end of the coroutine: a task that an engine
        # restart cancels before its first step never runs, and one cancelled in its
        # final observation does not finish. Without InstallEnded no further version
        # would be installed.
        ended = InstallEnded(version=version)
        task.add_done_callback(lambda _: self.step(ended))

    def _on_task_done(self, name, task):
        if self._tasks.get(name) is task:
            del self._tasks[name]
        if not task.cancelled() and task.exception() is not None:
            self._log.change("task_failed", task=name, error=repr(task.exception()))

    async def _fetch_version(self, transfer, rejected=None):
        """Fetch a version.

        ``rejected`` holds the pieces fetched under a manifest that appears corrupt.
        Those that match the digests of the new manifest are kept.
        """
        version = transfer.version
        weights = self._weights_by_version.get(version)
        if weights is None:
            digests = await self._fetch_manifest(version)
            weights = Weights(model=self.model, version=version, digests=digests)
            self._weights_by_version[version] = weights
            for index in rejected.held() if rejected is not None else ():
                weights.put(index, rejected.get(index))
            found = await self.installer.recover(weights)
            self._log.change("transfer", version=version, found_staged=found)
            self._evict_old_versions()
        self.exchange.start_transfer(weights, priority=transfer.priority)

    async def _fetch_manifest(self, version):
        while True:
            digests = await self.manifests.get(self.model, version)
            if not is_failure(digests):
                return digests
            self._log.decision("manifest_failed", version=version, reason=str(digests))
            await asyncio.sleep(random.uniform(*MANIFEST_RETRY_DELAY))

    def _on_digests_rejected(self, weights):
        self._log.change("digests_distrusted", weights=weights.name)
        self._weights_by_version.pop(weights.version, None)
        self.exchange.discard_version(weights.name)
        self.manifests.reject(weights.name)
        transfer = StartTransfer(version=weights.version, priority=0)
        again = self._fetch_version(transfer, rejected=weights)
        self._start_task(f"get {weights.version}", again)

    def _on_piece(self, weights, index):
        if weights.version == self._stage_target():
            self._start_task(f"stage {index}", self.installer.stage(weights, index))

    def _stage_target(self):
        """Return the version whose pieces are to be staged, or None.

        The engine stages one version at a time.
        """
        if "install" in self._tasks:
            return None
        current = self._last_observation()
        for version in self.upgrade.targets():
            if version > (current.version or 0) or not current.is_complete:
                return version
        return None

    def _on_complete(self, weights):
        self._log.change(
            "pieces_whole", weights=weights.name, bytes=self._metrics.dump()
        )
        self.step(PiecesComplete(version=weights.version))

    async def _install(self, version):
        weights = self._weights_by_version.get(version)
        failure = None if weights is None else INSTALL_CANCELLED
        try:
            if weights is not None:
                failure = await self.installer.install(
                    weights, is_order_valid=lambda: self._is_order_valid(version)
                )
        finally:
            self._log.change("install_ended", version=version, failure=str(failure))
        # The end of this task makes the upgrade machine plan again, for which it needs
        # the engine's current state. A cancelled task must not wait for that: the loop
        # may end before it.
        await self._observe_engine()

    def _is_order_valid(self, version):
        return self.upgrade.is_order_valid(version, now=boottime_clock())

    def _cancel_transfer(self, version):
        task = self._tasks.get(f"get {version}")
        if task is not None:
            task.cancel()
        self.exchange.cancel_transfer(weights_name(self.model, version))
        self._log.change("transfer_dropped", version=version)

    def _evict_old_versions(self):
        wanted = set(self.upgrade.targets())
        unused = sorted(set(self._weights_by_version) - wanted)
        for version in unused[:-MAX_OLD_VERSIONS]:
            weights = self._weights_by_version.pop(version)
            self.exchange.discard_version(weights.name)
