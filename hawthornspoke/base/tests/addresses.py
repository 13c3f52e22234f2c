"""Loopback addresses and ports of tests that may run beside each other.

Workers of pytest-xdist draw from separate ranges, so that none takes an address that a
test of another worker is about to use.
"""

import os
import random

#: Maximum number of workers with a range of their own.
MAX_WORKERS = 8

#: Second byte of loopback addresses, of which each worker has a share.
FIRST_NET, LAST_NET = 1, 248


def random_port(low, high):
    """Return a random port in this worker's part of a range.

    Parameters
    ----------
    low, high : int
        The range, without its end.

    Returns
    -------
    int
    """
    return _draw(low, high)


def random_net():
    """Return the first two bytes of a loopback network, such as ``127.7``."""
    return f"127.{_draw(FIRST_NET, LAST_NET + 1)}"


def _draw(low, high):
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % MAX_WORKERS
    share = (high - low) // MAX_WORKERS
    return low + worker * share + random.randrange(share)
