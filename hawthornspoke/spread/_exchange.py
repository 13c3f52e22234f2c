"""Transfer of pieces: performs the I/O that the swarm state machine decides on.

A version's weights are split into pieces. The machine decides which piece to fetch from
which peer or from the origin, and when to announce the held pieces to peers.
"""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.peering import CLOSED
from hawthornspoke.protocol import Announce, Frame, HoldingsAsk
from hawthornspoke.spread._answers import PeerResponder, pack_indices, unpack_indices
from hawthornspoke.spread._fetches import PEER_SLOTS, PieceFetcher
from hawthornspoke.spread._granted_rate import GrantedRate
from hawthornspoke.spread._peer_links import PeerLinks
from hawthornspoke.spread._peers import Peers
from hawthornspoke.spread._receiver_uploads import ReceiverUploads
from hawthornspoke.spread._uploads import (
    PIECE_TIMEOUT,
    UploadQueue,
    download_rate,
    upload_rate,
)
from hawthornspoke.swarm import (
    AllChunksVerified,
    AnnounceChunks,
    FetchFromOrigin,
    FetchFromPeer,
    ParticipantsChanged,
    PeerAnnounced,
    PeerUnreachable,
    QueryHoldings,
    Swarm,
    Tick,
    TransferCancelled,
    TransferRequested,
)

#: Seconds for which new pieces are batched into one announcement. A piece takes 50 ms
#: on the narrowest link, so a batch has two or three pieces.
ANNOUNCE_INTERVAL = 0.08

#: The same on a seeder: the links to its receivers are idle until they know of a piece.
SEEDER_ANNOUNCE_INTERVAL = 0.04

#: Bytes per second that a seeder asks other seeders for. They share the links between
#: regions, of some 10 Mbit/s, with requests.
SEEDER_EXCHANGE_RATE = 500_000.0

#: Minimum announcement interval in seconds, per host of the region. All hosts of a
#: region announce to each other, so a host receives more with each of them: with 44
#: hosts and 0.08 s, announcements took a fifth of the narrowest link and engines behind
#: it became unreachable. This interval limits them to 170 messages a second.
ANNOUNCE_INTERVAL_PER_HOST = 0.006

#: Minimum seconds for which the host that has to read a piece from the origin announces
#: nothing before another one reads it. The swarm machine ranks these hosts per piece.
STALL_TIMEOUT = 1.2

#: Seconds between two requests of one host to a failing origin. Short, because only
#: such a request detects the end of an outage, and no weights arrive until then.
ORIGIN_AVOID_FOR = 0.2

#: Concurrent piece requests of one host to the origin, whose link all hosts share.
#: With two, the first pieces of all hosts arrived at the same time, after 0.75 s, and
#: no host had a piece to exchange before.
ORIGIN_SLOTS = 1


