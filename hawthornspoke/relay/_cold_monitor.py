"""Shows operators which endpoints are cold."""


class ColdEndpointMonitor:
    """Logs when an endpoint becomes cold or warm, and counts the cold ones.

    Parameters
    ----------
    fleet : Fleet
    log : EventLog
    metrics : Metrics
    """

    __slots__ = ("_fleet", "_log", "_metrics", "_cold_ids")

    def __init__(self, *, fleet, log, metrics):
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._cold_ids = frozenset()

    def update(self, *, now):
        """Log the changes since the last update.

        Parameters
        ----------
        now : float
        """
        cold_until_by_id = self._fleet.cold_until_by_id(now=now)
        cold_ids = frozenset(cold_until_by_id)
        if cold_ids == self._cold_ids:
            return
        for endpoint_id in sorted(cold_ids ^ self._cold_ids):
            self._log.change(
                "endpoint_cold",
                endpoint=endpoint_id,
                is_cold=endpoint_id in cold_ids,
                seconds=round(cold_until_by_id.get(endpoint_id, now) - now, 3),
            )
        self._cold_ids = cold_ids
        self._metrics.set_gauge("cold_endpoints", len(cold_ids))
