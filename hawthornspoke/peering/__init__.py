"""Connections between hosts: Thrift frames over asyncio."""

from hawthornspoke.peering._connection import CLOSED, PeerConnection, connect, listen
from hawthornspoke.peering._directive import directive, is_usable, peer_endpoints

__all__ = [
    "CLOSED",
    "PeerConnection",
    "connect",
    "directive",
    "is_usable",
    "listen",
    "peer_endpoints",
]
