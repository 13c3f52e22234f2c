"""State of the transfer of some weights on one host."""

import random

import xxhash

from hawthornspoke.swarm._strategies import STRATEGIES

#: Maximum concurrent fetches from one peer. Two keep its link busy while a chunk is
#: being verified.
MAX_FETCHES_PER_PEER = 2

#: An owner, a host that has to read a chunk from the origin, counts as stalled if it
#: has announced nothing for this multiple of the mean time that owners need per chunk.
STALL_FACTOR = 3.0

#: Consecutive failed fetches after which a host counts as lost.
LOST_AFTER_FAILURES = 2


class Participant:
    """One host that loads the weights.

    Parameters
    ----------
    failure_domain : str
    region : str
    address : str
    port : int
    is_seeder : bool, default=False
        Whether the host only passes chunks on. Seeders have ample links: the other
        hosts of a failure domain fetch from them as long as they answer.

    Attributes
    ----------
    held_count : int
        Chunks the host holds, by its own announcements.
    known_count : int
        Chunks of the host whose indices this host knows.
    last_heard_at : float
        When the host last announced something new.
    last_contact_at : float
        When the host last sent a chunk or an announcement, or answered a query.
    outstanding : int
        Fetches from the host in flight.
    unreachable : bool
        Whether a fetch or query did not reach the host, which has announced nothing
        since.
    failures : int
        Consecutive failed fetches from the host.
    next_probe_at : float
        Time from which the host may be probed again.
    avoid_deadline : float
        Time until which nothing is fetched from the host.
    corrupt : int
        Corrupt chunks received from the host.
    """

    __slots__ = (
        "failure_domain",
        "region",
        "address",
        "port",
        "is_seeder",
        "held_count",
        "known_count",
        "last_heard_at",
        "last_contact_at",
        "unreachable",
        "failures",
        "next_probe_at",
        "avoid_deadline",
        "outstanding",
        "corrupt",
    )

    def __init__(self, *, failure_domain, region, address, port, is_seeder=False):
        self.failure_domain = failure_domain
        self.region = region
        self.address = address
        self.port = port
        self.is_seeder = is_seeder
        self.held_count = 0
        self.known_count = 0
        self.last_heard_at = 0.0
        self.last_contact_at = 0.0
        self.unreachable = False
        self.failures = 0
        self.next_probe_at = 0.0
        self.avoid_deadline = 0.0
        self.outstanding = 0
        self.corrupt = 0


