"""Messages of the swarm machine, and what it decides."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class Want:
    """Some weights have to be here.

    Parameters
    ----------
    digest : str
    chunks : int
    size : int
    held : tuple of int
        Chunks that are here already.
    participants : dict of str to HostEntry
        All hosts that have to load them, this one too, with their addresses.
    region_by_domain : dict of str to str
    priority : int
    strategy : str
    origin_copies : int
    origin_scope : str
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
class Participants:
    """The hosts that have to load some weights changed."""

    digest: str
    participants: dict
    region_by_domain: dict


@dataclass(slots=True, kw_only=True, frozen=True)
class Drop:
    """Some weights are not wanted any more; the transfer stops at once."""

    digest: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Announced:
    """A peer told which chunks it holds.

    Parameters
    ----------
    digest : str
    node : str
    indices : tuple of int
    held : int
        The peer's total; more than the chunks known of it means lost news. 0 from a
        peer that tells this host only of some.
    """

    digest: str
    node: str
    indices: tuple
    held: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerUnreachable:
    """A question to a peer did not reach it.

    Parameters
    ----------
    digest : str
    node : str
    """

    digest: str
    node: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkVerified:
    """A chunk arrived and has the right digest."""

    digest: str
    index: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkFailed:
    """A fetch ended without the chunk.

    Parameters
    ----------
    digest : str
    index : int
    cause : str
        ``"corrupt"``, ``"busy"``, ``"missing"``, ``"unreachable"`` or
        ``"failed"``.
    """

    digest: str
    index: int
    cause: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Time passed."""


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchFromOrigin:
    """Read a chunk from the origin."""

    digest: str
    index: int


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchFromPeer:
    """Read a chunk from a peer."""

    digest: str
    index: int
    node: str
    address: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class AnnounceChunks:
    """Tell peers of new chunks.

    Parameters
    ----------
    digest : str
    indices : tuple of int
    held : int
    targets : tuple of (str, int)
    """

    digest: str
    indices: tuple
    held: int
    targets: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class AskHoldings:
    """Ask a peer for all it holds."""

    digest: str
    node: str
    address: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Complete:
    """All chunks of some weights are here and verified."""

    digest: str
    elapsed: float
