"""Retires engines without an agent before their weights expire."""

import asyncio

from hawthornspoke.base import boottime_clock, is_failure

#: Seconds before the expiry of an engine's weights from which it is retired. Requests
#: to other failure domains are withdrawn 0.6 s before it.
RETIRE_BEFORE_EXPIRY = 0.7

#: Seconds after the expiry until which an order that failed is repeated.
RETIRE_AFTER_EXPIRY = 2.0


class _Order:
    """An engine to retire before its weights expire, and what came of it."""

    __slots__ = ("address", "model", "version", "expires_at", "is_done", "result")

    def __init__(self, *, address, model, version, expires_at):
        self.address = address
        self.model = model
        self.version = version
        self.expires_at = expires_at
        self.is_done = False
        self.result = None

    def is_due(self, now):
        """Return whether the engine has to be retired now."""
        starts_at = self.expires_at - RETIRE_BEFORE_EXPIRY
        return starts_at <= now < self.expires_at + RETIRE_AFTER_EXPIRY


class UnattendedEngines:
    """Orders engines without an agent to start nothing on expired weights.

    An entry host closes the connections of requests that haven't started in time, but
    an engine may keep such requests, and start them on expired weights. The agent
    beside it prevents that. Where none is connected, an entry host that has requests at
    the engine gives it the same order: to give up a layer, once what runs has ended.

    Parameters
    ----------
    fleet : Fleet
    engine_for : callable or None
        Given an address, returns a client with ``snapshot`` and ``retire`` like those
        of an agent.
    has_agent : callable
        Given an address, returns whether its agent is connected.
    log : EventLog
    """

    __slots__ = (
        "_fleet",
        "_engine_for",
        "_has_agent",
        "_log",
        "_order_by_key",
        "_task_by_address",
    )

    def __init__(self, *, fleet, engine_for, has_agent, log):
        self._fleet = fleet
        self._engine_for = engine_for
        self._has_agent = has_agent
        self._log = log
        self._order_by_key = {}
        self._task_by_address = {}

    @property
    def is_enabled(self):
        """Whether there is a way to reach engines."""
        return self._engine_for is not None

    async def run(self, ticks):
        """Retire engines until cancelled.

        Parameters
        ----------
        ticks : Ticks
        """
        while True:
            await ticks.next()
            self.start_orders(boottime_clock())

    def start_orders(self, now):
        """Give the orders that are due, again those that failed.

        Parameters
        ----------
        now : float
            Seconds of ``boottime_clock``.
        """
        for order in self._due_orders(now):
            if order.address not in self._task_by_address:
                self._start(order)

    def close(self):
        """Cancel all orders."""
        for task in self._task_by_address.values():
            task.cancel()

    def _due_orders(self, now):
        for endpoint in self._fleet.endpoint_by_id.values():
            if not endpoint.own_in_flight or endpoint.weights_version is None:
                continue
            order = self._order(endpoint)
            if order is not None and order.is_due(now):
                self._order_by_key.setdefault((order.address, order.version), order)
        self._order_by_key = {
            key: order for key, order in self._order_by_key.items() if order.is_due(now)
        }
        return [
            order
            for order in self._order_by_key.values()
            if not order.is_done and not self._has_agent(order.address)
        ]

    def _order(self, endpoint):
        service = self._fleet.service_by_name.get(endpoint.entry.service)
        if service is None or service.engine is None or not service.engine.layers:
            return None
        model, version = service.engine.model, endpoint.weights_version
        expires_at = self._fleet.declared.expires_at(
            model, version, bound=self._fleet.version_bound
        )
        if expires_at is None:
            return None
        return _Order(
            address=endpoint.entry.address,
            model=model,
            version=version,
            expires_at=expires_at,
        )

    def _start(self, order):
        task = asyncio.get_running_loop().create_task(self._retire(order))
        self._task_by_address[order.address] = task
        task.add_done_callback(lambda _: self._task_by_address.pop(order.address, None))

    async def _retire(self, order):
        engine = self._engine_for(order.address)
        before = await engine.snapshot()
        if is_failure(before):
            result = before
        elif before.busy:
            # While it carries out an order it starts nothing by itself.
            return
        elif before.version != order.version or not _is_whole(before):
            result = "already retired"
        else:
            result = await engine.retire(
                order.model,
                order.version,
                layers=before.layers,
                sequence=before.sequence,
            )
        order.is_done = not is_failure(result)
        if str(result) != order.result:
            # An order that fails is repeated several times a second.
            order.result = str(result)
            self._log.change(
                "weights_retired",
                endpoint=order.address,
                version=order.version,
                result=order.result,
            )


def _is_whole(snapshot):
    """Return whether an engine holds the layer that it is to give up."""
    return bool(snapshot.layers) and snapshot.layers[0] == 0
