"""Whether a process still listens at an address."""

import asyncio


async def refuses_connections(address, *, timeout):
    """Tell whether an address's host says that no process listens there.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : float
        Seconds.

    Returns
    -------
    bool
        False also if the host doesn't answer: then nothing is known of the process.
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