class Transfer:
    """Chunks that this host holds, holders of each chunk, and fetches in flight.

    Parameters
    ----------
    node : str
        This host.
    digest : str
    chunks : int
    size : int
    priority : int
        0 is the highest.
    strategy : str
    origin_copies : int
    origin_scope : str
        See ``TransferRequested``.
    stall_after : float
    seed : int
        See ``Swarm``.
    now : float

    Attributes
    ----------
    chunks_seen : int
        Chunks that this host holds or that a peer has announced.
    injected : set of int
        Chunks held but not announced yet that did not come from a peer.
    """

    __slots__ = (
        "node",
        "digest",
        "chunks",
        "size",
        "priority",
        "strategy",
        "origin_copies",
        "origin_scope",
        "stall_after",
        "participants",
        "held",
        "holders_by_index",
        "in_flight_by_index",
        "missing",
        "chunks_seen",
        "new_chunks",
        "injected",
        "next_announcement_at",
        "next_query_at",
        "started_at",
        "completed_at",
        "last_progress_at",
        "now",
        "complete",
        "_group_nodes",
    )

    def __init__(
        self,
        *,
        node,
        digest,
        chunks,
        size,
        priority,
        strategy,
        origin_copies,
        origin_scope,
        stall_after,
        seed,
        now,
    ):
        self.node = node
        self.digest = digest
        self.chunks = chunks
        self.size = size
        self.priority = priority
        self.strategy = STRATEGIES.get(strategy)()
        self.origin_copies = origin_copies
        self.origin_scope = origin_scope
        self.stall_after = stall_after
        self.participants = {}
        self.held = set()
        self.holders_by_index = [[] for _ in range(chunks)]
        self.in_flight_by_index = {}
        self.missing = list(range(chunks))
        random.Random(f"{seed}/{node}/{digest}").shuffle(self.missing)
        self.chunks_seen = 0
        self.new_chunks = []
        self.injected = set()
        self.next_announcement_at = now
        self.next_query_at = now
        self.started_at = now
        self.completed_at = None
        self.last_progress_at = now
        self.now = now
        self.complete = False
        self._group_nodes = ()

    def set_participants(self, participants, *, now):
        """Replace the participating hosts, keeping the state of those that remain.

        Parameters
        ----------
        participants : dict of str to Participant
        now : float
        """
        for name, participant in participants.items():
            existing = self.participants.get(name)
            if existing is None:
                participant.last_heard_at = participant.last_contact_at = now
                participant.next_probe_at = now + self.stall_after
                continue
            existing.address = participant.address
            existing.port = participant.port
            participants[name] = existing
        self.participants = participants
        self._group_nodes = self._compute_group()

    def group_nodes(self):
        """Return this host's group: the hosts among which chunk owners are chosen.

        Returns
        -------
        tuple of str
        """
        return self._group_nodes

    def is_stalled(self, node):
        """Return whether a host has announced nothing new for the stall timeout.

        Parameters
        ----------
        node : str

        Returns
        -------
        bool
        """
        participant = self.participants.get(node)
        if participant is None or participant.unreachable:
            return True
        return self.now >= participant.last_heard_at + self.stall_timeout()

    def is_lost(self, node):
        """Return whether a host counts as lost: its chunks can't be fetched from it.

        Parameters
        ----------
        node : str

        Returns
        -------
        bool
            A chunk whose holders are all lost is fetched from the origin again,
            since a host may fail between its announcement and the first fetch.
        """
        participant = self.participants.get(node)
        if participant is None or participant.unreachable:
            return True
        return participant.failures >= LOST_AFTER_FAILURES

    def stall_timeout(self):
        """Return the seconds without an announcement after which an owner is replaced.

        Returns
        -------
        float
            At least ``stall_after``, and ``STALL_FACTOR`` times the time an owner
            needs per chunk at the observed rate of new chunks. Owners queue at a slow
            origin link, and replacing a queued one would fetch its chunk twice. Only
            hosts that read from the origin are counted: when all 51 hosts were counted
            although 12 read from it, the timeout exceeded the elapsed time however many
            of 96 chunks had been seen, and 5 owners that the origin refused were never
            replaced.
        """
        elapsed = max(self.now - self.started_at, 0.001)
        per_chunk = elapsed / max(1, self.chunks_seen)
        readers = self.strategy.count_origin_readers(self)
        return max(self.stall_after, STALL_FACTOR * per_chunk * readers)

    def record_holdings(self, node, indices, held, *, now):
        """Record chunks that a peer has announced.

        Parameters
        ----------
        node : str
        indices : iterable of int
        held : int
            Total number of chunks the peer holds.
        now : float
        """
        participant = self.participants.get(node)
        if participant is None:
            return
        has_new = False
        for index in indices:
            if not 0 <= index < self.chunks:
                continue
            holders = self.holders_by_index[index]
            if node not in holders:
                if not holders and index not in self.held:
                    self.chunks_seen += 1
                holders.append(node)
                participant.known_count += 1
                has_new = True
        participant.unreachable = False
        participant.failures = 0
        participant.last_contact_at = now
        if held > participant.held_count or has_new:
            participant.last_heard_at = now
            self.last_progress_at = now
        participant.held_count = max(held, participant.held_count)

    def remove_holding(self, node, index):
        """Remove a peer from the holders of a chunk that it turned out to lack.

        Parameters
        ----------
        node : str
        index : int
        """
        holders = self.holders_by_index[index]
        if node in holders:
            holders.remove(node)
            peer = self.participants[node]
            peer.known_count -= 1
            # A restarted host holds none of the chunks it had announced. While it
            # counts as complete, no new chunks are announced to it.
            peer.held_count = min(peer.held_count, self.chunks - 1)

    def mark_held(self, index, *, now, injected):
        """Mark a chunk as held by this host.

        Parameters
        ----------
        index : int
        now : float
        injected : bool
            Whether the chunk did not come from a peer, so that possibly no other host
            holds it.
        """
        if index in self.held:
            return
        if not self.holders_by_index[index]:
            self.chunks_seen += 1
        self.held.add(index)
        self.missing.remove(index)
        self.new_chunks.append(index)
        if injected:
            self.injected.add(index)
        self.last_progress_at = now
        self.complete = len(self.held) == self.chunks
        if self.complete:
            self.completed_at = now

    def holder_for(self, index, *, now, limit=MAX_FETCHES_PER_PEER):
        """Choose the peer from which to fetch a chunk.

        Parameters
        ----------
        index : int
        now : float
        limit : int, default=2
            Maximum concurrent fetches from one peer.

        Returns
        -------
        str or None
            The peer with the fewest fetches in flight; ties prefer this host's own
            failure domain. None if no peer is eligible.
        """
        own = self.participants[self.node].failure_domain
        best, best_rank = None, None
        for node in self.strategy.holders(self, index):
            peer = self.participants.get(node)
            if peer is None or peer.outstanding >= limit or now < peer.avoid_deadline:
                continue
            in_other_domain = peer.failure_domain != own
            rank = (
                peer.outstanding,
                in_other_domain,
                xxhash.xxh32_intdigest(f"{node}{index}".encode()),
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = node, rank
        return best

    def owner_to_probe(self, *, now):
        """Return an owner whose chunks this host would take over if it were dead.

        Parameters
        ----------
        now : float

        Returns
        -------
        str or None
            An owner that has announced nothing so far, or a seeder, that is due for a
            probe.
        """
        for index in self.missing:
            if self.holders_by_index[index] or index in self.in_flight_by_index:
                continue
            for name in self.strategy.owners_before(self, index):
                peer = self.participants[name]
                is_silent = peer.known_count == 0 or peer.is_seeder
                if is_silent and now >= peer.next_probe_at:
                    return name
        return None

    def incomplete_peers(self):
        """Return the peers that lack chunks, by their own announcements.

        Returns
        -------
        list of str
        """
        return [
            name
            for name, peer in self.participants.items()
            if name != self.node and peer.held_count < self.chunks
        ]

    def _compute_group(self):
        own = self.participants[self.node]
        if self.origin_scope == "region":
            names = self._select_names(lambda peer: peer.region == own.region)
        elif self.origin_scope == "failure_domain":
            names = self._select_names(
                lambda peer: peer.failure_domain == own.failure_domain
            )
        else:
            names = list(self.participants)
        return tuple(sorted(self._split_by_origin_copy(names)))

    def _select_names(self, accepts):
        return [name for name, peer in self.participants.items() if accepts(peer)]

    def _split_by_origin_copy(self, names):
        if self.origin_copies <= 1:
            return names
        copies = min(self.origin_copies, len(names))
        ordered = sorted(names, key=self._domain_sort_key)
        own_copy = ordered.index(self.node) * copies // len(ordered)
        return [
            name
            for position, name in enumerate(ordered)
            if position * copies // len(ordered) == own_copy
        ]

    def _domain_sort_key(self, name):
        return self.participants[name].failure_domain, name
