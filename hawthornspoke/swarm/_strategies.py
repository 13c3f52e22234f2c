"""Strategies for spreading weights, by name.

Each answers three questions about a missing chunk: may this host read it from the
origin now, from which peers may it be had, and whose silence matters for it; how many
hosts read from the origin; and who is told of chunks that have come.
"""

from dataclasses import dataclass

from hawthornspoke.base import Registry, rendezvous_order

STRATEGIES = Registry(kind="burst strategy")

#: Hosts in rendezvous order that are remembered for each chunk. The next one
#: takes over when an owner stalls, and more than this many at once means that
#: the origin itself is out of reach.
OWNERS_KEPT = 8

#: Hosts in that order that look after the one before them.
PROBED_OWNERS = 2


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkNews:
    """Chunks that have come, and who is told of them.

    Parameters
    ----------
    indices : tuple of int
    names : tuple of str
        Hosts.
    held : int
        How many this host holds in all; 0 if these hosts aren't told of all.
    """

    indices: tuple
    names: tuple
    held: int


class _TellsAll:
    """Tells every host that lacks chunks of every new one, and treats all alike."""

    __slots__ = ()

    def urgent(self, transfer):
        """Return the chunks that others wait for this host to read."""
        return ()

    def news(self, transfer):
        """Return who is told of the chunks that have come, as ChunkNews."""
        return [
            ChunkNews(
                indices=tuple(transfer.fresh),
                names=tuple(transfer.uninformed()),
                held=len(transfer.held),
            )
        ]


@STRATEGIES.register("origin")
class OriginOnly(_TellsAll):
    """Every host reads everything from the origin: the baseline."""

    __slots__ = ()

    def may_read_origin(self, transfer, index, *, now):
        """Tell whether this host may read a chunk from the origin."""
        return True

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be had."""
        return ()

    def owners_before(self, transfer, index):
        """Return the hosts whose silence makes a chunk this host's to read."""
        return ()

    def count_readers(self, transfer):
        """Return how many hosts may wait for the origin at once."""
        return len(transfer.participants)


@STRATEGIES.register("chain")
class Chain(_TellsAll):
    """Each host reads from the one before it, the first from the origin."""

    __slots__ = ("_order",)

    def __init__(self):
        self._order = None

    def may_read_origin(self, transfer, index, *, now):
        """Tell whether this host may read a chunk from the origin."""
        return self._predecessor(transfer) is None

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be had."""
        predecessor = self._predecessor(transfer)
        if predecessor in transfer.holders_by_index[index]:
            return (predecessor,)
        return ()

    def owners_before(self, transfer, index):
        """Return the hosts whose silence makes a chunk this host's to read."""
        return ()

    def count_readers(self, transfer):
        """Return how many hosts may wait for the origin at once."""
        return len(transfer.participants)

    def _predecessor(self, transfer):
        order = sorted(
            transfer.participants,
            key=lambda node: (transfer.participants[node].failure_domain, node),
        )
        place = order.index(transfer.node)
        for node in reversed(order[:place]):
            if not transfer.is_stalled(node):
                return node
        return None


@STRATEGIES.register("scatter")
class Scatter(_TellsAll):
    """Each chunk has one owner that reads it from the origin; all exchange.

    Notes
    -----
    The owner is the first of the chunk's rendezvous order among the hosts of a
    group. The number of groups is the number of copies that the origin is to
    send: one for the fleet, one for each region or failure domain. When an
    owner brings no news for a while, the next in order is the owner, so that a
    dead owner's chunks are read by one other host and not by all.
    """

    __slots__ = ("_owners_by_index", "_group")

    def __init__(self):
        self._owners_by_index = {}
        self._group = None

    def may_read_origin(self, transfer, index, *, now):
        """Tell whether this host may read a chunk from the origin."""
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
        """Return the peers from which a chunk may be had."""
        return transfer.holders_by_index[index]

    def owners_before(self, transfer, index):
        """Return the hosts whose silence makes a chunk this host's to read."""
        owners = self._owners(transfer, index)[:PROBED_OWNERS]
        if transfer.node not in owners:
            return ()
        return owners[: owners.index(transfer.node)]

    def count_readers(self, transfer):
        """Return how many hosts may wait for the origin at once."""
        return len(transfer.participants)

    def _owners(self, transfer, index):
        if self._group != transfer.group_nodes():
            self._group = transfer.group_nodes()
            self._owners_by_index = {}
        owners = self._owners_by_index.get(index)
        if owners is None:
            key = f"{transfer.digest}/{index}"
            order = rendezvous_order(key=key, nodes=self._group)
            owners = self._owners_by_index[index] = order[:OWNERS_KEPT]
        return owners


