"""Probe that tells whether a process listens at an address."""

import asyncio


async def refuses_connections(address, *, timeout):
    """Check whether a host refuses connections to an address.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : float
        Seconds.

    Returns
    -------
    bool
        True if no process listens there. False if the connection succeeds, and also
        if the host doesn't respond, as the state of the process is then unknown.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return False
