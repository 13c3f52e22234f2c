"""Connections between hosts: Thrift frames over asyncio."""

from hawthornspoke.peering._connection import CLOSED, PeerConnection, connect, listen
from hawthornspoke.peering._dated_report import DatedReport
from hawthornspoke.peering._declaration_report import (
    DeclarationReport,
    declared_age,
    made_us,
)
from hawthornspoke.peering._directive import is_usable, make_directive, peer_endpoints
from hawthornspoke.peering._link_clock import MAX_UNCERTAINTY, LinkClock

__all__ = [
    "CLOSED",
    "DatedReport",
    "DeclarationReport",
    "LinkClock",
    "MAX_UNCERTAINTY",
    "PeerConnection",
    "connect",
    "declared_age",
    "is_usable",
    "listen",
    "made_us",
    "make_directive",
    "peer_endpoints",
]
