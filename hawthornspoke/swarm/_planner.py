"""The planner of a host's transfers, as a pure state machine."""

import itertools

from hawthornspoke.base import MACHINES, Bounds, Machine
from hawthornspoke.swarm._messages import (
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
    Tick,
    Want,
)
from hawthornspoke.swarm._transfer import Participant, Transfer

#: What the machine takes.
MESSAGES = (
    Announced,
    ChunkFailed,
    ChunkVerified,
    Drop,
    Participants,
    PeerUnreachable,
    Tick,
    Want,
)

#: Digests whose announcements are kept before this host wants them.
EARLY_KEPT = 4

#: Seconds between two questions to peers about what they hold.
ASK_EVERY = 0.25

#: Corrupt chunks after which a peer is not asked again in this transfer.
CORRUPT_LIMIT = 2
SET_ASIDE = 3600.0


@MACHINES.register("swarm")
class Swarm(Machine):
    """Decides which chunk to read from where, and whom to tell.

    Parameters
    ----------
    node : str, default="node"
    peer_slots : int, default=8
        Chunks fetched from peers at once.
    origin_slots : int, default=2
        Chunks fetched from the origin at once.
    announce_every : float, default=0.5
        Seconds over which new chunks are gathered into one announcement.
    stall_after : float, default=3.0
        Seconds without news after which a chunk's next owner takes over.
    avoid_for : float, default=1.0
        Seconds a peer is left alone after a fetch from it failed.
    origin_avoid_for : float, default=1.0
        The same for the origin; news of a chunk that nobody had ends it sooner.
    seed : int, default=0
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
        "by_digest",
        "_early",
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
        self.by_digest = {}
        self._early = {}
        self._peer_fetches = 0
        self._origin_fetches = 0
        self._origin_avoid_deadline = 0.0
        self.failed_by_cause = {}

    def on_want(self, message, *, now):
        """Start a transfer.

        Parameters
        ----------
        message : Want
        now : float

        Returns
        -------
        list
        """
        if message.digest in self.by_digest:
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
        self.by_digest[message.digest] = transfer
        people = _participants(message.participants, message.region_by_domain)
        transfer.set_participants(people, now=now)
        for index in message.held:
            transfer.take(index, now=now, brought=True)
        for early in self._early.pop(message.digest, {}).values():
            transfer.learn(early.node, early.indices, early.held, now=now)
        outcomes = [Complete(digest=message.digest, elapsed=0.0)]
        if not transfer.complete:
            outcomes = self._ask(transfer, count=2, now=now)
        return outcomes + self._plan(now=now)

    def on_participants(self, message, *, now):
        """Take a changed set of hosts."""
        transfer = self.by_digest.get(message.digest)
        if transfer is None or self.node not in message.participants:
            return []
        people = _participants(message.participants, message.region_by_domain)
        transfer.set_participants(people, now=now)
        return self._plan(now=now)

    def on_drop(self, message, *, now):
        """Stop a transfer; fetches on their way are not counted when they end."""
        transfer = self.by_digest.pop(message.digest, None)
        if transfer is not None:
            for source in transfer.in_flight_by_index.values():
                self._release(transfer, source)
        return self._plan(now=now)

    def on_announced(self, message, *, now):
        """Take a peer's news."""
        transfer = self.by_digest.get(message.digest)
        if transfer is None:
            self._keep_early(message)
            return []
        transfer.now = now
        seen_before = transfer.seen
        transfer.learn(message.node, message.indices, message.held, now=now)
        outcomes = []
        if transfer.seen > seen_before and now < self._origin_avoid_deadline:
            # Somebody has read a chunk that nobody had: the origin is back.
            self._origin_avoid_deadline = now
            outcomes += self._plan_origin(transfer, now=now)
        peer = transfer.participants.get(message.node)
        if peer is not None and peer.known < peer.held and not transfer.complete:
            outcomes += self._ask_one(transfer, message.node, now=now)
        if transfer.complete:
            return outcomes
        # Only the announced chunks have become available: looking through all
        # missing ones at each of the many announcements would cost more
        # processor time than the chunks themselves.
        return outcomes + self._plan_peers(transfer, message.indices, now=now)

    def on_chunk_verified(self, message, *, now):
        """Take a chunk that arrived."""
        transfer = self.by_digest.get(message.digest)
        if transfer is None:
            return []
        source = self._end_fetch(transfer, message.index)
        transfer.take(message.index, now=now, brought=source is None)
        if source in transfer.participants:
            transfer.participants[source].failures = 0
        if transfer.complete:
            elapsed = now - transfer.started_at
            outcomes = [Complete(digest=message.digest, elapsed=elapsed)]
            outcomes += self._announce(transfer, now=now)
            return outcomes + self._plan(now=now)
        transfer.now = now
        if source is None:
            return self._plan(now=now)
        return self._plan_peers(transfer, transfer.missing, now=now)

    def on_chunk_failed(self, message, *, now):
        """Take a fetch that failed; another source is chosen at once."""
        count = self.failed_by_cause.get(message.cause, 0)
        self.failed_by_cause[message.cause] = count + 1
        transfer = self.by_digest.get(message.digest)
        if transfer is None:
            return []
        source = self._end_fetch(transfer, message.index)
        if source is None:
            self._origin_avoid_deadline = now + self.origin_avoid_for
        else:
            self._blame(transfer, source, message, now=now)
        return self._plan(now=now)

    def on_tick(self, message, *, now):
        """Announce what is due, look for stalled owners, ask if stuck."""
        outcomes = []
        for transfer in self.by_digest.values():
            transfer.now = now
            if transfer.fresh and now >= transfer.announce_deadline:
                outcomes += self._announce(transfer, now=now)
        outcomes += self._plan(now=now)
        for transfer in self.by_digest.values():
            if transfer.complete:
                continue
            outcomes += self._probe(transfer, now=now)
            if not transfer.in_flight_by_index:
                outcomes += self._ask(transfer, count=1, now=now)
        return outcomes

    def on_peer_unreachable(self, message, *, now):
        """Take that a peer could not even be asked."""
        transfer = self.by_digest.get(message.digest)
        if transfer is None or message.node not in transfer.participants:
            return []
        peer = transfer.participants[message.node]
        peer.unreachable = True
        peer.avoid_deadline = now + self.avoid_for
        return self._plan(now=now)

    def progress(self):
        """Return per mille of each unfinished transfer.

        Returns
        -------
        dict of str to int
        """
        return {
            digest: 1000 * len(transfer.held) // max(1, transfer.chunks)
            for digest, transfer in self.by_digest.items()
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
                for digest, transfer in self.by_digest.items()
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
            "news_age": round(now - transfer.news_at, 3),
        }

    def _plan(self, *, now):
        """Fill free slots, most urgent and smallest transfers first."""
        outcomes = []
        for transfer in sorted(self.by_digest.values(), key=_urgency):
            if transfer.complete:
                continue
            transfer.now = now
            outcomes += self._plan_peers(transfer, transfer.missing, now=now)
            outcomes += self._plan_origin(transfer, now=now)
        return outcomes

    def _plan_peers(self, transfer, indices, *, now):
        if self._peer_fetches >= self.peer_slots:
            # Usual at each of the many announcements while a transfer runs.
            return []
        outcomes = []
        for index in itertools.chain(transfer.strategy.urgent(transfer), indices):
            if self._peer_fetches >= self.peer_slots:
                break
            if index in transfer.in_flight_by_index or index in transfer.held:
                continue
            node = transfer.holder_for(index, now=now)
            if node is not None:
                outcomes.append(self._fetch_from_peer(transfer, index, node))
        return outcomes

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

    def _blame(self, transfer, source, message, *, now):
        peer = transfer.participants.get(source)
        if peer is None:
            return
        if message.cause == "busy":
            peer.avoid_deadline = now + self.avoid_for / 10
            return
        if message.cause == "missing":
            transfer.unlearn(source, message.index)
            return
        peer.avoid_deadline = now + self.avoid_for
        peer.failures += 1
        if message.cause == "unreachable":
            peer.unreachable = True
        if message.cause == "corrupt":
            # A peer whose memory or link corrupts bytes would cost a whole
            # fetch each time; every chunk is verified, so it does no harm else.
            peer.corrupt += 1
            if peer.corrupt >= CORRUPT_LIMIT:
                peer.avoid_deadline = now + SET_ASIDE

    def _announce(self, transfer, *, now):
        transfer.announce_deadline = now + self.announce_every
        news = transfer.strategy.news(transfer)
        transfer.fresh = []
        transfer.brought = set()
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
                    for name in item.names
                ),
            )
            for item in news
            if item.names
        ]

    def _ask(self, transfer, *, count, now):
        """Ask the peers that are known to hold more than was heard, or any."""
        names = [
            name
            for name, peer in transfer.participants.items()
            if name != self.node and now >= peer.avoid_deadline
        ]
        if not names or now < transfer.ask_deadline:
            return []
        transfer.ask_deadline = now + ASK_EVERY
        start = int(now / ASK_EVERY) + len(self.node)
        chosen = [names[(start + step) % len(names)] for step in range(count)]
        return [self._question(transfer, name) for name in dict.fromkeys(chosen)]

    def _probe(self, transfer, *, now):
        """Ask a silent owner whether it is there: it may be dead, not slow."""
        name = transfer.silent_before_me(now=now)
        if name is None:
            return []
        peer = transfer.participants[name]
        peer.probe_deadline = now + self.stall_after
        return [self._question(transfer, name)]

    def _ask_one(self, transfer, name, *, now):
        if now < transfer.ask_deadline:
            return []
        transfer.ask_deadline = now + ASK_EVERY
        return [self._question(transfer, name)]

    def _question(self, transfer, name):
        peer = transfer.participants[name]
        return AskHoldings(
            digest=transfer.digest, node=name, address=peer.address, port=peer.port
        )

    def _keep_early(self, message):
        kept = self._early.setdefault(message.digest, {})
        before = kept.get(message.node)
        indices = message.indices
        if before is not None:
            indices = tuple(dict.fromkeys(before.indices + indices))
        kept[message.node] = Announced(
            digest=message.digest,
            node=message.node,
            indices=indices,
            held=message.held,
        )
        while len(self._early) > EARLY_KEPT:
            self._early.pop(next(iter(self._early)))


def _urgency(transfer):
    return transfer.priority, transfer.size, transfer.digest


def _participants(entries_by_name, region_by_domain):
    return {
        name: Participant(
            failure_domain=entry.failure_domain,
            region=region_by_domain.get(entry.failure_domain, ""),
            address=entry.address,
            port=entry.port,
        )
        for name, entry in entries_by_name.items()
    }
