"""Manifests, which list the digests of a version's pieces, shared within a region."""

import asyncio
import contextlib
import re

from hawthornspoke.base import Failure, is_failure, rendezvous_order
from hawthornspoke.protocol import Frame, Manifest, ManifestAsk
from hawthornspoke.spread._client_types import ORIGIN_FAILED
from hawthornspoke.spread._piece_store import weights_name

#: Number of hosts of a region that read a manifest from the origin. The other hosts
#: request it from all of these at once.
READERS_PER_REGION = 2

#: Seconds for which a reader holds a request open while it has no manifest, and the
#: timeout after which the requesting host gives up on an unresponsive reader.
LONG_POLL_TIMEOUT = 0.5
REQUEST_TIMEOUT = 0.7

#: Consecutive responses without a manifest after which a host reads the origin itself,
#: as the readers may be running but unable to reach the origin.
MAX_MISSES = 8

#: Maximum number of manifests in memory. No host needs those of older versions.
MAX_MANIFESTS = 4

DIGEST = re.compile(r"[0-9a-f]{64}")

NOT_KNOWN = Failure(code="digests_not_known")
UNANSWERED = Failure(code="digests_unanswered")


class Manifests:
    """Fetches manifests and serves them to other hosts of the region.

    The origin accepts few connections at once. When each of 53 agents requested the
    manifest, it reset the connections above 48, some agents had no manifest for 15 s,
    and the manifests used as much of its link as a seventh of the pieces. So few hosts
    of each region read the manifest, and the others request it from them.

    Parameters
    ----------
    origin : object
        Provides ``await manifest(address, model, version)``.
    exchange : PieceExchange
        Provides the peers and the connections to them.
    log : EventLog
    """

    __slots__ = (
        "_origin",
        "_exchange",
        "_log",
        "_digests_by_name",
        "_rejected",
        "_misses_by_name",
        "_manifest_received",
    )

    def __init__(self, *, origin, exchange, log):
        self._origin = origin
        self._exchange = exchange
        self._log = log
        self._digests_by_name = {}
        self._rejected = set()
        self._misses_by_name = {}
        self._manifest_received = asyncio.Event()

    async def get(self, model, version):
        """Return the digests of a version.

        Parameters
        ----------
        model : str
        version : int

        Returns
        -------
        tuple of str or Failure
        """
        name = weights_name(model, version)
        digests = NOT_KNOWN
        preceding = self._preceding_readers(name)
        # Other hosts of the region may hold the same manifest that was rejected here.
        if name not in self._rejected:
            nodes = [*self._exchange.seeders(), *preceding]
            digests = await self._request_from_all(name, nodes)
        if is_failure(digests) and self._may_read_origin(name, preceding, digests):
            digests = await self._read_origin(model, version)
        if is_failure(digests):
            return digests
        if not all(DIGEST.fullmatch(digest) for digest in digests):
            return ORIGIN_FAILED.with_reason("the manifest contains a malformed digest")
        self._digests_by_name[name] = digests
        self._misses_by_name.pop(name, None)
        self._manifest_received.set()
        self._manifest_received = asyncio.Event()
        for old in list(self._digests_by_name)[:-MAX_MANIFESTS]:
            del self._digests_by_name[old]
        return digests

    def reject(self, name):
        """Remove a corrupt manifest; ``get`` then reads it from the origin again."""
        self._digests_by_name.pop(name, None)
        self._rejected.add(name)

    def answer(self, link, frame):
        """Respond to a host that requests a manifest."""
        self._exchange.spawn(self._send_manifest(link, frame))

    async def _send_manifest(self, link, frame):
        name = frame.manifest_ask.weights
        deadline = asyncio.get_running_loop().time() + LONG_POLL_TIMEOUT
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while name not in self._digests_by_name:
                    await self._manifest_received.wait()
        digests = self._digests_by_name.get(name)
        if digests is not None:
            digests = [bytes.fromhex(digest) for digest in digests]
        link.send(Frame(call=-frame.call, manifest=Manifest(digests=digests)))

    def _preceding_readers(self, name):
        """Return the manifest's readers that rank before this host.

        These are the hosts of the region that read it from the origin; all are
        returned if this host is none of them.
        """
        nodes = self._exchange.region_nodes()
        readers = rendezvous_order(key=name, nodes=nodes)[:READERS_PER_REGION]
        if self._exchange.node in readers:
            return readers[: readers.index(self._exchange.node)]
        return readers

    def _may_read_origin(self, name, preceding, failure):
        """Return whether this host reads the origin after readers gave no manifest."""
        if len(preceding) < READERS_PER_REGION or name in self._rejected:
            return True
        if failure == UNANSWERED:
            return True
        misses = self._misses_by_name.get(name, 0) + 1
        self._misses_by_name[name] = misses % MAX_MISSES
        return misses >= MAX_MISSES

    async def _request_from_all(self, name, nodes):
        """Request a manifest from several hosts; return the first one or a Failure."""
        failure = UNANSWERED
        requests = [
            asyncio.ensure_future(self._request_from(name, node)) for node in nodes
        ]
        try:
            for completed in asyncio.as_completed(requests):
                digests = await completed
                if not is_failure(digests):
                    return digests
                if digests != UNANSWERED:
                    failure = digests
        finally:
            for request in requests:
                request.cancel()
        return failure

    async def _request_from(self, name, node):
        frame = Frame(manifest_ask=ManifestAsk(weights=name))
        answer = await self._exchange.ask(node, frame, timeout=REQUEST_TIMEOUT)
        if is_failure(answer) or answer.manifest is None:
            return UNANSWERED
        if not answer.manifest.digests:
            return NOT_KNOWN
        return tuple(digest.hex() for digest in answer.manifest.digests)

    async def _read_origin(self, model, version):
        address = self._exchange.origin_address
        if address is None:
            return NOT_KNOWN.with_reason("no directive has named an origin")
        self._log.decision("manifest", version=version, origin=address)
        return await self._origin.manifest(address, model, version)
