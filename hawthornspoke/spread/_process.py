"""The agent beside an engine on one event loop: pieces, orders, its state."""

import asyncio
import copy
import random
import signal

from hawthornspoke.base import Failure, contact_clock, is_failure, monotonic
from hawthornspoke.catalog import (
    UNKNOWN,
    UNKNOWN_START,
    DeclaredVersions,
    DeclaredWeights,
    age_of,
)
from hawthornspoke.events import EventLog
from hawthornspoke.httpio import HttpServer, OperatorPort
from hawthornspoke.metrics import Metrics
from hawthornspoke.peering import is_usable, listen
from hawthornspoke.protocol import DeclaredAge, DirectiveAsk, EngineState, Frame
from hawthornspoke.spread._entry_links import EntryLinks
from hawthornspoke.spread._exchange import Exchange, Peer
from hawthornspoke.spread._installer import Installer
from hawthornspoke.spread._manifests import Manifests
from hawthornspoke.spread._stock import Weights, weights_name
from hawthornspoke.spread._upgrade import (
    EngineRestarted,
    EngineSeen,
    Forget,
    Install,
    InstallEnded,
    Named,
    PiecesHeld,
    Placed,
    Transfer,
    Upgrade,
)

#: Seconds between two looks at the engine, which is on the same host.
LOOK_EVERY = 0.1

#: Seconds after the engine was asked for its state in which that is told to entry
#: hosts: one call to it, of a second at most, and the pause between two looks. What
#: is older was seen before this process stood still.
STATE_VALID = 1.2

#: Seconds without an entry host after which the agent reads the platform itself.
ALONE_AFTER = 2.0
READ_ALONE_EVERY = 2.0

#: Neighbours that a new agent asks what they were told, one after the other, and
#: seconds for each.
INTRODUCED_BY = 3
INTRODUCTION_TIME = 0.4

#: Seconds between two tries to read a list of digests.
MANIFEST_PAUSE = (0.2, 0.4)

#: Share of a link that pieces really get beside the rest, over a whole transfer.
LINK_SHARE = 0.82

#: Versions whose pieces are kept in memory besides those that are wanted: peers
#: that are late still ask for them.
OLD_VERSIONS_KEPT = 1

#: Seconds beyond a version's bound for which its age is told to entry hosts.
TELL_BEYOND_BOUND = 2.0

FLUSH_TIME = 0.2

#: How an install ends whose engine has started again, or whose agent stops.
INSTALL_CANCELLED = Failure(code="install_cancelled")


