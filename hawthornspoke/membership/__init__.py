"""Cluster membership: failure detection from gossip and the host list."""

from hawthornspoke.membership._detector import (
    STATIC_FIELDS,
    HostListUpdated,
    MemberChanged,
    Membership,
    MemberStateReceived,
    MemberView,
    Tick,
)
from hawthornspoke.membership._relay import (
    may_relay,
    probe_targets,
    relay_targets,
    silent_peers,
    summary_targets,
)

__all__ = [
    "STATIC_FIELDS",
    "HostListUpdated",
    "MemberChanged",
    "MemberStateReceived",
    "MemberView",
    "Membership",
    "Tick",
    "may_relay",
    "probe_targets",
    "relay_targets",
    "silent_peers",
    "summary_targets",
]
