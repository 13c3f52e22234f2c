"""Transfer planner of one host, as a pure state machine.

Weights are split into chunks. Each chunk has some owners, in an order: the first one
reads it from the origin, and the next one takes over if that one stalls. All other
hosts fetch it from peers.
"""

import itertools

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.swarm._messages import (
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
    Tick,
    TransferCancelled,
    TransferRequested,
)
from hawthornspoke.swarm._transfer import Participant, Transfer

#: Message classes that the machine handles.
MESSAGES = (
    PeerAnnounced,
    ChunkFailed,
    ChunkVerified,
    TransferCancelled,
    ParticipantsChanged,
    PeerUnreachable,
    Tick,
    TransferRequested,
)

#: Maximum number of weights, by digest, for which announcements of peers are stored
#: before this host starts to transfer these weights.
MAX_EARLY_DIGESTS = 4

#: Minimum seconds between two holdings queries of a transfer.
QUERY_INTERVAL = 0.25

#: Corrupt chunks after which a peer is avoided for CORRUPT_PEER_BACKOFF seconds, in
#: practice for the rest of the transfer.
CORRUPT_LIMIT = 2
CORRUPT_PEER_BACKOFF = 3600.0


@MACHINES.register("swarm")
class Swarm(Machine):
    """Decides which chunks to fetch from which source, and which peers to notify.

    Parameters
    ----------
    node : str, default="node"
        Name of this host.
    peer_slots : int, default=8
        Maximum concurrent fetches from peers.
    origin_slots : int, default=2
        Maximum concurrent fetches from the origin.
    announce_every : float, default=0.5
        Seconds over which new chunks are batched into one announcement.
    stall_after : float, default=3.0
        Minimum seconds for which a chunk's owner, the host that has to read it from the
        origin, announces nothing new before the next owner takes over.
    avoid_for : float, default=1.0
        Seconds for which a peer is avoided after a failed fetch.
    origin_avoid_for : float, default=1.0
        Seconds for which the origin is avoided after a failed fetch. An announcement of
        a chunk that no host held before ends this period early.
    seed : int, default=0
        Seed of the order in which missing chunks are fetched.
    """

    __slots__ = (
        "node",
        "peer_slots",
        "origin_slots",
        "announce_every",
        "stall_after",
        "avoid_for",
        "origin_avoid_for",
        "seed",
        "transfer_by_digest",
        "_early_announcements",
        "_peer_fetches",
        "_origin_fetches",
        "_origin_avoid_deadline",
        "failed_by_cause",
    )
    PARAMS = {
        "node": Bounds(kind=str),
        "peer_slots": Bounds(kind=int, low=1),
        "origin_slots": Bounds(kind=int, low=1),
        "announce_every": Bounds(kind=(int, float), low=0),
        "stall_after": Bounds(kind=(int, float), low=0.01),
        "avoid_for": Bounds(kind=(int, float), low=0),
        "origin_avoid_for": Bounds(kind=(int, float), low=0),
        "seed": Bounds(kind=int),
    }

    def __init__(
        self,
        *,
        node="node",
        peer_slots=8,
        origin_slots=2,
        announce_every=0.5,
        stall_after=3.0,
        avoid_for=1.0,
        origin_avoid_for=1.0,
        seed=0,
    ):
        self.node = node
        self.peer_slots = peer_slots
        self.origin_slots = origin_slots
        self.announce_every = announce_every
        self.stall_after = stall_after
        self.avoid_for = avoid_for
        self.origin_avoid_for = origin_avoid_for
        self.seed = seed
        self.transfer_by_digest = {}
        self._early_announcements = {}
        self._peer_fetches = 0
        self._origin_fetches = 0
        self._origin_avoid_deadline = 0.0
        self.failed_by_cause = {}

    def on_transfer_requested(self, message, *, now):
        """Start a transfer.

        Parameters
        ----------
        message : TransferRequested
        now : float

        Returns
        -------
        list
        """
        if message.digest in self.transfer_by_digest:
            return []
        transfer = Transfer(
            node=self.node,
            digest=message.digest,
            chunks=message.chunks,
            size=message.size,
            priority=message.priority,
            strategy=message.strategy,
            origin_copies=message.origin_copies,
            origin_scope=message.origin_scope,
            stall_after=self.stall_after,
            seed=self.seed,
            now=now,
        )
        self.transfer_by_digest[message.digest] = transfer
        hosts = _participants(message.participants, message.region_by_domain)
        transfer.set_participants(hosts, now=now)
        for index in message.held:
            transfer.mark_held(index, now=now, injected=True)
        for early in self._early_announcements.pop(message.digest, {}).values():
            transfer.record_holdings(early.node, early.indices, early.held, now=now)
        outcomes = [AllChunksVerified(digest=message.digest, elapsed=0.0)]
        if not transfer.complete:
            outcomes = self._query_peers(transfer, count=2, now=now)
        return outcomes + self._plan(now=now)

    def on_participants_changed(self, message, *, now):
        """Update the set of participating hosts."""
        transfer = self.transfer_by_digest.get(message.digest)
        if transfer is None or self.node not in message.participants:
            return []
        hosts = _participants(message.participants, message.region_by_domain)
        transfer.set_participants(hosts, now=now)
        return self._plan(now=now)

    def on_transfer_cancelled(self, message, *, now):
        """Stop a transfer; results of its in-flight fetches are ignored."""
        transfer = self.transfer_by_digest.pop(message.digest, None)
        if transfer is not None:
            for source in transfer.in_flight_by_index.values():
                self._release(transfer, source)
        return self._plan(now=now)

    def on_peer_announced(self, message, *, now):
        """Record the chunks a peer has announced and fetch those that are missing."""
        transfer = self.transfer_by_digest.get(message.digest)
        if transfer is None:
            self._store_early_announcement(message)
            return []
        transfer.now = now
        chunks_seen_before = transfer.chunks_seen
        transfer.record_holdings(message.node, message.indices, message.held, now=now)
        outcomes = []
        if (
            transfer.chunks_seen > chunks_seen_before
            and now < self._origin_avoid_deadline
        ):
            # A host holds a chunk that none held before, so the origin is reachable
            # again.
            self._origin_avoid_deadline = now
            outcomes += self._plan_origin(transfer, now=now)
        peer = transfer.participants.get(message.node)
        if (
            peer is not None
            and peer.known_count < peer.held_count
            and not transfer.complete
        ):
            outcomes += self._query_peer(transfer, message.node, now=now)
        if transfer.complete:
            return outcomes
        # Only the announced chunks have become available. Scanning all missing chunks
        # on each of the many announcements would cost more processor time than the
        # chunks themselves.
        return outcomes + self._plan_peers(transfer, message.indices, now=now)

    def on_chunk_verified(self, message, *, now):
        """Mark a received chunk as held and plan further fetches."""
        transfer = self.transfer_by_digest.get(message.digest)
        if transfer is None:
            return []
        source = self._end_fetch(transfer, message.index)
        transfer.mark_held(message.index, now=now, injected=source is None)
        if source in transfer.participants:
            transfer.participants[source].failures = 0
            transfer.participants[source].last_contact_at = now
        if transfer.complete:
            elapsed = now - transfer.started_at
            outcomes = [AllChunksVerified(digest=message.digest, elapsed=elapsed)]
            outcomes += self._announce(transfer, now=now)
            return outcomes + self._plan(now=now)
        transfer.now = now
        if source is None or self._incomplete_count() > 1:
            return self._plan(now=now)
        return self._plan_peers(transfer, transfer.missing, now=now)

    def on_chunk_failed(self, message, *, now):
        """Record a failed fetch and choose another source immediately."""
        count = self.failed_by_cause.get(message.cause, 0)
        self.failed_by_cause[message.cause] = count + 1
        transfer = self.transfer_by_digest.get(message.digest)
        if transfer is None:
            return []
        source = self._end_fetch(transfer, message.index)
        if source is None:
            self._origin_avoid_deadline = now + self.origin_avoid_for
        else:
            self._record_peer_failure(transfer, source, message, now=now)
        return self._plan(now=now)

    def on_tick(self, message, *, now):
        """Send due announcements, query silent owners, and query peers if idle."""
        outcomes = []
        for transfer in self.transfer_by_digest.values():
            transfer.now = now
            if transfer.new_chunks and now >= transfer.next_announcement_at:
                outcomes += self._announce(transfer, now=now)
        outcomes += self._plan(now=now)
        for transfer in self.transfer_by_digest.values():
            if transfer.complete:
                continue
            outcomes += self._probe_owner(transfer, now=now)
            if not transfer.in_flight_by_index:
                outcomes += self._query_peers(transfer, count=1, now=now)
        return outcomes

    def on_peer_unreachable(self, message, *, now):
        """Mark a peer as unreachable and avoid it for ``avoid_for`` seconds."""
        transfer = self.transfer_by_digest.get(message.digest)
        if transfer is None or message.node not in transfer.participants:
            return []
        peer = transfer.participants[message.node]
        peer.unreachable = True
        peer.avoid_deadline = now + self.avoid_for
        return self._plan(now=now)

    def progress(self):
        """Return the progress of each incomplete transfer, in per mille.

        Returns
        -------
        dict of str to int
        """
        return {
            digest: 1000 * len(transfer.held) // max(1, transfer.chunks)
            for digest, transfer in self.transfer_by_digest.items()
            if not transfer.complete
        }

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            "peer_fetches": self._peer_fetches,
            "origin_fetches": self._origin_fetches,
            "failed_by_cause": dict(self.failed_by_cause),
            "by_digest": {
                digest: self._dump_transfer(transfer, now)
                for digest, transfer in self.transfer_by_digest.items()
            },
        }

    def _dump_transfer(self, transfer, now):
        avoided = [
            name
            for name, peer in transfer.participants.items()
            if now < peer.avoid_deadline
        ]
        return {
            "chunks": transfer.chunks,
            "held": len(transfer.held),
            "in_flight": {
                str(index): source or "origin"
                for index, source in transfer.in_flight_by_index.items()
            },
            "participants": len(transfer.participants),
            "avoided": avoided,
            "started_at": transfer.started_at,
            "completed_at": transfer.completed_at,
            "age": round(now - transfer.started_at, 3),
            "news_age": round(now - transfer.last_progress_at, 3),
        }

    def _plan(self, *, now):
        """Start fetches in free slots, by priority and then size of the transfers."""
        outcomes = []
        for transfer in sorted(
            self.transfer_by_digest.values(), key=_transfer_sort_key
        ):
            if transfer.complete:
                continue
            transfer.now = now
            outcomes += self._plan_peers(transfer, transfer.missing, now=now)
            outcomes += self._plan_origin(transfer, now=now)
        return outcomes

    def _plan_peers(self, transfer, indices, *, now):
        slots = min(self.peer_slots, transfer.strategy.max_peer_fetches(transfer))
        if self._peer_fetches >= slots:
            # True for most announcements during a transfer.
            return []
        outcomes = []
        for index in itertools.chain(
            transfer.strategy.priority_chunks(transfer), indices
        ):
            if self._peer_fetches >= slots:
                break
            if index in transfer.in_flight_by_index or index in transfer.held:
                continue
            node = transfer.holder_for(index, now=now)
            if node is not None:
                outcomes.append(self._fetch_from_peer(transfer, index, node))
        return outcomes

    def _incomplete_count(self):
        transfers = self.transfer_by_digest.values()
        return sum(not transfer.complete for transfer in transfers)

    def _plan_origin(self, transfer, *, now):
        outcomes = []
        for index in transfer.missing:
            if not self._may_ask_origin(now):
                break
            if index in transfer.in_flight_by_index:
                continue
            if transfer.strategy.may_read_origin(transfer, index, now=now):
                transfer.in_flight_by_index[index] = None
                self._origin_fetches += 1
                fetch = FetchFromOrigin(digest=transfer.digest, index=index)
                outcomes.append(fetch)
        return outcomes

    def _may_ask_origin(self, now):
        free = self._origin_fetches < self.origin_slots
        return free and now >= self._origin_avoid_deadline

    def _fetch_from_peer(self, transfer, index, node):
        peer = transfer.participants[node]
        peer.outstanding += 1
        self._peer_fetches += 1
        transfer.in_flight_by_index[index] = node
        return FetchFromPeer(
            digest=transfer.digest,
            index=index,
            node=node,
            address=peer.address,
            port=peer.port,
        )

    def _end_fetch(self, transfer, index):
        if index not in transfer.in_flight_by_index:
            return None
        source = transfer.in_flight_by_index.pop(index)
        self._release(transfer, source)
        return source

    def _release(self, transfer, source):
        if source is None:
            self._origin_fetches -= 1
            return
        self._peer_fetches -= 1
        peer = transfer.participants.get(source)
        if peer is not None:
            peer.outstanding = max(0, peer.outstanding - 1)

    def _record_peer_failure(self, transfer, source, message, *, now):
        peer = transfer.participants.get(source)
        if peer is None:
            return
        if message.cause == "busy":
            peer.avoid_deadline = now + self.avoid_for / 10
            return
        if message.cause == "missing":
            transfer.remove_holding(source, message.index)
            return
        peer.avoid_deadline = now + self.avoid_for
        peer.failures += 1
        if message.cause == "unreachable":
            peer.unreachable = True
        if message.cause == "corrupt":
            # Every chunk is verified, so a peer whose memory or link corrupts data
            # causes only wasted fetches.
            peer.corrupt += 1
            if peer.corrupt >= CORRUPT_LIMIT:
                peer.avoid_deadline = now + CORRUPT_PEER_BACKOFF

    def _announce(self, transfer, *, now):
        transfer.next_announcement_at = now + self.announce_every
        announcements = transfer.strategy.announcements(transfer)
        transfer.new_chunks = []
        transfer.injected = set()
        return [
            AnnounceChunks(
                digest=transfer.digest,
                indices=item.indices,
                held=item.held,
                targets=tuple(
                    (
                        transfer.participants[name].address,
                        transfer.participants[name].port,
                    )
                    for name in item.host_names
                ),
            )
            for item in announcements
            if item.host_names
        ]

    def _query_peers(self, transfer, *, count, now):
        """Query some peers, rotating over those that are not avoided."""
        host_names = [
            name
            for name, peer in transfer.participants.items()
            if name != self.node and now >= peer.avoid_deadline
        ]
        if not host_names or now < transfer.next_query_at:
            return []
        transfer.next_query_at = now + QUERY_INTERVAL
        start = int(now / QUERY_INTERVAL) + len(self.node)
        chosen = [host_names[(start + step) % len(host_names)] for step in range(count)]
        return [self._holdings_query(transfer, name) for name in dict.fromkeys(chosen)]

    def _probe_owner(self, transfer, *, now):
        """Query an owner that has announced nothing, and may be dead or only slow."""
        name = transfer.owner_to_probe(now=now)
        if name is None:
            return []
        peer = transfer.participants[name]
        peer.next_probe_at = now + self.stall_after
        return [self._holdings_query(transfer, name)]

    def _query_peer(self, transfer, name, *, now):
        if now < transfer.next_query_at:
            return []
        transfer.next_query_at = now + QUERY_INTERVAL
        return [self._holdings_query(transfer, name)]

    def _holdings_query(self, transfer, name):
        peer = transfer.participants[name]
        return QueryHoldings(
            digest=transfer.digest, node=name, address=peer.address, port=peer.port
        )

    def _store_early_announcement(self, message):
        kept = self._early_announcements.setdefault(message.digest, {})
        before = kept.get(message.node)
        indices = message.indices
        if before is not None:
            indices = tuple(dict.fromkeys(before.indices + indices))
        kept[message.node] = PeerAnnounced(
            digest=message.digest,
            node=message.node,
            indices=indices,
            held=message.held,
        )
        while len(self._early_announcements) > MAX_EARLY_DIGESTS:
            self._early_announcements.pop(next(iter(self._early_announcements)))


def _transfer_sort_key(transfer):
    return transfer.priority, transfer.size, transfer.digest


def _participants(entries_by_name, region_by_domain):
    return {
        name: Participant(
            failure_domain=entry.failure_domain,
            region=region_by_domain.get(entry.failure_domain, ""),
            address=entry.address,
            port=entry.port,
            is_seeder=getattr(entry, "is_seeder", False),
        )
        for name, entry in entries_by_name.items()
    }
