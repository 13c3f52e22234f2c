"""Shared building blocks: failures, registries, validation, state machines, clocks."""

from hawthornspoke.base._clock import boottime_clock, monotonic, wall_time
from hawthornspoke.base._clock_offset import ClockOffset
from hawthornspoke.base._decay import DecayingRate
from hawthornspoke.base._digest import digest_of, rendezvous_order
from hawthornspoke.base._failure import Failure, is_failure
from hawthornspoke.base._largest_recent import LargestRecent
from hawthornspoke.base._machine import MACHINES, Machine
from hawthornspoke.base._partition import PARTITION
from hawthornspoke.base._registry import Registry
from hawthornspoke.base._signals import StopSignals
from hawthornspoke.base._sliding_count import SlidingCount
from hawthornspoke.base._sockets import (
    SocketState,
    discard_unsent_bytes,
    has_unread_bytes,
    is_closed_by_peer,
    socket_state,
    unacknowledged_bytes,
)
from hawthornspoke.base._stall import StallDetector
from hawthornspoke.base._ticks import Ticks
from hawthornspoke.base._timeout import (
    CATCH_UP_TIME,
    LATE_TIMER_DELAY,
    StallTolerantTimeout,
)
from hawthornspoke.base._validation import Bounds, check_params

__all__ = [
    "CATCH_UP_TIME",
    "LATE_TIMER_DELAY",
    "MACHINES",
    "PARTITION",
    "Bounds",
    "ClockOffset",
    "DecayingRate",
    "Failure",
    "LargestRecent",
    "Machine",
    "Registry",
    "SlidingCount",
    "StallDetector",
    "SocketState",
    "StallTolerantTimeout",
    "StopSignals",
    "Ticks",
    "boottime_clock",
    "check_params",
    "digest_of",
    "discard_unsent_bytes",
    "has_unread_bytes",
    "is_closed_by_peer",
    "is_failure",
    "monotonic",
    "rendezvous_order",
    "socket_state",
    "unacknowledged_bytes",
    "wall_time",
]
