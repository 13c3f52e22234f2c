"""State of one digest's transfer on one host."""

import random

import xxhash

from hawthornspoke.swarm._strategies import STRATEGIES

#: Fetches at one peer at a time: two keep its link busy while one is verified.
PER_PEER = 2

#: Times the mean interval of an owner's news that it may be silent.
PATIENCE = 3.0

#: Fetches in a row that fail at a host before it counts as lost.
LOST_AFTER = 2


class Participant:
    """One host that has to load the weights.

    Parameters
    ----------
    failure_domain : str
    region : str
    address : str
    port : int
    """

    __slots__ = (
        "failure_domain",
        "region",
        "address",
        "port",
        "held",
        "known",
        "heard_at",
        "unreachable",
        "failures",
        "probe_deadline",
        "avoid_deadline",
        "outstanding",
        "corrupt",
    )

    def __init__(self, *, failure_domain, region, address, port):
        self.failure_domain = failure_domain
        self.region = region
        self.address = address
        self.port = port
        self.held = 0
        self.known = 0
        self.heard_at = 0.0
        self.unreachable = False
        self.failures = 0
        self.probe_deadline = 0.0
        self.avoid_deadline = 0.0
        self.outstanding = 0
        self.corrupt = 0


class Transfer:
    """Which chunks are here, where the others are, what is on its way.

    Parameters
    ----------
    node : str
        This host.
    digest : str
    chunks : int
    size : int
    priority : int
        0 goes first.
    strategy : str
    origin_copies : int
    origin_scope : str
    stall_after : float
    seed : int
    now : float
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
        "seen",
        "fresh",
        "brought",
        "announce_deadline",
        "ask_deadline",
        "started_at",
        "completed_at",
        "news_at",
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
        self.seen = 0
        self.fresh = []
        self.brought = set()
        self.announce_deadline = now
        self.ask_deadline = now
        self.started_at = now
        self.completed_at = None
        self.news_at = now
        self.now = now
        self.complete = False
        self._group_nodes = ()

    def set_participants(self, participants, *, now):
        """Take who has to load the weights, keeping what is known of each.

        Parameters
        ----------
        participants : dict of str to Participant
        now : float
        """
        for name, participant in participants.items():
            known = self.participants.get(name)
            if known is None:
                participant.heard_at = now
                participant.probe_deadline = now + self.stall_after
                continue
            known.address = participant.address
            known.port = participant.port
            participants[name] = known
        self.participants = participants
        self._group_nodes = self._find_group()

    def group_nodes(self):
        """Return the hosts among which chunk owners are chosen.

        Returns
        -------
        tuple of str
        """
        return self._group_nodes

    def is_stalled(self, node):
        """Tell whether a host has brought no news for too long.

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
        return self.now >= participant.heard_at + self.patience()

    def is_lost(self, node):
        """Tell whether a host can't be asked for what it is known to hold.

        Parameters
        ----------
        node : str

        Returns
        -------
        bool
            A chunk whose holders are all lost is read from the origin again:
            a host may die between its announcement and the first fetch.
        """
        participant = self.participants.get(node)
        if participant is None or participant.unreachable:
            return True
        return participant.failures >= LOST_AFTER

    def patience(self):
        """Return the seconds without news after which an owner is replaced.

        Returns
        -------
        float
            At least ``stall_after``, and a few times what an owner needs for
            one chunk at the rate at which new chunks appear anywhere: on a
            narrow origin link the owners queue, and one that waits its turn is
            not to be replaced, since its chunk would be read twice. Only those
            that read from the origin queue there. Reckoned with all of 51 hosts
            where 12 read, it was more than the time that had passed, whatever of
            96 chunks was seen, and 5 owners that the origin refused kept their
            chunks for good.
        """
        elapsed = max(self.now - self.started_at, 0.001)
        per_chunk = elapsed / max(1, self.seen)
        readers = self.strategy.count_readers(self)
        return max(self.stall_after, PATIENCE * per_chunk * readers)

    def learn(self, node, indices, held, *, now):
        """Take news of chunks that a peer holds.

        Parameters
        ----------
        node : str
        indices : iterable of int
        held : int
            The peer's total.
        now : float
        """
        participant = self.participants.get(node)
        if participant is None:
            return
        fresh = False
        for index in indices:
            if not 0 <= index < self.chunks:
                continue
            holders = self.holders_by_index[index]
            if node not in holders:
                if not holders and index not in self.held:
                    self.seen += 1
                holders.append(node)
                participant.known += 1
                fresh = True
        participant.unreachable = False
        participant.failures = 0
        if held > participant.held or fresh:
            participant.heard_at = now
            self.news_at = now
        participant.held = max(held, participant.held)

    def unlearn(self, node, index):
        """Drop a chunk that a peer turned out not to hold.

        Parameters
        ----------
        node : str
        index : int
        """
        holders = self.holders_by_index[index]
        if node in holders:
            holders.remove(node)
            peer = self.participants[node]
            peer.known -= 1
            # A host that has restarted holds none of what it had announced. While
            # it counted as complete, nothing that came since was announced to it.
            peer.held = min(peer.held, self.chunks - 1)

    def take(self, index, *, now, brought):
        """Count a chunk as held.

        Parameters
        ----------
        index : int
        now : float
        brought : bool
            Whether it comes from no peer, so that perhaps nobody else holds it.
        """
        if index in self.held:
            return
        if not self.holders_by_index[index]:
            self.seen += 1
        self.held.add(index)
        self.missing.remove(index)
        self.fresh.append(index)
        if brought:
            self.brought.add(index)
        self.news_at = now
        self.complete = len(self.held) == self.chunks
        if self.complete:
            self.completed_at = now

    def holder_for(self, index, *, now, limit=PER_PEER):
        """Choose a peer for a chunk.

        Parameters
        ----------
        index : int
        now : float
        limit : int, default=2
            Fetches at one peer at a time.

        Returns
        -------
        str or None
            The least used peer, one of the own failure domain among equals.
        """
        own = self.participants[self.node].failure_domain
        best, best_rank = None, None
        for node in self.strategy.holders(self, index):
            peer = self.participants.get(node)
            if peer is None or peer.outstanding >= limit or now < peer.avoid_deadline:
                continue
            far = peer.failure_domain != own
            rank = (
                peer.outstanding,
                far,
                xxhash.xxh32_intdigest(f"{node}{index}".encode()),
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = node, rank
        return best

    def silent_before_me(self, *, now):
        """Return an owner whose chunks this host would have to take over.

        Parameters
        ----------
        now : float

        Returns
        -------
        str or None
            One that has told nothing so far and is due to be asked.
        """
        for index in self.missing:
            if self.holders_by_index[index] or index in self.in_flight_by_index:
                continue
            for name in self.strategy.owners_before(self, index):
                peer = self.participants[name]
                if peer.known == 0 and now >= peer.probe_deadline:
                    return name
        return None

    def uninformed(self):
        """Return the peers that still lack chunks.

        Returns
        -------
        list of str
        """
        return [
            name
            for name, peer in self.participants.items()
            if name != self.node and peer.held < self.chunks
        ]

    def _find_group(self):
        own = self.participants[self.node]
        if self.origin_scope == "region":
            names = self._where(lambda peer: peer.region == own.region)
        elif self.origin_scope == "failure_domain":
            names = self._where(lambda peer: peer.failure_domain == own.failure_domain)
        else:
            names = list(self.participants)
        return tuple(sorted(self._split(names)))

    def _where(self, accepts):
        return [name for name, peer in self.participants.items() if accepts(peer)]

    def _split(self, names):
        if self.origin_copies <= 1:
            return names
        copies = min(self.origin_copies, len(names))
        ordered = sorted(names, key=self._domain_first)
        place = ordered.index(self.node) * copies // len(ordered)
        return [
            name
            for position, name in enumerate(ordered)
            if position * copies // len(ordered) == place
        ]

    def _domain_first(self, name):
        return self.participants[name].failure_domain, name
