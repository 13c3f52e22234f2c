"""This host's part of the retries that all entry hosts may make."""

from hawthornspoke.retries import RetryBudget

#: Entry hosts that share the allowed retries, until an agent has told how many.
ASSUMED_ENTRY_HOSTS = 20


class RetryBudgets:
    """A retry budget for each service.

    Parameters
    ----------
    settings : RelaySettings
        Replaced when they are read again.
    reported_entry_hosts : callable
        Returns how many entry hosts agents have told of, 0 if none has.
    """

    __slots__ = ("settings", "_reported_entry_hosts", "_budget_by_service")

    def __init__(self, *, settings, reported_entry_hosts):
        self.settings = settings
        self._reported_entry_hosts = reported_entry_hosts
        self._budget_by_service = {}

    def entry_hosts(self):
        """Return how many entry hosts there seem to be."""
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
        """Let all budgets follow the number of entry hosts."""
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
