"""Connections to other agents: one for each agent, opened on first use."""

import asyncio

from hawthornspoke.base import Failure
from hawthornspoke.peering import connect

CONNECT_TIMEOUT = 0.6


class PeerLinks:
    """Opens connections to other agents and reuses them.

    Parameters
    ----------
    on_frame : callable
        Called with a connection and a frame received on it that is not a response.
    """

    __slots__ = ("_on_frame", "_link_by_address", "_dialing_by_address")

    def __init__(self, *, on_frame):
        self._on_frame = on_frame
        self._link_by_address = {}
        self._dialing_by_address = {}

    def existing(self, address):
        """Return the open connection to an agent, or None."""
        return self._link_by_address.get(address)

    async def get(self, address, port):
        """Return the connection to an agent, opening it if needed, or a Failure."""
        link = self._link_by_address.get(address)
        if link is not None:
            return link
        dialing = self._dialing_by_address.get(address)
        if dialing is None:
            loop = asyncio.get_running_loop()
            dialing = loop.create_task(self._dial(address, port))
            self._dialing_by_address[address] = dialing
            dialing.add_done_callback(
                lambda _: self._dialing_by_address.pop(address, None)
            )
        return await asyncio.shield(dialing)

    async def _dial(self, address, port):
        link = await connect(
            address,
            port,
            on_frame=self._on_frame,
            on_closed=lambda _: self._link_by_address.pop(address, None),
            timeout=CONNECT_TIMEOUT,
        )
        if not isinstance(link, Failure):
            self._link_by_address[address] = link
        return link

    def close(self):
        """Close all connections."""
        for link in self._link_by_address.values():
            link.close()
