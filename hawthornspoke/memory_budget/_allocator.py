"""What the C library's allocator keeps of memory that was freed."""

import ctypes

#: Parameters of ``mallopt``. To set one of them turns off their dynamic adjustment, by
#: which freed blocks of up to 32 MiB stay in the heap.
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3

#: Bytes from which a block is mapped, and so given back once it is freed. More than one
#: read of a socket allocates, which would otherwise map and unmap each time.
MMAP_THRESHOLD = 512 * 1024

#: Free bytes at the end of the heap from which they are given back.
TRIM_THRESHOLD = 2 * 1024 * 1024


def limit_kept_memory():
    """Let the allocator give back large blocks that were freed.

    Returns
    -------
    bool
        False if the C library has no such parameters.
    """
    mallopt = _function("mallopt")
    if mallopt is None:
        return False
    is_set = mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD) == 1
    return mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD) == 1 and is_set


def release_kept_memory():
    """Give back free memory from within the heap, as far as the C library can."""
    malloc_trim = _function("malloc_trim")
    if malloc_trim is not None:
        malloc_trim(0)


def _function(name):
    try:
        return getattr(ctypes.CDLL(None), name, None)
    except OSError:
        return None
