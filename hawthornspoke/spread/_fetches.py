"""Fetching of single pieces from peers and the origin."""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.protocol import ChunkAsk, Frame
from hawthornspoke.spread._client_types import ORIGIN_FAILED
from hawthornspoke.spread._uploads import PIECE_TIMEOUT
from hawthornspoke.swarm import ChunkFailed, ChunkVerified

#: Timeout of one piece from the origin, in seconds. All hosts share the origin's link.
ORIGIN_TIMEOUT = 3.0

#: Maximum concurrent piece requests to peers. Each request waits in its peer's queue:
#: fewer would leave some peers idle, and more would have several pieces arrive on this
#: host's link at the same time.
PEER_SLOTS = 6

#: Minimum concurrent requests, used on a congested link. A piece that takes longer than
#: SLOW_PIECE_TIME seconds halves their number; one that takes less than FAST_PIECE_TIME
#: adds one. With six at once, a piece on a healthy link takes 0.3 to 0.6 s.
MIN_PEER_SLOTS = 1
SLOW_PIECE_TIME = 1.0
FAST_PIECE_TIME = 0.7

#: Digest mismatches of one piece after which the manifest itself is read again. It
#: comes from the origin too, and one digest in it may be corrupt. The origin corrupts
#: one piece in fifty, so two corrupt copies of the same piece are unlikely. The limit
#: is low because a peer that appears to send a corrupt piece twice is no longer used.
MAX_MISMATCHES = 2


class PieceFetcher:
    """Fetches pieces and reports the results to the swarm machine.

    Parameters
    ----------
    swarm : Swarm
    step : callable
        Passes a message to the machine and performs the returned actions.
    weights_by_name : dict of str to Weights
    links : PeerLinks
    source_label : callable
        Returns the value of the metrics label ``source`` for a peer.
    origin, log, metrics, on_piece, on_digests_rejected : object
        See ``PieceExchange``.
    granted_rate : GrantedRate

    Attributes
    ----------
    origin_address : str or None
    """

    __slots__ = (
        "origin_address",
        "_swarm",
        "_step",
        "_weights_by_name",
        "_links",
        "_source_label",
        "_origin",
        "_log",
        "_metrics",
        "_on_piece",
        "_on_digests_rejected",
        "_granted_rate",
        "_mismatches_by_piece",
    )

    def __init__(
        self,
        *,
        swarm,
        step,
        weights_by_name,
        links,
        source_label,
        origin,
        log,
        metrics,
        on_piece,
        on_digests_rejected,
        granted_rate,
    ):
        self.origin_address = None
        self._swarm = swarm
        self._step = step
        self._weights_by_name = weights_by_name
        self._links = links
        self._source_label = source_label
        self._origin = origin
        self._log = log
        self._metrics = metrics
        self._on_piece = on_piece
        self._on_digests_rejected = on_digests_rejected
        self._granted_rate = granted_rate
        self._mismatches_by_piece = {}

    async def fetch_from_peer(self, fetch):
        """Fetch a piece from a peer."""
        link = await self._links.get(fetch.address, fetch.port)
        if isinstance(link, Failure):
            self._fail(fetch, "unreachable")
            return
        if fetch.digest not in self._swarm.transfer_by_digest:
            # The version was dropped while the connection was being made, and the piece
            # would use a peer's link for nothing.
            return
        ask = ChunkAsk(
            digest=fetch.digest,
            index=fetch.index,
            node=self._swarm.node,
            rate=int(self._granted_rate.value()),
        )
        requested_at = monotonic()
        answer = await link.ask(Frame(chunk_ask=ask), timeout=PIECE_TIMEOUT)
        self._adjust_peer_slots(monotonic() - requested_at)
        if isinstance(answer, Failure):
            self._fail(fetch, "failed")
        elif answer.chunk is None or answer.chunk.data is None:
            self._fail(fetch, (answer.chunk and answer.chunk.reason) or "missing")
        else:
            data = answer.chunk.data
            self._granted_rate.on_piece(
                len(data), requested_at=requested_at, now=monotonic()
            )
            self._handle_piece(fetch, data, self._source_label(fetch.node))

    def _adjust_peer_slots(self, seconds):
        """Adapt the number of concurrent requests to the time that a piece took.

        If this host's link is congested, pieces in transit fill it, and requests to the
        engine are queued behind them.
        """
        if seconds > SLOW_PIECE_TIME:
            self._swarm.peer_slots = max(MIN_PEER_SLOTS, self._swarm.peer_slots // 2)
        elif seconds < FAST_PIECE_TIME:
            self._swarm.peer_slots = min(PEER_SLOTS, self._swarm.peer_slots + 1)

    async def fetch_from_origin(self, fetch):
        """Fetch a piece from the origin."""
        weights = self._weights_by_name.get(fetch.digest)
        if fetch.digest not in self._swarm.transfer_by_digest:
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
            data = ORIGIN_FAILED.with_reason("the origin did not respond in time")
        if isinstance(data, Failure):
            self._log.decision("origin_failed", piece=fetch.index, reason=data.reason)
            self._fail(fetch, "failed")
        else:
            self._handle_piece(fetch, data, "origin")

    def _handle_piece(self, fetch, data, source):
        weights = self._weights_by_name.get(fetch.digest)
        if weights is None:
            return
        self._metrics.count("piece_bytes_total", amount=len(data), source=source)
        if not weights.put(fetch.index, data):
            self._metrics.count("corrupt_pieces_total", source=source)
            self._fail(fetch, "corrupt")
            self._count_mismatch(weights, fetch.index)
            return
        self._mismatches_by_piece.pop((weights.name, fetch.index), None)
        self._on_piece(weights, fetch.index)
        self._step(ChunkVerified(digest=fetch.digest, index=fetch.index))

    def _count_mismatch(self, weights, index):
        key = (weights.name, index)
        count = self._mismatches_by_piece.get(key, 0) + 1
        self._mismatches_by_piece[key] = count
        if count >= MAX_MISMATCHES:
            self._mismatches_by_piece = {}
            self._on_digests_rejected(weights)

    def _fail(self, fetch, cause):
        self._step(ChunkFailed(digest=fetch.digest, index=fetch.index, cause=cause))
