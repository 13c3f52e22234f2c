"""How long an endpoint is cold, and what one entry host may send to it meanwhile.

Pure decisions without sockets or clocks; ``placing`` applies them. The design is in
``docs/design/18-cold-endpoints.md``.
"""

from hawthornspoke.slow_start._cold_state import ENTRY_DELAY, RAMP_TIME, ColdState
from hawthornspoke.slow_start._host_counts import (
    ASSUMED_ENTRY_HOSTS,
    COUNT_MEMORY,
    SETTLING_TIME,
    HostCounts,
)
from hawthornspoke.slow_start._send_slots import OPEN_TIME, SendSlots
from hawthornspoke.slow_start._share import share_of_rate, sustained_rate

__all__ = [
    "ASSUMED_ENTRY_HOSTS",
    "COUNT_MEMORY",
    "ENTRY_DELAY",
    "OPEN_TIME",
    "RAMP_TIME",
    "SETTLING_TIME",
    "ColdState",
    "HostCounts",
    "SendSlots",
    "share_of_rate",
    "sustained_rate",
]
