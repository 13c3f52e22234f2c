"""Connections between entry hosts and agents: Thrift frames on the event loop."""

from hawthornspoke.peering._connection import CLOSED, PeerConnection, connect, listen

__all__ = ["CLOSED", "PeerConnection", "connect", "listen"]
