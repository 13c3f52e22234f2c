"""Moves pieces: carries out what the swarm machine decides."""

import asyncio
import struct

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.peering import connect
from hawthornspoke.protocol import (
    Announce,
    Chunk,
    ChunkAsk,
    Frame,
    Holdings,
    HoldingsAsk,
)
from hawthornspoke.spread._ports import ORIGIN_FAILED
from hawthornspoke.spread._uploads import PIECE_TIMEOUT, Uploads
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
    Tick,
    Want,
)

CONNECT_TIMEOUT = 0.6

#: Seconds for one piece from the origin, whose link all hosts share.
ORIGIN_TIMEOUT = 3.0

#: Seconds between two steps of the machine without news.
TICK_EVERY = 0.1

#: Seconds over which new pieces are told in one message. A piece takes 50 ms on
#: the narrowest link, so this is news of two or three pieces.
ANNOUNCE_EVERY = 0.08

#: The same for each host that takes part. All tell all, so what a host hears grows
#: with their number: with 44 hosts and 0.08 s it was a fifth of the narrowest link,
#: and engines there could not be reached. This keeps it at 170 messages a second.
ANNOUNCE_EVERY_HOST = 0.006

#: Seconds without news after which the next owner reads a piece from the origin.
STALL_AFTER = 1.2

#: Pieces asked of peers at once. Each waits its turn at its peer, so that fewer
#: would leave some peers idle, and more fill this host's link with several at once.
PEER_SLOTS = 6

#: Fewest of them, on a link that has become narrow; and the seconds for a piece
#: from which half as many, or one more, are asked for. Six at once on a sound link
#: take 0.3 to 0.6 s each.
LEAST_PEER_SLOTS = 1
SLOW_PIECE = 1.0
QUICK_PIECE = 0.7

#: Pieces asked of the origin at once by one host. All hosts share its link: with
#: two each the first pieces of all came together, after 0.75 s, and nothing could
#: be exchanged until then.
ORIGIN_SLOTS = 1

#: Times that one piece didn't match before the list of digests itself is read
#: again: it comes from the origin too, and a single digest in it may be wrong. The
#: origin spoils one piece in fifty, so twice in a row is hardly its doing; and a
#: peer that seems to send a wrong piece twice is not asked any more.
DISTRUST_AFTER = 2


class Peer:
    """A host of the same weights, as the swarm machine wants it."""

    __slots__ = ("failure_domain", "address", "port")

    def __init__(self, *, failure_domain, address, port):
        self.failure_domain = failure_domain
        self.address = address
        self.port = port


