"""Retries that this host asks for, out of the reserve that all entry hosts share."""

import asyncio

#: Fraction of the allowance of all entry hosts that is kept in the reserve. A host that
#: has just started has no part of the rest.
RESERVE_SHARE = 0.08


class ReserveRequests:
    """The services for which this host has no retries left."""

    __slots__ = ("_paused_until", "_paused_until_by_service", "_services", "_changed")

    def __init__(self):
        self._paused_until = 0.0
        self._paused_until_by_service = {}
        self._services = set()
        self._changed = asyncio.Event()

    def add(self, service, *, now):
        """Ask for retries of a service, unless the reserve was empty a moment ago."""
        paused_until = self._paused_until_by_service.get(service, 0.0)
        if now >= max(paused_until, self._paused_until):
            self._services.add(service)
            self._changed.set()

    def pause(self, until):
        """Ask for nothing until a time."""
        self._paused_until = max(self._paused_until, until)
        self._services.clear()

    def pause_service(self, service, until):
        """Ask for no retries of a service until a time."""
        self._paused_until_by_service[service] = until
        self._services.discard(service)

    def has_any(self):
        """Return whether retries of a service are asked for."""
        return bool(self._services)

    async def wait(self):
        """Wait for a request, and return the services of all there are.

        Returns
        -------
        list of str
        """
        while not self._services:
            self._changed.clear()
            await self._changed.wait()
        services = sorted(self._services)
        self._services.clear()
        return services