class PieceExchange:
    """Runs the swarm machine: performs its I/O and feeds back the results.

    The machine's chunks are the pieces of a version, and its digests are version names.

    Parameters
    ----------
    settings : SpreadSettings
    origin : object
        Provides ``await piece(address, model, version, index)``.
    log : EventLog
    metrics : Metrics
    on_piece : callable
        Called with the Weights and an index when a piece is verified.
    on_complete : callable
        Called with the Weights when all pieces are verified.
    on_digests_rejected : callable
        Called with the Weights if their digests appear to be corrupt.
    is_serving : callable
        Tells whether the engine is serving requests now.
    is_seeder : bool, default=False
        Whether this host has no engine and passes pieces on to those that have one.
    """

    __slots__ = (
        "swarm",
        "weights_by_name",
        "_settings",
        "_log",
        "_on_complete",
        "_peers",
        "_links",
        "_uploads",
        "_responder",
        "_fetcher",
        "_tasks",
        "_is_closed",
        "_min_announce_interval",
    )

    def __init__(
        self,
        *,
        settings,
        origin,
        log,
        metrics,
        on_piece,
        on_complete,
        on_digests_rejected,
        is_serving,
        is_seeder=False,
    ):
        self._min_announce_interval = (
            SEEDER_ANNOUNCE_INTERVAL if is_seeder else ANNOUNCE_INTERVAL
        )
        self.swarm = Swarm(
            node=settings.engine_address,
            announce_every=self._min_announce_interval,
            stall_after=STALL_TIMEOUT,
            avoid_for=0.4,
            origin_avoid_for=ORIGIN_AVOID_FOR,
            peer_slots=PEER_SLOTS,
            origin_slots=ORIGIN_SLOTS,
        )
        self.weights_by_name = {}
        self._settings = settings
        self._log = log
        self._on_complete = on_complete
        self._peers = Peers(settings=settings)
        self._links = PeerLinks(on_frame=self.on_frame)
        link_rate = settings.link_rate
        if is_seeder:
            self._uploads = ReceiverUploads()
            granted_rate = GrantedRate(
                max_rate=lambda: min(SEEDER_EXCHANGE_RATE, link_rate)
            )
        else:
            self._uploads = UploadQueue(
                rate=lambda: upload_rate(link_rate, is_serving=is_serving())
            )
            granted_rate = GrantedRate(
                max_rate=lambda: download_rate(link_rate, is_serving=is_serving())
            )
        self._responder = PeerResponder(
            weights_by_name=self.weights_by_name, uploads=self._uploads
        )
        self._fetcher = PieceFetcher(
            swarm=self.swarm,
            step=self._step,
            weights_by_name=self.weights_by_name,
            links=self._links,
            source_label=self._peers.source_label,
            origin=origin,
            log=log,
            metrics=metrics,
            on_piece=on_piece,
            on_digests_rejected=on_digests_rejected,
            granted_rate=granted_rate,
        )
        self._tasks = set()
        self._is_closed = False

    @property
    def origin_address(self):
        """Address of the origin, None until a directive has named it."""
        return self._fetcher.origin_address

    @origin_address.setter
    def origin_address(self, address):
        self._fetcher.origin_address = address

    async def run(self, ticks):
        """Step the machine on each tick while it has work, until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            await ticks.next()
            self.tick()

    def tick(self):
        """Step the machine if it has work."""
        transfers = self.swarm.transfer_by_digest.values()
        if any(not item.complete or item.new_chunks for item in transfers):
            self._step(Tick())

    @property
    def node(self):
        """Name of this host among its peers."""
        return self._settings.engine_address

    def region_nodes(self):
        """Return the hosts of this host's region, including itself."""
        return self._peers.region_nodes()

    def seeders(self):
        """Return the names of this host's seeders, the preferred one first."""
        return self._peers.seeders()

    async def ask(self, node, frame, *, timeout):
        """Send a request to a peer and return its response or a Failure.

        A peer may be removed from the list while another one is being asked. The
        result is then a Failure, since an exception would end the task that fetches a
        version, and nothing would start it again.
        """
        peer = self._peers.peer_by_name.get(node)
        if peer is None:
            return CLOSED.with_reason(f"{node} is no longer a peer")
        return await self.ask_at(peer.address, frame, timeout=timeout)

    async def ask_at(self, address, frame, *, timeout):
        """Send a request to the agent at an IP address, which may not be a peer yet."""
        link = await self._links.get(address, self._settings.port)
        if isinstance(link, Failure):
            return link
        return await link.ask(frame, timeout=timeout)

    def peer_names(self):
        """Return the names of the hosts that exchange these weights."""
        return self._peers.peer_by_name.keys()

    def set_peers(self, peer_by_name):
        """Set the hosts that exchange these weights, including this one."""
        seeders_before = self.seeders()
        self._peers.peer_by_name = peer_by_name
        self.swarm.announce_every = max(
            self._min_announce_interval,
            ANNOUNCE_INTERVAL_PER_HOST * len(self.region_nodes()),
        )
        for name in list(self.swarm.transfer_by_digest):
            self._step(
                ParticipantsChanged(
                    digest=name,
                    participants=dict(peer_by_name),
                    region_by_domain=self._settings.region_by_failure_domain,
                )
            )
        for name in self.seeders():
            if name not in seeders_before:
                self._request_seeder_holdings(name)

    def _request_seeder_holdings(self, name):
        """Ask a new seeder what it holds; it announces only what it gets later."""
        peer = self._peers.peer_by_name[name]
        for digest, transfer in self.swarm.transfer_by_digest.items():
            if not transfer.complete:
                ask = QueryHoldings(
                    digest=digest, node=name, address=peer.address, port=peer.port
                )
                self.spawn(self._request_holdings(ask))

    def start_transfer(self, weights, *, priority):
        """Start fetching the missing pieces of a version."""
        self.weights_by_name[weights.name] = weights
        self._step(
            TransferRequested(
                digest=weights.name,
                chunks=len(weights.digests),
                size=len(weights.digests),
                held=weights.held(),
                participants=dict(self._peers.peer_by_name),
                region_by_domain=self._settings.region_by_failure_domain,
                priority=priority,
                strategy=self._settings.strategy,
                origin_copies=self._settings.origin_copies,
            )
        )
        if not weights.is_complete:
            self._request_region_holdings(weights.name)

    def _request_region_holdings(self, name):
        """Ask each host of this host's region which pieces of a version it holds.

        A host that joins after its neighbours completed a version receives no
        announcements of them, and would fetch from other regions.
        """
        for node, peer in self._peers.peer_by_name.items():
            if node == self._settings.engine_address:
                continue
            if self._peers.source_label(node) == "region":
                ask = QueryHoldings(
                    digest=name, node=node, address=peer.address, port=peer.port
                )
                self.spawn(self._request_holdings(ask))

    def cancel_transfer(self, name):
        """Stop fetching a version; held pieces remain available to peers."""
        self._step(TransferCancelled(digest=name))

    def discard_version(self, name):
        """Stop fetching a version and free its pieces."""
        self.cancel_transfer(name)
        self.weights_by_name.pop(name, None)

    def on_frame(self, link, frame):
        """Handle a frame from a peer."""
        if frame.announce is not None:
            self._handle_announce(frame.announce)
        elif frame.chunk_ask is not None:
            self._responder.piece(link, frame)
        elif frame.holdings_ask is not None:
            self._responder.holdings(link, frame)

    def close(self):
        """Cancel all tasks and close all connections; start no more tasks."""
        self._is_closed = True
        self._uploads.close()
        for task in self._tasks:
            task.cancel()
        self._links.close()

    def _step(self, message):
        for outcome in self.swarm.step(message, now=monotonic()):
            self._execute(outcome)

    def _execute(self, outcome):
        if isinstance(outcome, FetchFromPeer):
            self.spawn(self._fetcher.fetch_from_peer(outcome))
        elif isinstance(outcome, FetchFromOrigin):
            self.spawn(self._fetcher.fetch_from_origin(outcome))
        elif isinstance(outcome, AnnounceChunks):
            self._announce(outcome)
        elif isinstance(outcome, QueryHoldings):
            self.spawn(self._request_holdings(outcome))
        elif isinstance(outcome, AllChunksVerified):
            weights = self.weights_by_name.get(outcome.digest)
            if weights is not None and weights.is_complete:
                self._on_complete(weights)

    def spawn(self, coroutine):
        """Run a coroutine as a task that ``close`` cancels; log its exception."""
        if self._is_closed:
            coroutine.close()
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.change("exchange_failed", error=repr(task.exception()))

    async def _request_holdings(self, ask):
        frame = Frame(holdings_ask=HoldingsAsk(digest=ask.digest))
        answer = await self.ask_at(ask.address, frame, timeout=PIECE_TIMEOUT)
        if isinstance(answer, Failure) or answer.holdings is None:
            self._step(PeerUnreachable(digest=ask.digest, node=ask.node))
            return
        self._step(
            PeerAnnounced(
                digest=ask.digest,
                node=ask.node,
                indices=unpack_indices(answer.holdings.bitmap),
                held=answer.holdings.held or 0,
            )
        )

    def _announce(self, outcome):
        announce = Announce(
            node=self._settings.engine_address,
            digest=outcome.digest,
            indices=pack_indices(outcome.indices),
            held=outcome.held,
        )
        for address, port in outcome.targets:
            link = self._links.existing(address)
            if link is not None:
                link.send(Frame(announce=announce))
            else:
                self.spawn(self._connect_and_announce(address, port, announce))

    async def _connect_and_announce(self, address, port, announce):
        link = await self._links.get(address, port)
        if not isinstance(link, Failure):
            link.send(Frame(announce=announce))

    def _handle_announce(self, announce):
        self._step(
            PeerAnnounced(
                digest=announce.digest or "",
                node=announce.node or "",
                indices=unpack_indices(announce.indices),
                held=announce.held or 0,
            )
        )
