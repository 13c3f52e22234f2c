"""Messages between the actors of one process."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TimerTick:
    """Message that a Ticker sends periodically."""


@dataclass(slots=True, kw_only=True, frozen=True)
class DatagramReceived:
    """A datagram received from another node.

    Parameters
    ----------
    datagram : hawthornspoke.protocol.Datagram
    source : tuple of (str, int)
    """

    datagram: object
    source: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadTable:
    """Read the configuration row of the table."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadHosts:
    """Read the platform's host list."""


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentFetchRequested:
    """Fetch a document, from a peer if an address is given.

    Parameters
    ----------
    digest : str
    address : str
        Empty to read the object store only.
    port : int
    """

    digest: str
    address: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class TableRowRead:
    """Result of ``ReadTable``: the configuration row or a Failure."""

    row: object


@dataclass(slots=True, kw_only=True, frozen=True)
class HostsRead:
    """Result of ``ReadHosts``: the host list or a Failure."""

    entries: object


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentFetched:
    """A document verified against its digest; None if it was not found.

    Parameters
    ----------
    digest : str
    data : bytes or None
    document : dict or None
    """

    digest: str
    data: object
    document: object


@dataclass(slots=True, kw_only=True, frozen=True)
class DrainRequested:
    """The node has to stop accepting work.

    Parameters
    ----------
    reason : str
    """

    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DumpRequested:
    """Request for the state as JSON-serializable data."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """Call a method of the control actor on the actor's thread.

    Parameters
    ----------
    method : str
    arguments : dict
    """

    method: str
    arguments: dict
