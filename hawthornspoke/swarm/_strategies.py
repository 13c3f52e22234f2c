"""Distribution strategies for weights, by name.

The owners of a chunk are the hosts that may read it from the origin, in an order: each
takes over if those before it stall. For each missing chunk a strategy decides whether
this host may read it from the origin now, from which peers it may be fetched, and which
owners come before this host. It also determines how many hosts read from the origin and
which peers receive announcements.
"""

import math
from dataclasses import dataclass

from hawthornspoke.base import Registry, rendezvous_order
from hawthornspoke.swarm._seeders import READERS_PER_DOMAIN, seeder_order

STRATEGIES = Registry(kind="burst strategy")

#: Number of owners of each chunk: the first hosts in its rendezvous order, a hash order
#: that differs from chunk to chunk. If more than this many stall at once, the origin
#: itself is unreachable, and more owners would not help.
OWNERS_PER_CHUNK = 8

#: Number of owners, from the first in a chunk's order, that query the owners ranked
#: before them if these have announced nothing so far. A dead owner, which the query
#: does not reach, is then replaced without waiting for the stall timeout.
PROBING_OWNERS = 2


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkAnnouncement:
    """Newly held chunks and the hosts to announce them to.

    Parameters
    ----------
    indices : tuple of int
    host_names : tuple of str
    held : int
        Total number of chunks this host holds; 0 if it does not announce all its
        chunks to these hosts.
    """

    indices: tuple
    host_names: tuple
    held: int


class _BroadcastAnnouncements:
    """Announces every new chunk to all incomplete peers, without priority chunks."""

    __slots__ = ()

    def max_peer_fetches(self, transfer):
        """Return the maximum concurrent fetches of this host for all its transfers."""
        return math.inf

    def priority_chunks(self, transfer):
        """Return the chunks to fetch first because other hosts wait for them."""
        return ()

    def announcements(self, transfer):
        """Return the announcements of newly held chunks, as ChunkAnnouncement."""
        return [
            ChunkAnnouncement(
                indices=tuple(transfer.new_chunks),
                host_names=tuple(transfer.incomplete_peers()),
                held=len(transfer.held),
            )
        ]


@STRATEGIES.register("origin")
class OriginOnly(_BroadcastAnnouncements):
    """Every host reads all chunks from the origin; used as a baseline."""

    __slots__ = ()

    def may_read_origin(self, transfer, index, *, now):
        """Return whether this host may read a chunk from the origin now."""
        return True

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be fetched."""
        return ()

    def owners_before(self, transfer, index):
        """Return the owners that this host takes over from if they stall."""
        return ()

    def count_origin_readers(self, transfer):
        """Return the maximum number of hosts that read from the origin."""
        return len(transfer.participants)


@STRATEGIES.register("chain")
class Chain(_BroadcastAnnouncements):
    """Each host fetches from its predecessor, and the first one from the origin."""

    __slots__ = ("_order",)

    def __init__(self):
        self._order = None

    def may_read_origin(self, transfer, index, *, now):
        """Return whether this host may read a chunk from the origin now."""
        return self._predecessor(transfer) is None

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be fetched."""
        predecessor = self._predecessor(transfer)
        if predecessor in transfer.holders_by_index[index]:
            return (predecessor,)
        return ()

    def owners_before(self, transfer, index):
        """Return the owners that this host takes over from if they stall."""
        return ()

    def count_origin_readers(self, transfer):
        """Return the maximum number of hosts that read from the origin."""
        return len(transfer.participants)

    def _predecessor(self, transfer):
        order = sorted(
            transfer.participants,
            key=lambda node: (transfer.participants[node].failure_domain, node),
        )
        own_position = order.index(transfer.node)
        for node in reversed(order[:own_position]):
            if not transfer.is_stalled(node):
                return node
        return None


