"""Fetches of single pieces, and what is learned from each."""

import asyncio

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.protocol import ChunkAsk, Frame
from hawthornspoke.spread._ports import ORIGIN_FAILED
from hawthornspoke.spread._uploads import PIECE_TIMEOUT
from hawthornspoke.swarm import ChunkFailed, ChunkVerified

#: Seconds for one piece from the origin, whose link all hosts share.
ORIGIN_TIMEOUT = 3.0

#: Pieces asked of peers at once. Each waits its turn at its peer, so that fewer
#: would leave some peers idle, and more fill this host's link with several at once.
PEER_SLOTS = 6

#: Fewest of them, on a link that has become narrow; and the seconds for a piece
#: from which half as many, or one more, are asked for. Six at once on a sound link
#: take 0.3 to 0.6 s each.
MIN_PEER_SLOTS = 1
SLOW_PIECE_TIME = 1.0
FAST_PIECE_TIME = 0.7

#: Times that one piece didn't match before the list of digests itself is read
#: again: it comes from the origin too, and a single digest in it may be wrong. The
#: origin spoils one piece in fifty, so twice in a row is hardly its doing; and a
#: peer that seems to send a wrong piece twice is not asked any more.
MAX_MISMATCHES = 2


class PieceFetcher:
    """Gets pieces and tells the swarm machine how it went.

    Parameters
    ----------
    swarm : Swarm
    step : callable
        Steps it with a message and carries out what it decides.
    weights_by_name : dict of str to Weights
    links : PeerLinks
    source_of : callable
        Returns how metrics name a peer's distance.
    origin, log, metrics, on_piece, on_digests_rejected : object
        See ``Exchange``.

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
        "_source_of",
        "_origin",
        "_log",
        "_metrics",
        "_on_piece",
        "_on_digests_rejected",
        "_mismatches_by_piece",
    )

    def __init__(
        self,
        *,
        swarm,
        step,
        weights_by_name,
        links,
        source_of,
        origin,
        log,
        metrics,
        on_piece,
        on_digests_rejected,
    ):
        self.origin_address = None
        self._swarm = swarm
        self._step = step
        self._weights_by_name = weights_by_name
        self._links = links
        self._source_of = source_of
        self._origin = origin
        self._log = log
        self._metrics = metrics
        self._on_piece = on_piece
        self._on_digests_rejected = on_digests_rejected
        self._mismatches_by_piece = {}

    async def fetch_from_peer(self, fetch):
        """Ask a peer for a piece."""
        link = await self._links.get(fetch.address, fetch.port)
        if isinstance(link, Failure):
            self._fail(fetch, "unreachable")
            return
        if fetch.digest not in self._swarm.by_digest:
            # Dropped while the connection was waited for: a peer's link would carry
            # a piece that nobody needs.
            return
        ask = ChunkAsk(digest=fetch.digest, index=fetch.index, node=self._swarm.node)
        asked_at = monotonic()
        answer = await link.ask(Frame(chunk_ask=ask), timeout=PIECE_TIMEOUT)
        self._adjust_peer_slots(monotonic() - asked_at)
        if isinstance(answer, Failure):
            self._fail(fetch, "failed")
        elif answer.chunk is None or answer.chunk.data is None:
            self._fail(fetch, (answer.chunk and answer.chunk.reason) or "missing")
        else:
            self._handle_piece(fetch, answer.chunk.data, self._source_of(fetch.node))

    def _adjust_peer_slots(self, seconds):
        """Ask for fewer pieces at once while they take long.

        Where this host's own link has become narrow, pieces that are on their way
        fill it, and requests to the engine wait behind them.
        """
        if seconds > SLOW_PIECE_TIME:
            self._swarm.peer_slots = max(MIN_PEER_SLOTS, self._swarm.peer_slots // 2)
        elif seconds < FAST_PIECE_TIME:
            self._swarm.peer_slots = min(PEER_SLOTS, self._swarm.peer_slots + 1)

    async def fetch_from_origin(self, fetch):
        """Ask the origin for a piece."""
        weights = self._weights_by_name.get(fetch.digest)
        if fetch.digest not in self._swarm.by_digest:
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