class Exchange:
    """The swarm machine's shell.

    Parameters
    ----------
    settings : SpreadSettings
    origin : object
        ``await piece(address, model, version, index)``.
    log : EventLog
    metrics : Metrics
    on_piece : callable
        Called with the Weights and an index when a piece is here.
    on_whole : callable
        Called with the Weights when all are.
    on_distrusted : callable
        Called with the Weights if their digests seem to be wrong.
    is_serving : callable
        Tells whether the engine answers requests now.
    """

    __slots__ = (
        "swarm",
        "weights_by_name",
        "origin_address",
        "_settings",
        "_origin",
        "_log",
        "_metrics",
        "_on_piece",
        "_on_whole",
        "_on_distrusted",
        "_peers",
        "_links",
        "_dialing",
        "_tasks",
        "_mismatches_by_piece",
        "_uploads",
    )

    def __init__(
        self,
        *,
        settings,
        origin,
        log,
        metrics,
        on_piece,
        on_whole,
        on_distrusted,
        is_serving,
    ):
        self.swarm = Swarm(
            node=settings.engine_address,
            announce_every=ANNOUNCE_EVERY,
            stall_after=STALL_AFTER,
            avoid_for=0.4,
            peer_slots=PEER_SLOTS,
            origin_slots=ORIGIN_SLOTS,
        )
        self.weights_by_name = {}
        self.origin_address = None
        self._settings = settings
        self._origin = origin
        self._log = log
        self._metrics = metrics
        self._on_piece = on_piece
        self._on_whole = on_whole
        self._on_distrusted = on_distrusted
        self._peers = {}
        self._links = {}
        self._dialing = {}
        self._tasks = set()
        self._mismatches_by_piece = {}
        self._uploads = Uploads(link_rate=settings.link_rate, is_serving=is_serving)

    async def run(self):
        """Step the machine as time passes."""
        while True:
            await asyncio.sleep(TICK_EVERY)
            if any(not item.complete for item in self.swarm.by_digest.values()) or any(
                item.fresh for item in self.swarm.by_digest.values()
            ):
                self._step(Tick())

    @property
    def node(self):
        """The name of this host among its peers."""
        return self._settings.engine_address

    def region_nodes(self):
        """Return the hosts of the own region, this one too."""
        return [node for node in self._peers if self._source_of(node) == "region"]

    async def ask(self, node, frame, *, timeout):
        """Ask a peer and return its answer or a Failure."""
        return await self.ask_at(self._peers[node].address, frame, timeout=timeout)

    async def ask_at(self, address, frame, *, timeout):
        """Ask the agent at an IP, also one that is no peer yet."""
        link = await self._link(address, self._settings.port)
        if isinstance(link, Failure):
            return link
        return await link.ask(frame, timeout=timeout)

    def set_peers(self, peer_by_name):
        """Take who exchanges these weights; this host is one of them."""
        self._peers = peer_by_name
        self.swarm.announce_every = max(
            ANNOUNCE_EVERY, ANNOUNCE_EVERY_HOST * len(peer_by_name)
        )
        for name in list(self.swarm.by_digest):
            self._step(
                Participants(
                    digest=name,
                    participants=dict(peer_by_name),
                    region_by_domain=self._settings.region_by_failure_domain,
                )
            )

    def want(self, weights, *, priority):
        """Get the missing pieces of some weights."""
        self.weights_by_name[weights.name] = weights
        self._step(
            Want(
                digest=weights.name,
                chunks=len(weights.digests),
                size=len(weights.digests),
                held=weights.held(),
                participants=dict(self._peers),
                region_by_domain=self._settings.region_by_failure_domain,
                priority=priority,
                strategy=self._settings.strategy,
                origin_copies=self._settings.origin_copies,
            )
        )
        if not weights.whole:
            self._ask_neighbours(weights.name)

    def _ask_neighbours(self, name):
        """Ask every host of the own region what it holds.

        A host that comes when others have the weights already hears no news of
        them; until it has asked its neighbours it would read from other regions.
        """
        for node, peer in self._peers.items():
            if node == self._settings.engine_address:
                continue
            if self._source_of(node) == "region":
                ask = AskHoldings(
                    digest=name, node=node, address=peer.address, port=peer.port
                )
                self.spawn(self._ask_holdings(ask))

    def drop(self, name):
        """Stop getting some weights; what is here can still be asked for."""
        self._step(Drop(digest=name))

    def forget(self, name):
        """Free the memory of some weights."""
        self.drop(name)
        self.weights_by_name.pop(name, None)

    def on_frame(self, link, frame):
        """Answer a peer."""
        if frame.announce is not None:
            self._take_announce(frame.announce)
        elif frame.chunk_ask is not None:
            self._answer_chunk(link, frame)
        elif frame.holdings_ask is not None:
            self._answer_holdings(link, frame)

    def close(self):
        """End all links and fetches."""
        self._uploads.close()
        for task in self._tasks:
            task.cancel()
        for link in self._links.values():
            link.close()

    def _step(self, message):
        for outcome in self.swarm.step(message, now=monotonic()):
            self._carry_out(outcome)

    def _carry_out(self, outcome):
        if isinstance(outcome, FetchFromPeer):
            self.spawn(self._fetch_from_peer(outcome))
        elif isinstance(outcome, FetchFromOrigin):
            self.spawn(self._fetch_from_origin(outcome))
        elif isinstance(outcome, AnnounceChunks):
            self._announce(outcome)
        elif isinstance(outcome, AskHoldings):
            self.spawn(self._ask_holdings(outcome))
        elif isinstance(outcome, Complete):
            weights = self.weights_by_name.get(outcome.digest)
            if weights is not None and weights.whole:
                self._on_whole(weights)

    def spawn(self, coroutine):
        """Run something until it or this exchange ends; failures are logged."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.change("exchange_failed", error=repr(task.exception()))

    async def _fetch_from_peer(self, fetch):
        link = await self._link(fetch.address, fetch.port)
        if isinstance(link, Failure):
            self._fail(fetch, "unreachable")
            return
        if fetch.digest not in self.swarm.by_digest:
            # Dropped while the connection was waited for: a peer's link would carry
            # a piece that nobody needs.
            return
        ask = ChunkAsk(
            digest=fetch.digest, index=fetch.index, node=self._settings.engine_address
        )
        asked_at = monotonic()
        answer = await link.ask(Frame(chunk_ask=ask), timeout=PIECE_TIMEOUT)
        self._adapt(monotonic() - asked_at)
        if isinstance(answer, Failure):
            self._fail(fetch, "failed")
        elif answer.chunk is None or answer.chunk.data is None:
            self._fail(fetch, (answer.chunk and answer.chunk.reason) or "missing")
        else:
            self._take_piece(fetch, answer.chunk.data, self._source_of(fetch.node))

    def _adapt(self, seconds):
        """Ask for fewer pieces at once while they take long.

        Where this host's own link has become narrow, pieces that are on their way
        fill it, and requests to the engine wait behind them.
        """
        if seconds > SLOW_PIECE:
            self.swarm.peer_slots = max(LEAST_PEER_SLOTS, self.swarm.peer_slots // 2)
        elif seconds < QUICK_PIECE:
            self.swarm.peer_slots = min(PEER_SLOTS, self.swarm.peer_slots + 1)

    def _source_of(self, node):
        region_by_domain = self._settings.region_by_failure_domain
        peer = self._peers.get(node)
        own = region_by_domain.get(self._settings.failure_domain)
        if peer is None or region_by_domain.get(peer.failure_domain) == own:
            return "region"
        return "far"

    async def _fetch_from_origin(self, fetch):
        weights = self.weights_by_name.get(fetch.digest)
        if fetch.digest not in self.swarm.by_digest:
            return
        if weights is None or self.origin_address is None:
            self._fail(fetch, "failed")
            return
        try:
            async with asyncio.timeout(ORIGIN_TIMEOUT):
                data = await self._origin.piece(
                    self.origin_address, weights.model, weights.version, fetch.index
                )
        except TimeoutError:
            data = ORIGIN_FAILED.because("no answer in time")
        if isinstance(data, Failure):
            self._log.decision("origin_failed", piece=fetch.index, reason=data.reason)
            self._fail(fetch, "failed")
        else:
            self._take_piece(fetch, data, "origin")

    def _take_piece(self, fetch, data, source):
        weights = self.weights_by_name.get(fetch.digest)
        if weights is None:
            return
        self._metrics.count("piece_bytes_total", amount=len(data), source=source)
        if not weights.put(fetch.index, data):
            self._metrics.count("corrupt_pieces_total", source=source)
            self._fail(fetch, "corrupt")
            self._note_mismatch(weights, fetch.index)
            return
        self._mismatches_by_piece.pop((weights.name, fetch.index), None)
        self._on_piece(weights, fetch.index)
        self._step(ChunkVerified(digest=fetch.digest, index=fetch.index))

    def _note_mismatch(self, weights, index):
        key = (weights.name, index)
        count = self._mismatches_by_piece.get(key, 0) + 1
        self._mismatches_by_piece[key] = count
        if count >= DISTRUST_AFTER:
            self._mismatches_by_piece = {}
            self._on_distrusted(weights)

    def _fail(self, fetch, cause):
        self._step(ChunkFailed(digest=fetch.digest, index=fetch.index, cause=cause))

    async def _ask_holdings(self, ask):
        frame = Frame(holdings_ask=HoldingsAsk(digest=ask.digest))
        answer = await self.ask_at(ask.address, frame, timeout=PIECE_TIMEOUT)
        if isinstance(answer, Failure) or answer.holdings is None:
            self._step(PeerUnreachable(digest=ask.digest, node=ask.node))
            return
        self._step(
            Announced(
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
            link = self._links.get(address)
            if link is not None:
                link.send(Frame(announce=announce))
            else:
                self.spawn(self._announce_later(address, port, announce))

    async def _announce_later(self, address, port, announce):
        link = await self._link(address, port)
        if not isinstance(link, Failure):
            link.send(Frame(announce=announce))

    def _take_announce(self, announce):
        self._step(
            Announced(
                digest=announce.digest or "",
                node=announce.node or "",
                indices=unpack_indices(announce.indices),
                held=announce.held or 0,
            )
        )

    def _answer_chunk(self, link, frame):
        weights = self.weights_by_name.get(frame.chunk_ask.digest)
        data = weights.get(frame.chunk_ask.index) if weights is not None else None
        if data is None:
            chunk = Chunk(reason="missing")
        elif self._uploads.is_full:
            chunk = Chunk(reason="busy")
        else:
            chunk = Chunk(data=data)
        self._uploads.put(link, Frame(call=-frame.call, chunk=chunk))

    def _answer_holdings(self, link, frame):
        weights = self.weights_by_name.get(frame.holdings_ask.digest)
        held = weights.held() if weights is not None else ()
        holdings = Holdings(bitmap=pack_indices(held), held=len(held))
        # Behind the pieces: on this connection a piece may be half sent.
        self._uploads.put(link, Frame(call=-frame.call, holdings=holdings))

    async def _link(self, address, port):
        link = self._links.get(address)
        if link is not None:
            return link
        dialing = self._dialing.get(address)
        if dialing is None:
            loop = asyncio.get_running_loop()
            dialing = loop.create_task(self._dial(address, port))
            self._dialing[address] = dialing
            dialing.add_done_callback(lambda _: self._dialing.pop(address, None))
        return await asyncio.shield(dialing)

    async def _dial(self, address, port):
        link = await connect(
            address,
            port,
            on_frame=self.on_frame,
            on_closed=lambda _: self._links.pop(address, None),
            timeout=CONNECT_TIMEOUT,
        )
        if not isinstance(link, Failure):
            self._links[address] = link
        return link


def pack_indices(indices):
    """Return piece numbers as bytes, two each."""
    return struct.pack(f">{len(indices)}H", *indices)


def unpack_indices(data):
    """Return piece numbers; bytes that are none give an empty tuple."""
    if not data or len(data) % 2:
        return ()
    return struct.unpack(f">{len(data) // 2}H", data)
