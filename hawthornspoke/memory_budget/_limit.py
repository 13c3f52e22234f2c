"""How many bytes the connections of a process may hold."""

import os
from pathlib import Path

#: Bytes that a process needs by itself: interpreter, configuration, endpoint list.
PROCESS_BYTES = 45_000_000

#: Bytes by which a process grows after its start, beyond what it has then.
GROWTH_BYTES = 15_000_000

#: Bytes of copies that exist only while one request is encoded or passed on.
COPY_BYTES = 12_000_000

#: Share of the rest that connections may hold; the allocator wastes some of it.
USABLE_SHARE = 0.75

#: The limit if the memory of the process hardly suffices.
MIN_LIMIT = 8_000_000


def buffer_limit(memory_bytes, *, process_bytes=0):
    """Return the limit of a MemoryBudget, None for a process without a limit.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process beyond which it is killed; 0 if there is no limit.
    process_bytes : int, default=0
        Resident bytes at its start.

    Returns
    -------
    int or None
    """
    if not memory_bytes:
        return None
    own = max(PROCESS_BYTES, process_bytes + GROWTH_BYTES)
    return max(MIN_LIMIT, int((memory_bytes - own - COPY_BYTES) * USABLE_SHARE))


def resident_bytes():
    """Return the resident bytes of this process, 0 where that can't be read.

    Without the figure, ``PROCESS_BYTES`` holds.
    """
    try:
        pages = Path("/proc/self/statm").read_text().split()[1]
    except OSError:
        return 0
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
