"""Messages between hawthornspoke processes: Thrift over TCP and UDP."""

from hawthornspoke.protocol._codec import decode, encode
from hawthornspoke.protocol._connection import Connection, ConnectionPool
from hawthornspoke.protocol._datagrams import DatagramSocket
from hawthornspoke.protocol._failures import (
    NOT_SENT,
    REPLY_LOST,
    TOO_LATE,
)
from hawthornspoke.protocol._gen.ttypes import (
    Announce,
    Chunk,
    ChunkAsk,
    Datagram,
    Directive,
    Document,
    DrainReply,
    EngineState,
    EntryHosts,
    Event,
    EventKind,
    Events,
    Frame,
    Gossip,
    Holdings,
    HoldingsAsk,
    Live,
    Member,
    PeerEndpoint,
    Role,
    Status,
    Submit,
    TableAsk,
    TableNews,
    TableRow,
)
from hawthornspoke.protocol._server import RpcServer

PROTOCOL_VERSION = 1

__all__ = [
    "NOT_SENT",
    "PROTOCOL_VERSION",
    "REPLY_LOST",
    "TOO_LATE",
    "Announce",
    "Chunk",
    "ChunkAsk",
    "Connection",
    "ConnectionPool",
    "Datagram",
    "Directive",
    "DatagramSocket",
    "Document",
    "DrainReply",
    "EngineState",
    "EntryHosts",
    "Event",
    "EventKind",
    "Events",
    "Frame",
    "Gossip",
    "Holdings",
    "HoldingsAsk",
    "Live",
    "Member",
    "PeerEndpoint",
    "Role",
    "RpcServer",
    "Status",
    "Submit",
    "TableAsk",
    "TableNews",
    "TableRow",
    "decode",
    "encode",
]
