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
    """

    __slots__ = ("settings", "_reported_entry_hosts", "_budget_by_service")

    def __init__(self, *, settings, reported_entry_hosts):
        self.settings = settings
        self._reported_entry_hosts = reported_entry_hosts
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
        return budget

    def update_reserves(self):
        """Adapt the reserves of all budgets to the number of entry hosts."""
        for budget in self._budget_by_service.values():
            budget.reserve = self._reserve_per_host()

    def dump(self, *, now):
        """Return the state as plain data."""
        return {
            name: budget.dump(now=now)
            for name, budget in self._budget_by_service.items()
        }

    def _reserve_per_host(self):
        return self.settings.retry_reserve / self.entry_hosts()
