"""Messages between the actors of one process."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TimePassed:
    """Sent by the ticker."""


@dataclass(slots=True, kw_only=True, frozen=True)
class DatagramArrived:
    """A datagram from another node.

    Parameters
    ----------
    datagram : hawthornspoke.protocol.Datagram
    source : tuple of (str, int)
    """

    datagram: object
    source: tuple


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadTable:
    """Read the row of the configuration."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadHosts:
    """Read the platform's host list."""


@dataclass(slots=True, kw_only=True, frozen=True)
class FetchDocumentNow:
    """Get a document, from a peer if there is an address.

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
    """The configuration's row, or a failure."""

    row: object


@dataclass(slots=True, kw_only=True, frozen=True)
class HostsRead:
    """The host list, or a failure."""

    entries: object


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentArrived:
    """A document, checked against its digest.

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
class DrainOrdered:
    """The node is to take no new work.

    Parameters
    ----------
    reason : str
    """

    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DumpAsked:
    """Answer with the whole state as plain data."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """Run a method of the control actor on its own thread and answer its result.

    Parameters
    ----------
    method : str
    arguments : dict
    """

    method: str
    arguments: dict