@STRATEGIES.register("scatter")
class Scatter(_BroadcastAnnouncements):
    """One owner reads each chunk from the origin, and all hosts exchange chunks.

    Notes
    -----
    The hosts form as many groups as copies are read from the origin: one for the whole
    fleet, or one for each region or failure domain. In each group, the owner of a chunk
    is the first host in the chunk's rendezvous order. When an owner has announced
    nothing for the stall timeout, the next host in order becomes the owner, so that the
    chunks of a dead owner are read by one other host and not by all.
    """

    __slots__ = ("_owners_by_index", "_group")

    def __init__(self):
        self._owners_by_index = {}
        self._group = None

    def may_read_origin(self, transfer, index, *, now):
        """Return whether this host may read a chunk from the origin now."""
        holders = transfer.holders_by_index[index]
        if not all(transfer.is_lost(node) for node in holders):
            return False
        for node in self._owners(transfer, index):
            if node == transfer.node:
                return True
            if not transfer.is_stalled(node) and not transfer.is_lost(node):
                return False
        return False

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be fetched."""
        return transfer.holders_by_index[index]

    def owners_before(self, transfer, index):
        """Return the owners that this host takes over from if they stall."""
        owners = self._owners(transfer, index)[:PROBING_OWNERS]
        if transfer.node not in owners:
            return ()
        return owners[: owners.index(transfer.node)]

    def count_origin_readers(self, transfer):
        """Return the maximum number of hosts that read from the origin."""
        return len(transfer.participants)

    def _owners(self, transfer, index):
        if self._group != transfer.group_nodes():
            self._group = transfer.group_nodes()
            self._owners_by_index = {}
        owners = self._owners_by_index.get(index)
        if owners is None:
            key = f"{transfer.digest}/{index}"
            order = rendezvous_order(key=key, nodes=self._group)
            owners = self._owners_by_index[index] = order[:OWNERS_PER_CHUNK]
        return owners


@STRATEGIES.register("regional")
class Regional(Scatter):
    """Scatter strategy in which each chunk is transferred into a region once.

    Notes
    -----
    Links between regions are narrow and carry live traffic, but with plain scatter
    every host that lacks a chunk may fetch it from another region before a host of its
    own region has it. Here one host of each region, the first in the region's
    rendezvous order for the chunk (the region reader), fetches it from another region.
    The other hosts wait for the region reader for a limited time, since it may be dead
    or partitioned.

    Each host announces every chunk within its own region. Hosts of other regions only
    receive announcements of chunks that the sender did not get from a peer; these go
    to the other origin readers and to the region readers of the chunk. When every host
    announced to all others, the traffic grew with the square of the number of hosts, so
    that announcements had to be batched over 0.8 s at 133 hosts; by then the other
    hosts of a region had given up waiting for their region reader.
    """

    __slots__ = (
        "_cross_region_deadline_by_index",
        "_owner_order_by_index",
        "_origin_readers",
        "_nodes_by_region",
        "_region_readers_by_key",
        "_region_reader_chunks",
    )

    #: Seconds for which a chunk that only other regions hold is left to the region
    #: reader. Covers a queue of a dozen chunks on a link of 450 KB/s plus the delay of
    #: the announcement. A shorter wait duplicates transfers into a region: 1.27 of each
    #: chunk on average at 0.8 s, 1.16 at 1.2 s (simulation with 60 hosts in the tests).
    CROSS_REGION_DELAY = 1.2

    #: Number of hosts that read from the origin. The origin may accept no more than 48
    #: connections and resets the others: with 53 readers a version took 15 s, since
    #: some of them never got their chunks. Its link transfers a chunk in 45 ms. With 24
    #: readers, the first chunk of each had arrived after 1.1 s; by then the next owners
    #: had taken the owners for stalled and read the same chunks, 1.7 copies in total.
    #: With 12 readers it takes 0.5 s, and enough remain after the loss of a region.
    ORIGIN_READERS = 12

    #: Hosts of each other region that receive the announcement of a chunk: its region
    #: reader and the backup of that reader.
    REMOTE_RECIPIENTS = 2

    def __init__(self):
        super().__init__()
        self._cross_region_deadline_by_index = {}
        self._owner_order_by_index = []
        self._origin_readers = ()
        self._nodes_by_region = {}
        self._region_readers_by_key = {}
        self._region_reader_chunks = None

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be fetched."""
        holders = transfer.holders_by_index[index]
        region = transfer.participants[transfer.node].region
        local_nodes = [
            node
            for node in holders
            if node in transfer.participants
            and transfer.participants[node].region == region
            and not transfer.is_lost(node)
        ]
        if local_nodes or not holders:
            return local_nodes
        deadline = self._cross_region_deadline_by_index.setdefault(
            index, transfer.now + self.CROSS_REGION_DELAY
        )
        if transfer.now >= deadline or self._is_region_reader(transfer, index, region):
            return holders
        return ()

    def count_origin_readers(self, transfer):
        """Return the maximum number of hosts that read from the origin."""
        self._refresh_readers(transfer)
        return len(self._origin_readers)

    def announcements(self, transfer):
        """Return the announcements of newly held chunks, as ChunkAnnouncement."""
        self._refresh_readers(transfer)
        incomplete_peers = transfer.incomplete_peers()
        region = transfer.participants[transfer.node].region
        local_nodes = [
            name
            for name in incomplete_peers
            if transfer.participants[name].region == region
        ]
        local = ChunkAnnouncement(
            indices=tuple(transfer.new_chunks),
            host_names=tuple(local_nodes),
            held=len(transfer.held),
        )
        # Origin readers of all regions take over from each other, and detect a stalled
        # one by the lack of announcements, so each of them needs these.
        remote_origin_readers = set(self._origin_readers).difference(
            local_nodes, (transfer.node,)
        )
        remote = [
            ChunkAnnouncement(
                indices=(index,),
                host_names=tuple(
                    remote_origin_readers.union(
                        self._remote_recipients(transfer, index, region)
                    )
                ),
                held=0,
            )
            for index in sorted(transfer.injected)
        ]
        return [local, *remote]

    def priority_chunks(self, transfer):
        """Return the chunks for which this host is the region reader.

        When these were not fetched before the other chunks, they arrived so late that
        a third of them was transferred into a region twice.
        """
        self._refresh_readers(transfer)
        if self._region_reader_chunks is None:
            region = transfer.participants[transfer.node].region
            self._region_reader_chunks = tuple(
                index
                for index in range(transfer.chunks)
                if self._region_readers(transfer, index, region)[:1] == [transfer.node]
            )
        return [
            index
            for index in self._region_reader_chunks
            if index not in transfer.held and transfer.holders_by_index[index]
        ]

    def _remote_recipients(self, transfer, index, own_region):
        return [
            name
            for region in self._nodes_by_region
            if region != own_region
            for name in self._region_readers(transfer, index, region)[
                : self.REMOTE_RECIPIENTS
            ]
        ]

    def _is_region_reader(self, transfer, index, region):
        self._refresh_readers(transfer)
        return self._region_readers(transfer, index, region)[:1] == [transfer.node]

    def _region_readers(self, transfer, index, region):
        """Return the reachable hosts of a region in region reader order of a chunk."""
        order = self._region_readers_by_key.get((region, index))
        if order is None:
            order = rendezvous_order(
                key=f"{transfer.digest}/{index}/far",
                nodes=self._nodes_by_region.get(region, ()),
            )[:OWNERS_PER_CHUNK]
            self._region_readers_by_key[region, index] = order
        # The order is cached while this host's group is unchanged; hosts of other
        # groups may have left in the meantime.
        return [
            node
            for node in order
            if node in transfer.participants
            and not transfer.participants[node].unreachable
        ]

    def _owners(self, transfer, index):
        self._refresh_readers(transfer)
        return self._owner_order_by_index[index]

    def _refresh_readers(self, transfer):
        """Select the readers again if the hosts of this group have changed."""
        if self._group == transfer.group_nodes():
            return
        self._group = transfer.group_nodes()
        readers = [name for name in self._group if self._may_be_reader(transfer, name)]
        self._origin_readers = self._select_origin_readers(transfer, readers)
        self._owner_order_by_index = _balanced_owner_orders(
            transfer, self._origin_readers
        )
        self._region_readers_by_key = {}
        self._region_reader_chunks = None
        self._nodes_by_region = {}
        for name, peer in transfer.participants.items():
            if self._may_be_reader(transfer, name):
                self._nodes_by_region.setdefault(peer.region, []).append(name)

    def _may_be_reader(self, transfer, name):
        """Return whether a host may read from the origin or from other regions."""
        return True

    def _select_origin_readers(self, transfer, nodes):
        """Return the origin readers, distributed evenly over the regions."""
        nodes_by_region = {}
        for node in rendezvous_order(key=f"{transfer.digest}/origin", nodes=nodes):
            region = transfer.participants[node].region
            nodes_by_region.setdefault(region, []).append(node)
        readers_per_region = -(-self.ORIGIN_READERS // max(1, len(nodes_by_region)))
        chosen = [
            node
            for host_names in nodes_by_region.values()
            for node in host_names[:readers_per_region]
        ]
        return sorted(chosen)


@STRATEGIES.register("seeded")
class Seeded(Regional):
    """Regional strategy in which the hosts fetch from a seeder of their own.

    Notes
    -----
    Hosts that exchange chunks over narrow links have several of them arrive at once
    while other links are idle, and requests wait behind these. Seeders are hosts with
    ample links that need no weights themselves. They exchange the chunks by the
    regional strategy among themselves, and each sends them to the hosts of its failure
    domain at the rate that these ask for.

    A host whose seeders are lost or silent, or have nothing new for long, uses the
    regional strategy with the other hosts.
    """

    __slots__ = ("_is_patient",)

    #: Concurrent fetches from a seeder: one chunk is on its way and the next is queued.
    #: All transfers share them, so that the most urgent one gets the whole link.
    SEEDER_FETCHES = 2

    #: Seconds without contact after which a seeder is replaced, and the same while it
    #: is expected to send chunks. It is probed every 1.2 s otherwise.
    SEEDER_TIMEOUT = 2.0
    SEEDER_SEND_TIMEOUT = 1.2

    #: Seconds without a new chunk of it after which a seeder that answers isn't waited
    #: for any more. It may be cut off from the origin alone. In shorter outages of the
    #: origin, all hosts would read it together once it is back.
    SEEDER_PATIENCE = 10.0

    def __init__(self):
        super().__init__()
        self._is_patient = True

    def may_read_origin(self, transfer, index, *, now):
        """Return whether this host may read a chunk from the origin now."""
        if self._seeder(transfer) is not None:
            return False
        return super().may_read_origin(transfer, index, now=now)

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be fetched."""
        seeder = self._seeder(transfer)
        # A selected host that has announced nothing yet may not be seeding.
        if seeder is not None and transfer.participants[seeder].known_count:
            return (seeder,) if seeder in transfer.holders_by_index[index] else ()
        holders = super().holders(transfer, index)
        if not transfer.participants[transfer.node].is_seeder:
            return holders
        # The uplinks of receivers carry responses, so other seeders are preferred.
        seeders = [node for node in holders if self._may_be_reader(transfer, node)]
        return seeders or holders

    def max_peer_fetches(self, transfer):
        """Return the maximum concurrent fetches of this host for all its transfers."""
        seeder = self._seeder(transfer)
        if seeder is None:
            return super().max_peer_fetches(transfer)
        # Fetches from a silent host last until they time out.
        waiting = sum(
            peer.outstanding
            for name, peer in transfer.participants.items()
            if name != seeder
        )
        return self.SEEDER_FETCHES + waiting

    def owners_before(self, transfer, index):
        """Return the owners that this host takes over from if they stall."""
        seeder = self._seeder(transfer)
        if seeder is not None:
            return (seeder,)
        return super().owners_before(transfer, index)

    def _seeder(self, transfer):
        """Return the seeder that this host waits for, None if there is none."""
        if transfer.participants[transfer.node].is_seeder:
            return None
        for name, peer in transfer.participants.items():
            if not peer.is_seeder or transfer.is_lost(name):
                continue
            timeout = (
                self.SEEDER_SEND_TIMEOUT if peer.outstanding else self.SEEDER_TIMEOUT
            )
            if transfer.now >= peer.last_contact_at + timeout:
                continue
            if peer.known_count > len(transfer.held):
                return name
            if self._is_patient:
                if transfer.now < peer.last_heard_at + self.SEEDER_PATIENCE:
                    return name
                # From now on the seeder may get its chunks from this host and others,
                # and waiting for these would not end.
                self._is_patient = False
        return None

    def _may_be_reader(self, transfer, name):
        own = transfer.participants[transfer.node]
        peer = transfer.participants[name]
        if not own.is_seeder or not peer.is_seeder:
            return own.is_seeder == peer.is_seeder
        seeders = [
            other.address
            for other in transfer.participants.values()
            if other.is_seeder and other.failure_domain == peer.failure_domain
        ]
        return peer.address in seeder_order(seeders)[:READERS_PER_DOMAIN]


def _balanced_owner_orders(transfer, nodes):
    """Return the owner order of each chunk, with first places balanced over hosts.

    Hashing alone assigns some hosts twice the mean number of chunks. They read these
    from the origin sequentially, and the whole transfer waits for the last one.
    """
    limit = -(-transfer.chunks // max(1, len(nodes)))
    count_by_node = dict.fromkeys(nodes, 0)
    orders = []
    for index in range(transfer.chunks):
        order = rendezvous_order(key=f"{transfer.digest}/{index}", nodes=nodes)
        first = next(node for node in order if count_by_node[node] < limit)
        count_by_node[first] += 1
        order.remove(first)
        orders.append([first, *order][:OWNERS_PER_CHUNK])
    return orders
