"""Check whether no process listens at an address."""

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
        True if the host refuses the connection, as no process listens there. False if
        the connection succeeds or the host doesn't respond, as the process may then be
        running.
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
