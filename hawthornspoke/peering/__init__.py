"""Connections between hosts: Thrift frames over asyncio."""

from hawthornspoke.peering._connection import CLOSED, PeerConnection, connect, listen
from hawthornspoke.peering._directive import is_usable, make_directive, peer_endpoints

__all__ = [
    "CLOSED",
    "PeerConnection",
    "connect",
    "make_directive",
    "is_usable",
    "listen",
    "peer_endpoints",
]