class Agent:
    """Brings declared weights to the engine on this host.

    Parameters
    ----------
    settings : SpreadSettings
    engine : object
        The engine on this host; see ``Installer``.
    origin : object
        ``manifest`` and ``piece``.
    read_alone : coroutine function
        Reads the platform once, given the last Directive or None, and returns a
        Directive or a Failure; used only while no entry host is connected. Its
        ``peers`` returns only the endpoints.
    """

    __slots__ = (
        "settings",
        "engine",
        "origin",
        "read_alone",
        "log",
        "metrics",
        "exchange",
        "manifests",
        "installer",
        "upgrade",
        "entry_links",
        "declared",
        "model",
        "operator",
        "_snapshot",
        "_incarnation",
        "_looks_begun",
        "_look_taken",
        "_asked_at",
        "_noticed",
        "_weights_by_version",
        "_directive",
        "_tasks",
        "_stopped",
        "_engine_down",
    )

    def __init__(self, *, settings, engine, origin, read_alone):
        self.settings = settings
        self.engine = engine
        self.origin = origin
        self.read_alone = read_alone
        self.log = EventLog(node=settings.node)
        self.metrics = Metrics()
        self.exchange = Exchange(
            settings=settings,
            origin=origin,
            log=self.log,
            metrics=self.metrics,
            on_piece=self._on_piece,
            on_whole=self._on_whole,
            on_distrusted=self._on_distrusted,
            is_serving=self._is_serving,
        )
        self.manifests = Manifests(origin=origin, exchange=self.exchange, log=self.log)
        self.installer = Installer(
            engine=engine, log=self.log, on_notice=self._on_notice
        )
        self.upgrade = Upgrade()
        self.entry_links = EntryLinks(
            failure_domain=settings.failure_domain, spawn=self.exchange.spawn
        )
        self.declared = DeclaredVersions()
        self.model = None
        self.operator = HttpServer(
            host=settings.ip,
            port=settings.operator_port,
            handler=OperatorPort(metrics=self.metrics, dump=self._dump),
            on_broken=lambda error: self.log.change("failed", error=repr(error)),
        )
        self._snapshot = None
        self._incarnation = UNKNOWN_START
        self._looks_begun = 0
        self._look_taken = 0
        self._asked_at = float("-inf")
        self._noticed = False
        self._weights_by_version = {}
        self._directive = None
        self._tasks = {}
        self._stopped = None
        self._engine_down = None

    async def run(self):
        """Work until SIGTERM.

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
            on_closed=self.entry_links.drop,
        )
        await self.operator.start()
        loops = [
            self._watch_engine(),
            self.entry_links.probe(),
            self.exchange.run(),
            self._read_alone(),
        ]
        self.exchange.spawn(self._introduce())
        tasks = [loop.create_task(item) for item in loops]
        self.log.change("started", role="agent", engine=self.settings.engine_address)
        try:
            # A loop that ends has met a broken invariant; the platform starts the
            # process again.
            await asyncio.wait(
                [self._stopped, *tasks], return_when=asyncio.FIRST_COMPLETED
            )
            for task in tasks:
                if task.done() and not task.cancelled():
                    self.log.change("loop_ended", error=repr(task.exception()))
        finally:
            for task in [*tasks, *self._tasks.values()]:
                task.cancel()
            server.close()
            self.exchange.close()
            self.operator.close()
            self.log.change("stopped")
            self.log.flush(monotonic() + FLUSH_TIME)
        return 0

    # Entry hosts and peers.

    def _on_frame(self, link, frame):
        if frame.directive is not None:
            self._on_directive(link, frame.directive)
        elif frame.manifest_ask is not None:
            self.manifests.answer(link, frame)
        elif frame.directive_ask is not None:
            self._answer_directive(link, frame)
        else:
            self.exchange.on_frame(link, frame)

    def _on_directive(self, link, directive):
        if not is_usable(directive):
            self.log.change("directive_unusable", directive=str(directive)[:200])
            return
        self.entry_links.take(link, directive)
        if directive.peers is not None:
            self._take_directive(directive)
        elif self._directive is not None:
            self._take_version(directive)
        self._tell()

    def _take_directive(self, directive):
        self._directive = directive
        self.model = directive.model
        self.exchange.origin_address = directive.origin_address
        size = directive.pieces * directive.piece_bytes
        self.upgrade.transfer_time = size / (self.settings.link_rate * LINK_SHARE)
        self.upgrade.version_bound = directive.version_bound_ms / 1000
        self._set_peers(directive.peers or ())
        self._take_version(directive)

    def _take_version(self, directive):
        now = contact_clock()
        version = directive.weights_version
        age = None if directive.age_ms is None else directive.age_ms / 1000
        before = self.upgrade.next_version()
        self.declared.add(
            DeclaredWeights(model=directive.model, version=version),
            at=UNKNOWN if age is None else now - age - self._link_delay(),
        )
        named = Named(version=version, at=now - (age or 0.0), is_dated=age is not None)
        self._step(named)
        if self.upgrade.next_version() != before:
            self.log.change("weights", version=version, age=age, before=before)

    def _set_peers(self, peers):
        by_name = {
            peer.address: Peer(
                failure_domain=peer.failure_domain,
                address=peer.address.rpartition(":")[0],
                port=self.settings.port,
            )
            for peer in peers
            if not peer.leaving or peer.address == self.settings.engine_address
        }
        # Whatever the list says at this address: an entry of another writer may put it
        # into another failure domain, and this host would not be among its own.
        own = self.settings.engine_address
        by_name[own] = Peer(
            failure_domain=self.settings.failure_domain,
            address=self.settings.ip,
            port=self.settings.port,
        )
        neighbours = sorted(
            name
            for name, peer in by_name.items()
            if peer.failure_domain == self.settings.failure_domain
        )
        self._step(Placed(position=neighbours.index(own)))
        self.exchange.set_peers(by_name)

    async def _read_alone(self):
        while True:
            await asyncio.sleep(READ_ALONE_EVERY * random.uniform(0.8, 1.2))
            untold_since = self.entry_links.untold_since
            if untold_since is None or monotonic() < untold_since + ALONE_AFTER:
                continue
            directive = await self.read_alone(self._directive)
            if is_failure(directive):
                self.log.change("platform_lost", reason=directive.reason)
            else:
                self.log.decision("read_alone", version=directive.weights_version)
                self._take_directive(directive)

    async def _introduce(self):
        """Ask neighbours what they were told, until an entry host tells it.

        An engine registers itself a second after its host started, and only then do
        entry hosts know of this agent; a second of a transfer of five.
        """
        while self._directive is None:
            peers = await self.read_alone.peers()
            if is_failure(peers):
                self.log.decision("introduction_failed", reason=peers.reason)
                peers = []
            near = [
                peer
                for peer in peers
                if peer.failure_domain == self.settings.failure_domain
                and peer.address != self.settings.engine_address
            ]
            for peer in random.sample(near, min(INTRODUCED_BY, len(near))):
                if await self._ask_directive(peer, peers):
                    return
            await asyncio.sleep(READ_ALONE_EVERY * random.uniform(0.8, 1.2))

    async def _ask_directive(self, peer, peers):
        ask = DirectiveAsk(failure_domain=self.settings.failure_domain)
        answer = await self.exchange.ask_at(
            peer.address.rpartition(":")[0],
            Frame(directive_ask=ask),
            timeout=INTRODUCTION_TIME,
        )
        if is_failure(answer) or answer.directive is None or self._directive:
            return self._directive is not None
        answer.directive.peers = peers
        if not is_usable(answer.directive):
            return False
        self.log.change("introduced", peer=peer.address)
        self._take_directive(answer.directive)
        return True

    def _answer_directive(self, link, frame):
        known = copy.copy(self._directive)
        if known is not None:
            known.weights_version = self.upgrade.next_version()
            age = age_of(self.declared.since(self.model), contact_clock())
            known.age_ms = None if age is None else int(1000 * age)
            known.peers = None
        link.send(Frame(call=-frame.call, directive=known))

    # The engine.

    async def _watch_engine(self):
        while True:
            await self._look()
            await asyncio.sleep(LOOK_EVERY)

    async def _look(self):
        self._looks_begun += 1
        number = self._looks_begun
        asked_at = contact_clock()
        seen = await self.engine.snapshot()
        if number < self._look_taken:
            # Answers on two connections overtake each other; the late one may be
            # of an earlier start, which would then be taken for the next one.
            return
        self._look_taken = number
        self._asked_at = asked_at
        down = is_failure(seen)
        if down != self._engine_down:
            self._engine_down = down
            self.log.change("engine_lost" if down else "engine_found")
        self._snapshot = None if down else seen
        if not down:
            self._take_start(seen.incarnation)
        self._step(self._engine_seen())
        self._tell()

    def _take_start(self, incarnation):
        """Begin anew if the engine has: its own word, so its times need no order.

        What was staged may be gone, and the order that a running install waits for
        is known to nobody; without this it is waited for as long as the slowest
        engine may take to load.
        """
        if incarnation.differs_from(self._incarnation):
            self.log.change(
                "engine_restarted",
                started_ms=incarnation.started_ms,
                before=self._incarnation.started_ms,
            )
            self.installer.forget()
            install = self._tasks.get("install")
            if install is not None:
                install.cancel()
            self._step(EngineRestarted())
        if incarnation.is_known:
            self._incarnation = incarnation

    def _engine_seen(self):
        seen = self._snapshot
        if seen is None:
            return EngineSeen(version=None, whole=False, busy=True)
        whole = seen.layers is not None and seen.layers[0] == 0
        return EngineSeen(version=seen.version, whole=whole, busy=seen.busy)

    def _link_delay(self):
        """Return the seconds that a message may wait on the way."""
        return self.entry_links.link.delay(monotonic())

    def _declared_ages(self):
        """Return what an entry host has to know that has just started.

        Its bounds are over soon after a declaration; older ones need no date.
        """
        now = contact_clock()
        youngest = now - self.upgrade.version_bound - TELL_BEYOND_BOUND
        return [
            DeclaredAge(
                version=version, age_ms=int(1000 * (now - at + self._link_delay()))
            )
            for version, at in self.declared.dated(self.model, youngest=youngest)
        ]

    def _is_serving(self):
        return self._snapshot is not None and self._snapshot.running > 0

    def _tell(self):
        if contact_clock() >= self._asked_at + STATE_VALID:
            # On waking, what entry hosts sent meanwhile is read before the engine is
            # asked again. They would take the load and the weights of before for
            # those of now; the next look tells them the truth.
            return
        now = monotonic()
        self.entry_links.tell(self._state(now), now)

    def _state(self, now):
        seen = self._snapshot
        contact_now = contact_clock()
        ready_at = self.upgrade.ready_at(contact_now)
        state = EngineState(
            endpoint_address=self.settings.engine_address,
            model=self.model,
            next_version=self.upgrade.next_version(),
            next_ready_ms=-1
            if ready_at is None
            else int((ready_at - contact_now) * 1000),
            loading=True,
            entry_hosts=len(self.entry_links),
            link_delay_ms=int(self._link_delay() * 1000),
            declared=self._declared_ages(),
        )
        if seen is not None:
            state.weights_version = seen.version
            state.layer_from, state.layer_to = seen.layers or (0, 0)
            state.running = seen.running
            state.waiting = seen.waiting
            state.loading = seen.busy or self._noticed
            state.pace = seen.pace
            state.started_ms = seen.incarnation.started_ms
        return state

    def _on_notice(self, noticed):
        self._noticed = noticed
        self._tell()

    # Weights.

    def _step(self, message):
        # A declaration binds also while this host is suspended.
        for outcome in self.upgrade.step(message, now=contact_clock()):
            if isinstance(outcome, Transfer):
                self._begin(f"get {outcome.version}", self._get(outcome))
            elif isinstance(outcome, Forget):
                self._drop(outcome.version)
            elif isinstance(outcome, Install):
                self._begin("install", self._install(outcome.version))

    def _begin(self, name, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._end(name, done))

    def _end(self, name, task):
        if self._tasks.get(name) is task:
            del self._tasks[name]
        if not task.cancelled() and task.exception() is not None:
            self.log.change("task_failed", task=name, error=repr(task.exception()))

    async def _get(self, transfer, distrusted=None):
        """Get a version; pieces of one whose digests were wrong are checked anew."""
        version = transfer.version
        weights = self._weights_by_version.get(version)
        if weights is None:
            digests = await self._manifest(version)
            weights = Weights(model=self.model, version=version, digests=digests)
            self._weights_by_version[version] = weights
            for index in distrusted.held() if distrusted is not None else ():
                weights.put(index, distrusted.get(index))
            found = await self.installer.recover(weights)
            self.log.change("transfer", version=version, found_staged=found)
            self._trim()
        self.exchange.want(weights, priority=transfer.priority)

    async def _manifest(self, version):
        while True:
            digests = await self.manifests.get(self.model, version)
            if not is_failure(digests):
                return digests
            self.log.decision("manifest_failed", version=version, reason=str(digests))
            await asyncio.sleep(random.uniform(*MANIFEST_PAUSE))

    def _on_distrusted(self, weights):
        self.log.change("digests_distrusted", weights=weights.name)
        self._weights_by_version.pop(weights.version, None)
        self.exchange.forget(weights.name)
        self.manifests.distrust(weights.name)
        transfer = Transfer(version=weights.version, priority=0)
        again = self._get(transfer, distrusted=weights)
        self._begin(f"get {weights.version}", again)

    def _on_piece(self, weights, index):
        if weights.version == self._stage_target():
            self._begin(f"stage {index}", self.installer.stage(weights, index))

    def _stage_target(self):
        """Return the version whose pieces lie at the engine: one at a time."""
        if "install" in self._tasks:
            return None
        current = self._engine_seen()
        for version in self.upgrade.targets():
            if version > (current.version or 0) or not current.whole:
                return version
        return None

    def _on_whole(self, weights):
        self.log.change("pieces_whole", weights=weights.name, bytes=self.metrics.dump())
        self._step(PiecesHeld(version=weights.version))

    async def _install(self, version):
        weights = self._weights_by_version.get(version)
        failure = None if weights is None else INSTALL_CANCELLED
        try:
            if weights is not None:
                failure = await self.installer.install(
                    weights, is_due=lambda: self._is_due(version)
                )
        finally:
            self.log.change("install_ended", version=version, failure=str(failure))
            try:
                # The next plan must see what the engine holds now, not a moment ago.
                await self._look()
            finally:
                # A restart of the engine may cancel the look. Were the end not told,
                # no version would be installed any more.
                self._step(InstallEnded(version=version))

    def _is_due(self, version):
        return self.upgrade.is_due(version, now=contact_clock())

    def _drop(self, version):
        task = self._tasks.get(f"get {version}")
        if task is not None:
            task.cancel()
        self.exchange.drop(weights_name(self.model, version))
        self.log.change("transfer_dropped", version=version)

    def _trim(self):
        wanted = set(self.upgrade.targets())
        spare = sorted(set(self._weights_by_version) - wanted)
        for version in spare[:-OLD_VERSIONS_KEPT]:
            weights = self._weights_by_version.pop(version)
            self.exchange.forget(weights.name)

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
            "upgrade": self.upgrade.dump(now=contact_clock()),
            "link": self.entry_links.link.dump(now=now),
            "swarm": self.exchange.swarm.dump(now=now),
            "metrics": self.metrics.dump(),
        }

    def _log_dump(self):
        self.log.change("dump", state=self._dump())