@STRATEGIES.register("regional")
class Regional(Scatter):
    """Scatter in which each chunk crosses into a region once.

    Notes
    -----
    With plain scatter every host that lacks a chunk may read it from another
    region before a host of its own has it: links between regions are narrow and
    carry live traffic. Here one host of each region, the first of the chunk's
    rendezvous order there, reads it from afar; the others wait for that host, but
    not for long, since it may be dead or cut off.

    Each host tells its own region of each chunk. Others hear only of those that it
    brought from the origin: the hosts that read from there too, and those that read
    the chunk for their region. Where all told all, news grew with the square of the
    hosts, so that it had to be gathered for 0.8 s at 133 of them; by then the others
    of a region had given up waiting for their reader.
    """

    __slots__ = (
        "_far_deadline_by_index",
        "_order_by_index",
        "_readers_of_origin",
        "_nodes_by_region",
        "_far_order_by_key",
        "_read_for_region",
    )

    #: Seconds for which a chunk that only other regions hold is left to the host
    #: that reads it for this region: a queue of a dozen chunks at a link of 450 KB/s,
    #: and the way of the news. With 0.8 a chunk crossed into a region 1.27 times, with
    #: 1.2 1.16 times (60 hosts, as played in the tests).
    FAR_PATIENCE = 1.2

    #: Hosts that read from the origin. It may accept no more than 48 connections,
    #: and resets those beyond: with 53 readers a version took 15 s, since some of
    #: them never got their pieces. Its link carries a piece in 45 ms; with 24
    #: readers the first ones all came after 1.1 s, when the next owners thought
    #: these had stalled and read the same, 1.7 copies in all. With 12 they come
    #: after half a second, and there are enough for the loss of a region.
    ORIGIN_READERS = 12

    #: Hosts of each other region that are told of a chunk: the one that reads it
    #: there, and the one that does if that one doesn't.
    TOLD_AFAR = 2

    def __init__(self):
        super().__init__()
        self._far_deadline_by_index = {}
        self._order_by_index = []
        self._readers_of_origin = ()
        self._nodes_by_region = {}
        self._far_order_by_key = {}
        self._read_for_region = None

    def holders(self, transfer, index):
        """Return the peers from which a chunk may be had."""
        holders = transfer.holders_by_index[index]
        region = transfer.participants[transfer.node].region
        near = [
            node
            for node in holders
            if node in transfer.participants
            and transfer.participants[node].region == region
            and not transfer.is_lost(node)
        ]
        if near or not holders:
            return near
        deadline = self._far_deadline_by_index.setdefault(
            index, transfer.now + self.FAR_PATIENCE
        )
        if transfer.now >= deadline or self._reads_for_region(transfer, index, region):
            return holders
        return ()

    def count_readers(self, transfer):
        """Return how many hosts may wait for the origin at once."""
        self._choose_readers(transfer)
        return len(self._readers_of_origin)

    def news(self, transfer):
        """Return who is told of the chunks that have come, as ChunkNews."""
        self._choose_readers(transfer)
        uninformed = transfer.uninformed()
        region = transfer.participants[transfer.node].region
        near = [
            name for name in uninformed if transfer.participants[name].region == region
        ]
        whole = ChunkNews(
            indices=tuple(transfer.fresh), names=tuple(near), held=len(transfer.held)
        )
        # They take over from each other, and judge by each other's news.
        told = set(self._readers_of_origin).difference(near, (transfer.node,))
        afar = [
            ChunkNews(
                indices=(index,),
                names=tuple(told.union(self._told_afar(transfer, index, region))),
                held=0,
            )
            for index in sorted(transfer.brought)
        ]
        return [whole, *afar]

    def urgent(self, transfer):
        """Return the chunks that others wait for this host to read.

        Behind others of its own region they were so late that a third of them crossed
        into a region twice.
        """
        self._choose_readers(transfer)
        if self._read_for_region is None:
            region = transfer.participants[transfer.node].region
            self._read_for_region = tuple(
                index
                for index in range(transfer.chunks)
                if self._far_order(transfer, index, region)[:1] == [transfer.node]
            )
        return [
            index
            for index in self._read_for_region
            if index not in transfer.held and transfer.holders_by_index[index]
        ]

    def _told_afar(self, transfer, index, own_region):
        return [
            name
            for region in self._nodes_by_region
            if region != own_region
            for name in self._far_order(transfer, index, region)[: self.TOLD_AFAR]
        ]

    def _reads_for_region(self, transfer, index, region):
        self._choose_readers(transfer)
        return self._far_order(transfer, index, region)[:1] == [transfer.node]

    def _far_order(self, transfer, index, region):
        """Return the hosts that read a chunk for their region, the first one first."""
        order = self._far_order_by_key.get((region, index))
        if order is None:
            order = rendezvous_order(
                key=f"{transfer.digest}/{index}/far",
                nodes=self._nodes_by_region.get(region, ()),
            )[:OWNERS_KEPT]
            self._far_order_by_key[region, index] = order
        # The order is kept while the own group stays; others may leave meanwhile.
        return [
            node
            for node in order
            if node in transfer.participants
            and not transfer.participants[node].unreachable
        ]

    def _owners(self, transfer, index):
        self._choose_readers(transfer)
        return self._order_by_index[index]

    def _choose_readers(self, transfer):
        """Choose the readers again if the hosts that take part have changed."""
        if self._group == transfer.group_nodes():
            return
        self._group = transfer.group_nodes()
        self._readers_of_origin = self._readers(transfer, self._group)
        self._order_by_index = _even_orders(transfer, self._readers_of_origin)
        self._far_order_by_key = {}
        self._read_for_region = None
        self._nodes_by_region = {}
        for name, peer in transfer.participants.items():
            self._nodes_by_region.setdefault(peer.region, []).append(name)

    def _readers(self, transfer, nodes):
        """Return the hosts that read from the origin, evenly over the regions."""
        nodes_by_region = {}
        for node in rendezvous_order(key=f"{transfer.digest}/origin", nodes=nodes):
            region = transfer.participants[node].region
            nodes_by_region.setdefault(region, []).append(node)
        share = -(-self.ORIGIN_READERS // max(1, len(nodes_by_region)))
        chosen = [node for names in nodes_by_region.values() for node in names[:share]]
        return sorted(chosen)


def _even_orders(transfer, nodes):
    """Return the owners of each chunk, with as many first places for each host.

    Hashing alone gives some hosts twice the mean number of chunks. These read them
    from the origin one after the other, and the whole transfer waits for the last.
    """
    most = -(-transfer.chunks // max(1, len(nodes)))
    count_by_node = dict.fromkeys(nodes, 0)
    orders = []
    for index in range(transfer.chunks):
        order = rendezvous_order(key=f"{transfer.digest}/{index}", nodes=nodes)
        first = next(node for node in order if count_by_node[node] < most)
        count_by_node[first] += 1
        order.remove(first)
        orders.append([first, *order][:OWNERS_KEPT])
    return orders
