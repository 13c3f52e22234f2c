"""Requests that wait for a permit because no endpoint can serve them without one."""

import asyncio

from hawthornspoke.base import monotonic


class _Waiter:
    """A request that waits for a permit for one of several endpoints."""

    __slots__ = ("endpoint_ids", "deadline", "future")

    def __init__(self, *, endpoint_ids, deadline, future):
        self.endpoint_ids = endpoint_ids
        self.deadline = deadline
        self.future = future

    def resolve(self, is_granted):
        """End the wait."""
        if not self.future.done():
            self.future.set_result(is_granted)


class PermitWaits:
    """Lets one request at a time wait for the permits of an endpoint.

    More of them would wait in vain, since a claim rarely brings more than one permit.
    """

    __slots__ = ("_usable_at_by_endpoint", "_waiter_by_endpoint")

    def __init__(self):
        # When the permits of a claim become usable, None until the claim is answered.
        self._usable_at_by_endpoint = {}
        self._waiter_by_endpoint = {}

    def __len__(self):
        return len(set(self._waiter_by_endpoint.values()))

    def add_claim(self, endpoint_id):
        """Record that permits are being claimed."""
        self._usable_at_by_endpoint[endpoint_id] = None

    def end_claim(self, endpoint_id, *, usable_at):
        """Record the answer to a claim.

        Parameters
        ----------
        endpoint_id : str
        usable_at : float or None
            Time at which the permits become usable, None if there are none.
        """
        if usable_at is None:
            self._resolve(endpoint_id, False)
            return
        self._usable_at_by_endpoint[endpoint_id] = usable_at
        waiter = self._waiter_by_endpoint.get(endpoint_id)
        if waiter is not None and usable_at >= waiter.deadline:
            self._end_wait(endpoint_id, False)
        usable_in = max(0.0, usable_at - monotonic())
        asyncio.get_running_loop().call_later(
            usable_in, self._resolve, endpoint_id, True
        )

    def forbid(self, endpoint_id):
        """Stop waiting for the permits of an endpoint that may get no more requests."""
        waiter = self._waiter_by_endpoint.pop(endpoint_id, None)
        if waiter is None:
            return
        waiter.endpoint_ids = waiter.endpoint_ids - {endpoint_id}
        if not waiter.endpoint_ids:
            # Selecting again tells why there is no endpoint left.
            waiter.resolve(True)

    async def wait(self, endpoint_ids, *, seconds):
        """Wait for a permit for one of several endpoints.

        Another request may use the permit first.

        Parameters
        ----------
        endpoint_ids : tuple of str
        seconds : float
            Maximum duration.

        Returns
        -------
        bool
            Whether to select an endpoint again; False if there is no permit in time,
            or if other requests already wait for the permits of all these endpoints.
        """
        deadline = monotonic() + seconds
        awaited = {
            item for item in endpoint_ids if self._is_worth_waiting(item, deadline)
        }
        if not awaited:
            return False
        waiter = _Waiter(
            endpoint_ids=awaited,
            deadline=deadline,
            future=asyncio.get_running_loop().create_future(),
        )
        self._waiter_by_endpoint.update(dict.fromkeys(awaited, waiter))
        try:
            async with asyncio.timeout(seconds):
                return await waiter.future
        except TimeoutError:
            return False
        finally:
            for endpoint_id in awaited:
                if self._waiter_by_endpoint.get(endpoint_id) is waiter:
                    del self._waiter_by_endpoint[endpoint_id]

    def _is_worth_waiting(self, endpoint_id, deadline):
        if endpoint_id in self._waiter_by_endpoint:
            return False
        if endpoint_id not in self._usable_at_by_endpoint:
            return False
        usable_at = self._usable_at_by_endpoint[endpoint_id]
        return usable_at is None or usable_at < deadline

    def _resolve(self, endpoint_id, is_granted):
        """End a claim: its permits are usable, or were denied."""
        self._usable_at_by_endpoint.pop(endpoint_id, None)
        self._end_wait(endpoint_id, is_granted)

    def _end_wait(self, endpoint_id, is_granted):
        waiter = self._waiter_by_endpoint.pop(endpoint_id, None)
        if waiter is None:
            return
        if not is_granted:
            # Permits of the other endpoints may still come.
            waiter.endpoint_ids = waiter.endpoint_ids - {endpoint_id}
        if is_granted or not waiter.endpoint_ids:
            waiter.resolve(is_granted)
