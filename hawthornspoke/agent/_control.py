"""The agent's control actor: gate, transfers and deployment."""

import struct
import threading
from collections import deque

from loguru import logger

from hawthornspoke.agent._engine_actor import (
    DropStaged,
    EngineActor,
    LookAtEngine,
    RunEnded,
    StageChunk,
    run_request,
)
from hawthornspoke.agent._engine_ends import EngineEnds
from hawthornspoke.agent._fetch_actor import (
    FetchActor,
    GetManifest,
    ManifestFound,
    WorkerFree,
)
from hawthornspoke.agent._wanted import declared_items, transfer_options
from hawthornspoke.base import Failure, is_failure
from hawthornspoke.config import ServiceView
from hawthornspoke.deployment import (
    Deployment,
    DropTransfer,
    EngineSeen,
    OrderEnded,
    OrderLoad,
    OrderUnload,
    PermitRead,
    SetDeclared,
    StartTransfer,
    SwitchLive,
    Tick as DeploymentTick,
    TransferComplete,
    TransferRefused,
)
from hawthornspoke.gate import (
    Admit,
    Cancel,
    Drain,
    Finish,
    Gate,
    Refuse,
    SetLive,
    Start,
    Tick as GateTick,
)
from hawthornspoke.membership import STATIC_FIELDS, relay_targets
from hawthornspoke.node import ControlActor, connect_platform
from hawthornspoke.protocol import (
    PROTOCOL_VERSION,
    Announce,
    Datagram,
    Live,
    Member,
    Role,
)
from hawthornspoke.rollout import CHANGING, OLD, WAITING, HostState, may_change_over
from hawthornspoke.store import HostEntry
from hawthornspoke.swarm import (
    AnnounceChunks,
    Announced,
    AskHoldings,
    ChunkFailed,
    ChunkVerified,
    Complete,
    Drop,
    FetchFromOrigin,
    FetchFromPeer,
    Participants,
    PeerUnreachable,
    Swarm,
    Tick as SwarmTick,
    Want,
)

#: Seconds between two looks at the engine. A restarted engine refuses requests
#: for weights it has not loaded by itself; the look makes it whole again.
LOOK_EVERY = 1.0

#: Seconds after which a manifest that could not be had is tried again.
MANIFEST_RETRY = 1.0

STATE_BY_WARMING = {1: WAITING, 2: CHANGING}
SWARM_EVENTS = (ChunkVerified, ChunkFailed, Announced, PeerUnreachable)


