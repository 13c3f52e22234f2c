"""Messages that the swarm state machine handles and returns."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferRequested:
    """Request to transfer some weights to this host.

    Parameters
    ----------
    digest : str
        Identifies the weights, also in the other messages.
    chunks : int
        Number of chunks that the weights are split into.
    size : int
        Of transfers with the same priority, the one with the smallest size goes first.
    held : tuple of int
        Indices of the chunks that this host already holds.
    participants : dict of str to object
        All hosts that load these weights, including this one, by name. Each object has
        ``failure_domain``, ``address`` and ``port``.
    region_by_domain : dict of str to str
        Region of each failure domain.
    priority : int
        0 is the highest.
    strategy : str
        Key of ``STRATEGIES``.
    origin_copies : int
        Number of copies of the weights that the hosts of a scope read from the origin;
        they exchange the chunks of these copies.
    origin_scope : str
        The scope: ``"fleet"`` (all hosts), ``"region"`` or ``"failure_domain"``.
    """

    digest: str
    chunks: int
    size: int
    participants: dict
    held: tuple = ()
    region_by_domain: dict = field(default_factory=dict)
    priority: int = 3
    strategy: str = "scatter"
    origin_copies: int = 1
    origin_scope: str = "fleet"


@dataclass(slots=True, kw_only=True, frozen=True)
class ParticipantsChanged:
    """The set of hosts that load some weights has changed."""

    digest: str
    participants: dict
    region_by_domain: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferCancelled:
    """Some weights are no longer needed; their transfer stops immediately."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerAnnounced:
    """A peer has announced which chunks it holds.

    Parameters
    ----------
    digest : str
    node : str
    indices : tuple of int
    held : int
        Total number of chunks the peer holds. If it exceeds the number known to this
        host, an announcement was lost. 0 if the peer announces only some of its
        chunks to this host.
    """

    digest: str
    node: str
    indices: tuple
    held: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerUnreachable:
    """A query for the chunks that a peer holds got no answer from it.

    Parameters
    ----------
    digest : str
    node : str
    """

    digest: str
    node: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkVerified:
    """A chunk was received and its digest matches the manifest."""

    digest: str
    index: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkFailed:
    """A fetch of a chunk has failed.

    Parameters
    ----------
    digest : str
    index : int
    cause : str
        ``"corrupt"``, ``"busy"`` (the peer serves too many fetches), ``"missing"`` (the
        source does not have the chunk), ``"unreachable"`` or ``"failed"``.
    """

    digest: str
    index: int
    cause: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Periodic timer event."""


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchFromOrigin:
    """Fetch a chunk from the origin."""

    digest: str
    index: int


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchFromPeer:
    """Fetch a chunk from a peer."""

    digest: str
    index: int
    node: str
    address: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class AnnounceChunks:
    """Announce newly held chunks to peers.

    Parameters
    ----------
    digest : str
    indices : tuple of int
    held : int
        Total number of chunks this host holds; 0 if only some are announced.
    targets : tuple of (str, int)
        Address and port of each peer.
    """

    digest: str
    indices: tuple
    held: int
    targets: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class QueryHoldings:
    """Query a peer for the chunks it holds."""

    digest: str
    node: str
    address: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class AllChunksVerified:
    """This host holds all chunks of some weights, verified.

    Parameters
    ----------
    digest : str
    elapsed : float
        Seconds since the transfer started.
    """

    digest: str
    elapsed: float
