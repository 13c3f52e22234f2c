"""Control actor of the agent: admission gate, weight transfers and deployment."""

import struct
import threading
from collections import deque

from loguru import logger

from hawthornspoke.agent._engine_actor import (
    DropStaged,
    EngineActor,
    EngineSilent,
    ReadEngineState,
    RunEnded,
    StageChunk,
    run_request,
)
from hawthornspoke.agent._engine_exits import EngineExits
from hawthornspoke.agent._fetch_actor import (
    FetchActor,
    GetManifest,
    ManifestFound,
    WorkerIdle,
)
from hawthornspoke.agent._required_weights import required_weights, transfer_options
from hawthornspoke.base import Failure, is_failure
from hawthornspoke.config import ServiceView
from hawthornspoke.deployment import (
    CancelTransfer,
    Deployment,
    EngineStateUpdated,
    OrderEnded,
    OrderLoad,
    OrderUnload,
    SetDeclaredWeights,
    StartTransfer,
    SwapPermitUpdated,
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
from hawthornspoke.membership import STATIC_FIELDS, probe_targets, relay_targets
from hawthornspoke.node import ControlActor, connect_platform
from hawthornspoke.protocol import (
    PROTOCOL_VERSION,
    Announce,
    Datagram,
    Live,
    Member,
    Role,
)
from hawthornspoke.rollout import CHANGING, OLD, WAITING, HostState, may_swap_weights
from hawthornspoke.store import HostEntry
from hawthornspoke.swarm import (
    AllChunksVerified,
    AnnounceChunks,
    ChunkFailed,
    ChunkVerified,
    FetchFromOrigin,
    FetchFromPeer,
    ParticipantsChanged,
    PeerAnnounced,
    PeerUnreachable,
    QueryHoldings,
    Swarm,
    Tick as SwarmTick,
    TransferCancelled,
    TransferRequested,
)

#: Seconds between reads of the engine's state. A restarted engine rejects requests
#: for weights that it has not loaded; reading its state triggers loading them again.
ENGINE_STATE_INTERVAL = 1.0

#: Seconds before a failed fetch of a manifest is retried.
MANIFEST_RETRY_DELAY = 1.0

#: Rollout state of a host by the value of ``warming`` in its gossip record.
STATE_BY_WARMING = {1: WAITING, 2: CHANGING}
SWARM_EVENTS = (ChunkVerified, ChunkFailed, PeerAnnounced, PeerUnreachable)


class AgentControl(ControlActor):
    """Owns an endpoint host's admission gate, chunk transfers and loading of weights.

    Parameters
    ----------
    settings : Settings
    socket : DatagramSocket
    metrics : Metrics
    store : ChunkStore
    engine : object
    link : LinkRateLimiter
        Rate limiter for incoming chunks.
    """

    def __init__(self, *, settings, socket, metrics, store, engine, link):
        super().__init__(
            settings=settings, role="agent", socket=socket, metrics=metrics
        )
        self.store = store
        self.engine = engine
        self.engine_exits = EngineExits(name=f"{settings['node']}@{self.incarnation}")
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
        self.start_transfer_by_digest = {}
        self.engine_actor = None
        self.idle_workers = deque()
        self.pending_fetches = deque()
        self.engine_state_deadline = 0.0
        self.reading_engine_state = False
        self.manifest_deadline_by_digest = {}
        self.live_since_by_key = {}
        self.static_fields = None
        self.static_seq = 0

    def on_start(self):
        """Start the actors that make blocking calls to engine, peers and platform."""
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
        """Handle messages from the engine actor, fetch actors and request threads."""
        if isinstance(message, SWARM_EVENTS):
            if isinstance(message, ChunkVerified):
                # Send each chunk to the engine at once, while others are transferred.
                stage_order = StageChunk(digest=message.digest, index=message.index)
                self.engine_actor.tell(stage_order)
            self._step_swarm(message, now)
        elif isinstance(message, WorkerIdle):
            self.idle_workers.append(message.worker)
            self._dispatch_fetches()
        elif isinstance(message, RunEnded):
            self._step_gate(Finish(request_id=message.request_id), now)
        elif isinstance(message, EngineStateUpdated):
            self.reading_engine_state = False
            self._step_deployment(message, now)
        elif isinstance(message, EngineSilent):
            self.reading_engine_state = False
        elif isinstance(message, OrderEnded):
            self._step_deployment(message, now)
        elif isinstance(message, ManifestFound):
            self._manifest_found(message, now)

    # Called through Call messages by the Thrift handler and the process.

    def submit(self, *, run, now):
        """Submit a request to the gate; return the highest known revision."""
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
        """Cancel a request whose caller has disconnected."""
        run = self.run_by_id.pop(request_id, None)
        if run is not None:
            run.cancel()
        self._step_gate(Cancel(request_id=request_id), now)

    def forget_run(self, *, request_id, now):
        """Remove a request whose last event has been returned to the entry host."""
        self.run_by_id.pop(request_id, None)

    def load_counts(self, *, now):
        """Return the numbers of running and queued requests."""
        return len(self.gate.running_by_id), len(self.gate.waiting_by_id)

    def problems(self):
        """Return why declared weights were refused, by ``ServiceView.live_key``."""
        refused = self.deployment.refused_by_digest
        return {
            key: refused[item.digest]
            for key, item in self.deployment.declared_by_key.items()
            if item.digest in refused
        }

    def is_idle(self, *, now):
        """Return whether nothing runs and entry hosts have read all response events."""
        return not self.gate.running_by_id and not self.run_by_id

    def is_ready(self, *, now):
        """Return whether all weights declared for this host are live."""
        declared = self.deployment.declared_by_key
        live = self.gate.live_by_service
        confirmed = self.core.holder.confirmed(now=now)
        all_live = all(live.get(key) == item.digest for key, item in declared.items())
        return confirmed and all_live and not self.leaving

    # Overrides of ControlActor.

    def apply_document(self, document, *, now):
        """Apply the services that a document declares for this host."""
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
        items = required_weights(self.services)
        for item in items:
            if item.source:
                self.source_by_digest[item.digest] = item.source
        self._evict_unneeded()
        self._step_deployment(SetDeclaredWeights(items=tuple(items)), now)
        self._set_plain_live(now)
        self.on_hosts_changed(now=now)

    def on_hosts_changed(self, *, now):
        """Update the hosts that take part in running transfers."""
        for digest in list(self.swarm.transfer_by_digest):
            message = ParticipantsChanged(
                digest=digest,
                participants=self._participants(digest),
                region_by_domain=self._regions(),
            )
            self._step_swarm(message, now)

    def role_tick(self, *, now):
        """Read the engine's state if it is due and advance the state machines."""
        if now >= self.engine_state_deadline and not self.reading_engine_state:
            self.engine_state_deadline = now + ENGINE_STATE_INTERVAL
            self.reading_engine_state = True
            self.engine_actor.tell(ReadEngineState())
        self._step_gate(GateTick(), now)
        self._step_swarm(SwarmTick(), now)
        if self.deployment.phase:
            self._step_deployment(
                SwapPermitUpdated(allowed=self._is_swap_allowed()), now
            )
        running = {}
        for item in self.gate.running_by_id.values():
            digest = item.request.digest
            running[digest] = running.get(digest, 0) + 1
        self._step_deployment(DeploymentTick(running_by_digest=running), now)
        self._retry_manifests(now)
        self._cancel_unread(now)

    def send_heartbeat(self, *, now):
        """Send this node's state to the entry hosts that relay it to the others."""
        entries = self.core.reachable_entries()
        targets = relay_targets(
            node=self.settings["node"],
            failure_domain=self.settings["failure_domain"],
            entries=entries,
        )
        targets += probe_targets(
            node=self.settings["node"],
            failure_domain=self.settings["failure_domain"],
            entries=entries,
            silent=self.core.silent_entries(),
            round_number=self.seq,
        )
        datagram = self.core.gossip(self.own_member(now=now), reply_wanted=True)
        self.socket.send(datagram, [(view.address, view.port) for view in targets])

    def on_announce(self, announce, *, now):
        """Handle a peer's announcement of the chunks that it holds."""
        indices = struct.unpack(
            f"<{len(announce.indices or b'') // 4}I", announce.indices or b""
        )
        message = PeerAnnounced(
            digest=announce.digest or "",
            node=announce.node or "",
            indices=indices,
            held=announce.held or 0,
        )
        self._step_swarm(message, now)

    def drain(self, reason, *, now):
        """Reject new requests from now on, and tell the entry hosts immediately."""
        super().drain(reason, now=now)
        self._step_gate(Drain(), now)

    def dump(self, *, now):
        """Return the state as JSON-serializable data."""
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

    # Outcomes of the state machines.

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
                "exits": self.engine_exits,
                "control": self.actor_ref,
            },
            name="run",
            daemon=True,
        ).start()

    def _step_deployment(self, message, now):
        for outcome in self.deployment.step(message, now=now):
            if isinstance(outcome, StartTransfer):
                self.start_transfer_by_digest[outcome.digest] = outcome
                self._get_manifest(outcome.digest, now)
            elif isinstance(outcome, CancelTransfer):
                self._drop_transfer(outcome.digest, now)
            elif isinstance(outcome, (OrderLoad, OrderUnload)):
                self.engine_actor.tell(outcome)
            elif isinstance(outcome, SwitchLive):
                self._switch_live(outcome, now)

    def _switch_live(self, outcome, now):
        live_digest = "nothing" if outcome.digest is None else outcome.digest[:12]
        logger.info("{}: live weights are now {}", outcome.key, live_digest)
        self.metrics.count("live_switches_total")
        self.live_since_by_key[outcome.key] = now
        message = SetLive(service=outcome.key, digest=outcome.digest)
        self._step_gate(message, now)
        # Send a heartbeat immediately, so that entry hosts route by the new state.
        self.core.heartbeat_deadline = now

    def _step_swarm(self, message, now):
        for outcome in self.swarm.step(message, now=now):
            if isinstance(outcome, (FetchFromOrigin, FetchFromPeer, QueryHoldings)):
                self._enqueue_fetch(outcome)
            elif isinstance(outcome, AnnounceChunks):
                self._announce(outcome)
            elif isinstance(outcome, AllChunksVerified):
                logger.info(
                    "weights {}: all chunks verified after {:.2f} s",
                    outcome.digest[:12],
                    outcome.elapsed,
                )
                size = self.store.manifest(outcome.digest).size
                message = TransferComplete(digest=outcome.digest, size=size)
                self._step_deployment(message, now)

    def _enqueue_fetch(self, fetch):
        self.pending_fetches.append(fetch)
        self._dispatch_fetches()

    def _dispatch_fetches(self):
        while self.pending_fetches and self.idle_workers:
            self.idle_workers.popleft().tell(self.pending_fetches.popleft())

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
        self.manifest_deadline_by_digest[digest] = now + MANIFEST_RETRY_DELAY
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
        self._enqueue_fetch(GetManifest(digest=digest, peers=peers))

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
        rejection = self._reserve_memory(message.manifest)
        if rejection is not None:
            logger.warning("weights {}: transfer refused: {}", digest[:12], rejection)
            message = TransferRefused(digest=digest, reason=rejection.reason)
            self._step_deployment(message, now)
            return
        start_transfer = self.start_transfer_by_digest[digest]
        transfer_request = TransferRequested(
            digest=digest,
            chunks=len(message.manifest.chunks),
            size=message.manifest.size,
            held=tuple(self.store.indices(digest)),
            participants=self._participants(digest),
            region_by_domain=self._regions(),
            priority=start_transfer.priority,
            **transfer_options(self.document),
        )
        self._step_swarm(transfer_request, now)

    def _reserve_memory(self, manifest):
        """Reserve memory for a transfer; evict weights only kept for a rollback."""
        rejection = self.store.reserve(manifest)
        needed = self._needed_digests()
        for digest in self.store.digests():
            if rejection is None:
                return None
            if digest not in needed:
                self._evict(digest)
                rejection = self.store.reserve(manifest)
        return rejection

    def _needed_digests(self):
        needed = {item.digest for item in self.deployment.declared_by_key.values()}
        needed |= set(self.gate.live_by_service.values())
        return needed

    def _evict(self, digest):
        self.store.drop(digest)
        self.swarm.transfer_by_digest.pop(digest, None)
        self.deployment.remove_stored_weights(digest)

    def _drop_transfer(self, digest, now):
        """Cancel a transfer that is no longer needed; complete weights are kept."""
        self.manifest_deadline_by_digest.pop(digest, None)
        self._step_swarm(TransferCancelled(digest=digest), now)
        self.pending_fetches = deque(
            fetch for fetch in self.pending_fetches if fetch.digest != digest
        )
        if not self.store.is_complete(digest):
            self.store.drop(digest)
        self.engine_actor.tell(DropStaged(digest=digest))

    def _evict_unneeded(self):
        """Evict complete weights that are not declared, live or kept for a rollback."""
        kept = set()
        for view in self.services:
            kept |= {*view.required_digests(), *view.previous}
        kept |= set(self.gate.live_by_service.values())
        for digest in self.store.digests():
            if digest not in kept and self.store.is_complete(digest):
                self._evict(digest)

    def _participants(self, digest):
        """Return all hosts that have to load the weights, including this one."""
        views = [view for view in self.services if digest in view.required_digests()]
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

    # Local state.

    def _set_plain_live(self, now):
        if self.settings["engine_kind"] != "plain":
            return
        names = {view.name for view in self.services}
        for name in set(self.gate.live_by_service) - names:
            self._step_gate(SetLive(service=name, digest=None), now)
        for name in names:
            self._step_gate(SetLive(service=name, digest=""), now)

    def _is_swap_allowed(self):
        node = self.settings["node"]
        phase = self.deployment.phase
        states = [HostState(node=node, state=STATE_BY_WARMING[phase])]
        limit = min(view.table.get("max_unavailable", 1) for view in self.services)
        own_keys = set(self._progress())
        for view in self.core.membership.nodes(role="agent"):
            if own_keys & set(view.member.progress or {}):
                state = STATE_BY_WARMING.get(view.member.warming or 0, OLD)
                states.append(HostState(node=view.node, state=state))
        return may_swap_weights(
            node=node,
            ranking_key=str(self.core.holder.revision),
            hosts=states,
            max_unavailable=limit,
        )

    def _progress(self):
        return self.deployment.progress(self.swarm.progress())

    def _cancel_unread(self, now):
        for request_id, run in list(self.run_by_id.items()):
            if run.is_unread(now=now):
                # The entry host died or is unreachable, so nobody will read the
                # response. Cancelling frees the request's slot at the engine.
                self.metrics.count("runs_unread_total")
                self.cancel(request_id=request_id, now=now)

    def own_member(self, *, now):
        """Return this node's state for gossip messages."""
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
