"""Actors that fetch chunks and manifests to this host."""

import time
from dataclasses import dataclass

import pykka

from hawthornspoke.base import Failure, is_failure, monotonic
from hawthornspoke.config import parse_manifest
from hawthornspoke.protocol import (
    NOT_SENT,
    PROTOCOL_VERSION,
    ChunkAsk,
    Connection,
)
from hawthornspoke.swarm import (
    ChunkFailed,
    ChunkVerified,
    FetchFromOrigin,
    PeerAnnounced,
    PeerUnreachable,
    QueryHoldings,
)

NO_MANIFEST = Failure(code="no_manifest")

#: Seconds within which a peer has to return one chunk.
PEER_TIMEOUT = 10.0

#: Seconds without a byte from the origin after which a fetch fails. Long, because many
#: hosts share the origin's slow link.
ORIGIN_TIMEOUT = 20.0

QUERY_TIMEOUT = 1.0

#: Chunk index by which a host requests the manifest, the list of chunk digests, from a
#: peer.
MANIFEST_INDEX = -1
MANIFEST_PREFIX = "manifests/"

#: Maximum number of peers queried for a manifest that the object store lacks.
MAX_MANIFEST_PEERS = 3

#: Maximum number of connections that one actor keeps open.
MAX_CONNECTIONS = 32


@dataclass(slots=True, kw_only=True, frozen=True)
class GetManifest:
    """Fetch the manifest of weights from the object store or from peers.

    Parameters
    ----------
    digest : str
    peers : tuple of (str, int)
    """

    digest: str
    peers: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestFound:
    """Result of ``GetManifest``.

    Parameters
    ----------
    digest : str
    manifest : Manifest or Failure
        A Failure if neither the object store nor a queried peer has a valid one.
    """

    digest: str
    manifest: object


@dataclass(slots=True, kw_only=True, frozen=True)
class WorkerIdle:
    """A fetch actor can take the next fetch."""

    worker: object


class FetchActor(pykka.ThreadingActor):
    """Executes one fetch at a time, over connections of its own.

    Parameters
    ----------
    node : str
    store : ChunkStore
    link : LinkRateLimiter
        Rate limiter for incoming chunks.
    clients : PlatformClients
    source_by_digest : dict of str to str
        Name at the origin of the weights with each digest; written by the control
        actor.
    metrics : Metrics
    control : pykka.ActorRef
    """

    use_daemon_thread = True

    def __init__(
        self, *, node, store, link, clients, source_by_digest, metrics, control
    ):
        super().__init__()
        self.metrics = metrics
        self.node = node
        self.store = store
        self.link = link
        self.clients = clients
        self.source_by_digest = source_by_digest
        self.control = control
        self.connection_by_address = {}

    def on_receive(self, message):
        """Execute one fetch and report its result to the control actor."""
        try:
            answer = self._execute(message)
            if self.control.is_alive():
                self.control.tell(answer)
        finally:
            if self.control.is_alive():
                self.control.tell(WorkerIdle(worker=self.actor_ref))

    def _execute(self, message):
        if isinstance(message, GetManifest):
            return self._find_manifest(message)
        if isinstance(message, QueryHoldings):
            return self._fetch_holdings(message)
        if isinstance(message, FetchFromOrigin):
            return self._fetch_from_origin(message)
        return self._fetch_from_peer(message)

    def _fetch_from_origin(self, message):
        manifest = self.store.manifest(message.digest)
        source = self.source_by_digest.get(message.digest)
        if manifest is None or source is None:
            return _chunk_failed(message, "missing")
        start, stop = manifest.byte_range(message.index)
        data = self.clients.origin.chunk(
            source, start=start, stop=stop, timeout=ORIGIN_TIMEOUT
        )
        if is_failure(data):
            return _chunk_failed(message, "failed")
        self.metrics.count("origin_bytes_total", len(data))
        return self._store_chunk(message, data)

    def _fetch_from_peer(self, message):
        request = ChunkAsk(
            version=PROTOCOL_VERSION,
            digest=message.digest,
            index=message.index,
            node=self.node,
        )
        deadline = monotonic() + PEER_TIMEOUT
        reply = self._connection(message).call("chunk", request, deadline=deadline)
        if is_failure(reply):
            unreachable = reply == NOT_SENT
            return _chunk_failed(message, "unreachable" if unreachable else "failed")
        if reply.data is None:
            return _chunk_failed(message, reply.reason or "missing")
        self.metrics.count("peer_bytes_total", len(reply.data))
        return self._store_chunk(message, reply.data)

    def _store_chunk(self, message, data):
        time.sleep(self.link.reserve(len(data)))
        if is_failure(self.store.add(message.digest, message.index, data)):
            return _chunk_failed(message, "corrupt")
        return ChunkVerified(digest=message.digest, index=message.index)

    def _fetch_holdings(self, message):
        reply = self._connection(message).call(
            "holdings", message.digest, deadline=monotonic() + QUERY_TIMEOUT
        )
        if is_failure(reply):
            return PeerUnreachable(digest=message.digest, node=message.node)
        return PeerAnnounced(
            digest=message.digest,
            node=message.node,
            indices=unpack_bitmap(reply.bitmap or b""),
            held=reply.held or 0,
        )

    def _find_manifest(self, message):
        data = self.clients.objects.get(MANIFEST_PREFIX + message.digest)
        manifest = _parse_verified(data, message.digest)
        for address, port in message.peers[:MAX_MANIFEST_PEERS]:
            if manifest is not None:
                break
            manifest = self._fetch_manifest_from(address, port, message.digest)
        if manifest is None:
            manifest = NO_MANIFEST.with_reason(message.digest[:12])
        return ManifestFound(digest=message.digest, manifest=manifest)

    def _fetch_manifest_from(self, address, port, digest):
        connection = Connection(address=address, port=port)
        request = ChunkAsk(
            version=PROTOCOL_VERSION, digest=digest, index=MANIFEST_INDEX
        )
        reply = connection.call("chunk", request, deadline=monotonic() + QUERY_TIMEOUT)
        connection.close()
        return None if is_failure(reply) else _parse_verified(reply.data, digest)

    def _connection(self, message):
        key = (message.address, message.port)
        connection = self.connection_by_address.pop(key, None)
        if connection is None:
            connection = Connection(address=message.address, port=message.port)
        self.connection_by_address[key] = connection
        while len(self.connection_by_address) > MAX_CONNECTIONS:
            oldest = next(iter(self.connection_by_address))
            self.connection_by_address.pop(oldest).close()
        return connection


def pack_bitmap(indices):
    """Encode chunk indices as a little-endian bitmap.

    Parameters
    ----------
    indices : iterable of int

    Returns
    -------
    bytes
    """
    number = 0
    for index in indices:
        number |= 1 << index
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def unpack_bitmap(data):
    """Decode a bitmap to chunk indices.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    tuple of int
    """
    return tuple(
        offset * 8 + bit
        for offset, byte in enumerate(data)
        if byte
        for bit in range(8)
        if byte >> bit & 1
    )


def _parse_verified(data, digest):
    if not isinstance(data, bytes):
        return None
    manifest = parse_manifest(data)
    if is_failure(manifest) or manifest.digest != digest:
        return None
    return manifest


def _chunk_failed(message, cause):
    return ChunkFailed(digest=message.digest, index=message.index, cause=cause)
