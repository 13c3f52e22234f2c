"""This host's share of the retry budgets of all entry hosts."""

from hawthornspoke.retries import RetryBudget

#: Number of entry hosts that is assumed until an agent reports it. Each host gets an
#: equal part of ``RelaySettings.retry_reserve``.
ASSUMED_ENTRY_HOSTS = 20


class RetryBudgets:
    """This host's retry budget for each service.

    Parameters
    ----------
    settings : RelaySettings
        Replaced when the settings are reloaded.
    reported_entry_hosts : callable
        Returns the number of entry hosts reported by agents, 0 or None if unknown.
    log : EventLog
    """

    __slots__ = ("settings", "_reported_entry_hosts", "_log", "_budget_by_service")

    def __init__(self, *, settings, reported_entry_hosts, log):
        self.settings = settings
        self._reported_entry_hosts = reported_entry_hosts
        self._log = log
        self._budget_by_service = {}

    def entry_hosts(self):
        """Return the estimated number of entry hosts."""
        return self._reported_entry_hosts() or ASSUMED_ENTRY_HOSTS

    def for_service(self, service):
        """Return the RetryBudget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(
                ratio=self.settings.retry_ratio, reserve=self._reserve_per_host()
            )
            self._log_share(service)
        return budget

    def describe(self, service):
        """Return the fields that log lines about a service's retries have in common.

        Returns
        -------
        dict
            ``service``, ``left`` (retries that this host may still send), ``share``
            (the most that this may be), ``hosts`` (number of entry hosts that share
            the limit) and ``reported`` (whether agents have reported that number).
        """
        budget = self.for_service(service)
        return {
            "service": service,
            "left": round(budget.tokens, 2),
            "share": round(budget.reserve, 2),
            "hosts": self.entry_hosts(),
            "reported": bool(self._reported_entry_hosts()),
        }

    def update_reserves(self):
        """Adapt the reserves of all budgets to the number of entry hosts."""
        reserve = self._reserve_per_host()
        for service, budget in self._budget_by_service.items():
            if budget.reserve != reserve:
                budget.reserve = reserve
                self._log_share(service)

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            name: budget.dump(now=now)
            for name, budget in self._budget_by_service.items()
        }

    def _log_share(self, service):
        self._log.change("retry_share", **self.describe(service))

    def _reserve_per_host(self):
        return self.settings.retry_reserve / self.entry_hosts()
