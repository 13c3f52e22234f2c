"""Policy-free building blocks: failures, registries, validation, state machines."""

from hawthornspoke.base._clock import contact_clock, monotonic, wall
from hawthornspoke.base._digest import digest_of, rendezvous_order
from hawthornspoke.base._failure import Failure, is_failure
from hawthornspoke.base._machine import MACHINES, Machine
from hawthornspoke.base._partition import PARTITION
from hawthornspoke.base._registry import Registry
from hawthornspoke.base._sockets import has_hung_up
from hawthornspoke.base._standstill import Standstill
from hawthornspoke.base._ticks import Ticks
from hawthornspoke.base._validation import Bounds, check_params

__all__ = [
    "MACHINES",
    "PARTITION",
    "Bounds",
    "Failure",
    "Machine",
    "Registry",
    "Standstill",
    "Ticks",
    "check_params",
    "contact_clock",
    "digest_of",
    "has_hung_up",
    "is_failure",
    "monotonic",
    "rendezvous_order",
    "wall",
]