class AgentControl(ControlActor):
    """Owns gate, swarm and deployment of one endpoint host.

    Parameters
    ----------
    settings : Settings
    socket : DatagramSocket
    metrics : Metrics
    store : ChunkStore
    engine : object
    link : Link
        Inward.
    """

    def __init__(self, *, settings, socket, metrics, store, engine, link):
        super().__init__(
            settings=settings, role="agent", socket=socket, metrics=metrics
        )
        self.store = store
        self.engine = engine
        self.engine_ends = EngineEnds(name=f"{settings['node']}@{self.incarnation}")
        self.link = link
        self.gate = Gate(slots=settings["slots"], queue_limit=settings["queue_limit"])
        self.swarm = Swarm(
            node=settings["node"],
            peer_slots=settings["peer_slots"],
            origin_slots=settings["origin_slots"],
            announce_every=float(settings["announce_every"]),
            stall_after=float(settings["stall_after"]),
        )
        self.deployment = Deployment(settle=float(settings["settle"]))
        self.run_by_id = {}
        self.services = []
        self.document = None
        self.source_by_digest = {}
        self.start_by_digest = {}
        self.engine_actor = None
        self.idle_workers = deque()
        self.waiting_work = deque()
        self.look_deadline = 0.0
        self.looking = False
        self.manifest_deadline_by_digest = {}
        self.live_since_by_key = {}
        self.static_fields = None
        self.static_seq = 0

    def on_start(self):
        """Start the actors that wait for engine, peers and platform."""
        super().on_start()
        self.engine_actor = EngineActor.start(
            engine=self.engine, store=self.store, control=self.actor_ref
        )
        clients = connect_platform(self.settings.platform)
        workers = self.settings["peer_slots"] + self.settings["origin_slots"] + 1
        for _ in range(workers):
            worker = FetchActor.start(
                node=self.settings["node"],
                store=self.store,
                link=self.link,
                clients=clients,
                source_by_digest=self.source_by_digest,
                metrics=self.metrics,
                control=self.actor_ref,
            )
            self.idle_workers.append(worker)

    def on_role_message(self, message, *, now):
        """Take what engine, transfers and requests report."""
        if isinstance(message, SWARM_EVENTS):
            if isinstance(message, ChunkVerified):
                # The engine has it long before the last chunk is here.
                staged = StageChunk(digest=message.digest, index=message.index)
                self.engine_actor.tell(staged)
            self._step_swarm(message, now)
        elif isinstance(message, WorkerFree):
            self.idle_workers.append(message.worker)
            self._assign()
        elif isinstance(message, RunEnded):
            self._step_gate(Finish(request_id=message.request_id), now)
        elif isinstance(message, EngineSeen):
            self.looking = False
            self._step_deployment(message, now)
        elif isinstance(message, OrderEnded):
            self._step_deployment(message, now)
        elif isinstance(message, ManifestFound):
            self._manifest_found(message, now)

    # Calls of the request tasks.

    def submit(self, *, run, now):
        """Pass a request through the gate; return the revision heard of."""
        request_id = run.submit.request_id
        if request_id in self.run_by_id:
            run.refuse(Failure(code="duplicate", reason="request id seen before"))
            return self.core.holder.heard_revision
        self.run_by_id[request_id] = run
        admit = Admit(
            request_id=request_id,
            service=run.submit.service_name,
            digest=run.submit.digest or "",
            urgency=run.submit.priority if run.submit.priority is not None else 3,
            deadline=run.deadline,
        )
        self._step_gate(admit, now)
        return self.core.holder.heard_revision

    def cancel(self, *, request_id, now):
        """Forget a request whose caller is gone."""
        run = self.run_by_id.pop(request_id, None)
        if run is not None:
            run.cancel()
        self._step_gate(Cancel(request_id=request_id), now)

    def forget_run(self, *, request_id, now):
        """Forget a request whose last event has been handed over."""
        self.run_by_id.pop(request_id, None)

    def load_counts(self, *, now):
        """Return running and waiting requests."""
        return len(self.gate.running_by_id), len(self.gate.waiting_by_id)

    def problems(self):
        """Return what keeps this host from its declared state, by key."""
        refused = self.deployment.refused_by_digest
        return {
            key: refused[item.digest]
            for key, item in self.deployment.declared_by_key.items()
            if item.digest in refused
        }

    def is_idle(self, *, now):
        """Tell whether nothing runs and all events have been handed over."""
        return not self.gate.running_by_id and not self.run_by_id

    def is_ready(self, *, now):
        """Tell whether everything declared for this host is live."""
        declared = self.deployment.declared_by_key
        live = self.gate.live_by_service
        confirmed = self.core.holder.confirmed(now=now)
        whole = all(live.get(key) == item.digest for key, item in declared.items())
        return confirmed and whole and not self.leaving

    # What the base calls.

    def put_in_force(self, document, *, now):
        """Take what is declared for this host."""
        self.document = document
        node = self.settings["node"]
        views = [
            ServiceView(name=name, table=table)
            for name, table in document["services"].items()
        ]
        kind = self.settings["engine_kind"]
        self.services = [
            view for view in views if view.kind == kind and view.runs_on(node)
        ]
        items = declared_items(self.services)
        for item in items:
            if item.source:
                self.source_by_digest[item.digest] = item.source
        self._drop_unneeded()
        self._step_deployment(SetDeclared(items=tuple(items)), now)
        self._set_plain_live(now)
        self.hosts_changed(now=now)

    def hosts_changed(self, *, now):
        """Take changed hosts into running transfers."""
        for digest in list(self.swarm.by_digest):
            message = Participants(
                digest=digest,
                participants=self._participants(digest),
                region_by_domain=self._regions(),
            )
            self._step_swarm(message, now)

    def role_tick(self, *, now):
        """Look at the engine, and let the machines see the time."""
        if now >= self.look_deadline and not self.looking:
            self.look_deadline = now + LOOK_EVERY
            self.looking = True
            self.engine_actor.tell(LookAtEngine())
        self._step_gate(GateTick(), now)
        self._step_swarm(SwarmTick(), now)
        if self.deployment.phase:
            self._step_deployment(PermitRead(allowed=self._is_permitted()), now)
        running = {}
        for item in self.gate.running_by_id.values():
            digest = item.admit.digest
            running[digest] = running.get(digest, 0) + 1
        self._step_deployment(DeploymentTick(running_by_digest=running), now)
        self._retry_manifests(now)
        self._cancel_unread(now)

    def send_heartbeat(self, *, now):
        """Report to the relays of the own failure domain."""
        entries = self.core.reachable_entries()
        targets = relay_targets(
            node=self.settings["node"],
            failure_domain=self.settings["failure_domain"],
            entries=entries,
        )
        datagram = self.core.gossip(self.own_member(now=now), reply_wanted=True)
        self.socket.send(datagram, [(view.address, view.port) for view in targets])

    def on_announce(self, announce, *, now):
        """Take a peer's news of chunks."""
        indices = struct.unpack(
            f"<{len(announce.indices or b'') // 4}I", announce.indices or b""
        )
        message = Announced(
            digest=announce.digest or "",
            node=announce.node or "",
            indices=indices,
            held=announce.held or 0,
        )
        self._step_swarm(message, now)

    def drain(self, reason, *, now):
        """Refuse new work from now on; tell the entry hosts at once."""
        super().drain(reason, now=now)
        self._step_gate(Drain(), now)

    def dump(self, *, now):
        """Return the whole state as plain data."""
        return {
            **super().dump(now=now),
            "gate": self.gate.dump(now=now),
            "swarm": self.swarm.dump(now=now),
            "deployment": self.deployment.dump(now=now),
            "store": self.store.dump(),
            "progress": self._progress(),
            "live_since_by_key": dict(self.live_since_by_key),
            "link_bytes_in": self.link.sent,
        }

    # Acting on outcomes.

    def _step_gate(self, message, now):
        for outcome in self.gate.step(message, now=now):
            if isinstance(outcome, Start):
                self._start_run(outcome.request_id)
            elif isinstance(outcome, Refuse):
                run = self.run_by_id.get(outcome.request_id)
                if run is not None:
                    live = self.gate.live_by_service.get(run.submit.service_name)
                    run.refuse(outcome.failure, live=live)

    def _start_run(self, request_id):
        run = self.run_by_id[request_id]
        threading.Thread(
            target=run_request,
            kwargs={
                "run": run,
                "engine": self.engine,
                "ends": self.engine_ends,
                "control": self.actor_ref,
            },
            name="run",
            daemon=True,
        ).start()

    def _step_deployment(self, message, now):
        for outcome in self.deployment.step(message, now=now):
            if isinstance(outcome, StartTransfer):
                self.start_by_digest[outcome.digest] = outcome
                self._get_manifest(outcome.digest, now)
            elif isinstance(outcome, DropTransfer):
                self._drop_transfer(outcome.digest, now)
            elif isinstance(outcome, (OrderLoad, OrderUnload)):
                self.engine_actor.tell(outcome)
            elif isinstance(outcome, SwitchLive):
                self._switch(outcome, now)

    def _switch(self, outcome, now):
        shown = "nothing" if outcome.digest is None else outcome.digest[:12]
        logger.info("{} is answered by {}", outcome.key, shown)
        self.metrics.count("live_switches_total")
        self.live_since_by_key[outcome.key] = now
        message = SetLive(service=outcome.key, digest=outcome.digest)
        self._step_gate(message, now)
        # The entry hosts should know now, not at the next heartbeat.
        self.core.heartbeat_deadline = now

    def _step_swarm(self, message, now):
        for outcome in self.swarm.step(message, now=now):
            if isinstance(outcome, (FetchFromOrigin, FetchFromPeer, AskHoldings)):
                self._give_work(outcome)
            elif isinstance(outcome, AnnounceChunks):
                self._announce(outcome)
            elif isinstance(outcome, Complete):
                logger.info(
                    "weights {} are whole after {:.2f} s",
                    outcome.digest[:12],
                    outcome.elapsed,
                )
                size = self.store.manifest(outcome.digest).size
                message = TransferComplete(digest=outcome.digest, size=size)
                self._step_deployment(message, now)

    def _give_work(self, work):
        self.waiting_work.append(work)
        self._assign()

    def _assign(self):
        while self.waiting_work and self.idle_workers:
            self.idle_workers.popleft().tell(self.waiting_work.popleft())

    def _announce(self, outcome):
        announce = Announce(
            version=PROTOCOL_VERSION,
            revision=self.core.holder.heard_revision,
            node=self.settings["node"],
            digest=outcome.digest,
            indices=struct.pack(f"<{len(outcome.indices)}I", *outcome.indices),
            held=outcome.held,
        )
        self.socket.send(Datagram(announce=announce), outcome.targets)

    # Transfers.

    def _get_manifest(self, digest, now):
        self.manifest_deadline_by_digest[digest] = now + MANIFEST_RETRY
        if self.store.is_complete(digest):
            size = self.store.manifest(digest).size
            message = TransferComplete(digest=digest, size=size)
            self._step_deployment(message, now)
            del self.manifest_deadline_by_digest[digest]
            return
        peers = tuple(
            (entry.address, entry.port)
            for name, entry in self._participants(digest).items()
            if name != self.settings["node"]
        )
        self._give_work(GetManifest(digest=digest, peers=peers))

    def _retry_manifests(self, now):
        for digest, deadline in list(self.manifest_deadline_by_digest.items()):
            if now >= deadline:
                self._get_manifest(digest, now)

    def _manifest_found(self, message, now):
        digest = message.digest
        if digest not in self.manifest_deadline_by_digest:
            return
        if is_failure(message.manifest):
            return
        del self.manifest_deadline_by_digest[digest]
        refusal = self._make_room(message.manifest)
        if refusal is not None:
            logger.warning("weights {}: {}", digest[:12], refusal)
            message = TransferRefused(digest=digest, reason=refusal.reason)
            self._step_deployment(message, now)
            return
        start = self.start_by_digest[digest]
        want = Want(
            digest=digest,
            chunks=len(message.manifest.chunks),
            size=message.manifest.size,
            held=tuple(self.store.indices(digest)),
            participants=self._participants(digest),
            region_by_domain=self._regions(),
            priority=start.priority,
            **transfer_options(self.document),
        )
        self._step_swarm(want, now)

    def _make_room(self, manifest):
        """Reserve memory, giving up weights that are only kept for a rollback."""
        refusal = self.store.reserve(manifest)
        needed = self._needed()
        for digest in self.store.digests():
            if refusal is None:
                return None
            if digest not in needed:
                self._forget(digest)
                refusal = self.store.reserve(manifest)
        return refusal

    def _needed(self):
        needed = {item.digest for item in self.deployment.declared_by_key.values()}
        needed |= set(self.gate.live_by_service.values())
        return needed

    def _forget(self, digest):
        self.store.drop(digest)
        self.swarm.by_digest.pop(digest, None)
        self.deployment.forget_digest(digest)

    def _drop_transfer(self, digest, now):
        """Stop a superseded transfer at once; whole weights are kept."""
        self.manifest_deadline_by_digest.pop(digest, None)
        self._step_swarm(Drop(digest=digest), now)
        self.waiting_work = deque(
            work for work in self.waiting_work if work.digest != digest
        )
        if not self.store.is_complete(digest):
            self.store.drop(digest)
        self.engine_actor.tell(DropStaged(digest=digest))

    def _drop_unneeded(self):
        """Keep only the weights that a rollback may name."""
        kept = set()
        for view in self.services:
            kept |= {*view.wanted_digests(), *view.previous}
        kept |= set(self.gate.live_by_service.values())
        for digest in self.store.digests():
            if digest not in kept and self.store.is_complete(digest):
                self._forget(digest)

    def _participants(self, digest):
        """Return all hosts that have to load some weights, this one too."""
        views = [view for view in self.services if digest in view.wanted_digests()]
        settings = self.settings
        own = HostEntry(
            host=settings["node"],
            role="agent",
            failure_domain=settings["failure_domain"],
            address=settings["address"],
            port=settings["port"],
            leaving=self.leaving,
        )
        participants = {own.host: own}
        for entry in self.core.host_entries:
            if entry.role != "agent" or entry.leaving or entry.host in participants:
                continue
            if any(view.runs_on(entry.host) for view in views):
                participants[entry.host] = entry
        return participants

    def _regions(self):
        domains = (self.document or {}).get("failure_domains", {})
        return {name: table["region"] for name, table in domains.items()}

    # Own state.

    def _set_plain_live(self, now):
        if self.settings["engine_kind"] != "plain":
            return
        names = {view.name for view in self.services}
        for name in set(self.gate.live_by_service) - names:
            self._step_gate(SetLive(service=name, digest=None), now)
        for name in names:
            self._step_gate(SetLive(service=name, digest=""), now)

    def _is_permitted(self):
        node = self.settings["node"]
        phase = self.deployment.phase
        states = [HostState(node=node, state=STATE_BY_WARMING[phase])]
        limit = min(view.table.get("max_unavailable", 1) for view in self.services)
        mine = set(self._progress())
        for view in self.core.membership.nodes(role="agent"):
            if mine & set(view.member.progress or {}):
                state = STATE_BY_WARMING.get(view.member.warming or 0, OLD)
                states.append(HostState(node=view.node, state=state))
        return may_change_over(
            node=node,
            digest=str(self.core.holder.revision),
            hosts=states,
            max_unavailable=limit,
        )

    def _progress(self):
        return self.deployment.progress(self.swarm.progress())

    def _cancel_unread(self, now):
        for request_id, run in list(self.run_by_id.items()):
            if run.is_unread(now=now):
                # The entry host died or was cut off: nobody will read the rest,
                # and the engine's slot is needed.
                self.metrics.count("runs_unread_total")
                self.cancel(request_id=request_id, now=now)

    def own_member(self, *, now):
        """Return this node's state as it is gossiped."""
        settings = self.settings
        live = [
            Live(service_name=name, digest=digest)
            for name, digest in sorted(self.gate.live_by_service.items())
        ]
        member = Member(
            node=settings["node"],
            role=Role.AGENT,
            failure_domain=settings["failure_domain"],
            address=settings["address"],
            port=settings["port"],
            incarnation=self.incarnation,
            seq=self.seq,
            leaving=self.leaving or None,
            live=live or None,
            running=len(self.gate.running_by_id),
            queued=len(self.gate.waiting_by_id),
            slots=self.gate.slots,
            revision=self.core.holder.revision,
            progress=self._progress() or None,
            warming=self.deployment.phase or None,
        )
        static = [getattr(member, name) for name in STATIC_FIELDS]
        if static != self.static_fields:
            self.static_fields = static
            self.static_seq = self.seq
        member.static_seq = self.static_seq
        return member
