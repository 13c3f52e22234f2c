"""This host's share of the retry budgets of all entry hosts."""

from hawthornspoke.base import boottime_clock
from hawthornspoke.retries import RetryBudget

#: Number of entry hosts that is assumed until an agent reports it. Each host gets an
#: equal part of ``RelaySettings.retry_allowance``.
ASSUMED_ENTRY_HOSTS = 20

#: Seconds, besides a window, from the start of this host until it uses its part of the
#: allowance: hosts that were there before have learned by then to share with it.
JOINING_TIME = 3.0


class RetryBudgets:
    """This host's retry budget for each service.

    Parameters
    ----------
    settings : RelaySettings
        Replaced when the settings are reloaded.
    reported_entry_hosts : callable
        Returns the number of entry hosts reported by agents, 0 or None if unknown.
    log : EventLog
    started_at : float
        When this host started, on the boot-time clock.
    """

    __slots__ = (
        "settings",
        "_reported_entry_hosts",
        "_log",
        "_allowance_from",
        "_budget_by_service",
    )

    def __init__(self, *, settings, reported_entry_hosts, log, started_at):
        self.settings = settings
        self._reported_entry_hosts = reported_entry_hosts
        self._log = log
        self._allowance_from = started_at + settings.retry_window + JOINING_TIME
        self._budget_by_service = {}

    def entry_hosts(self):
        """Return the estimated number of entry hosts."""
        return self._reported_entry_hosts() or ASSUMED_ENTRY_HOSTS

    def for_service(self, service):
        """Return the RetryBudget of a service, whose clock is the boot-time clock."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(
                ratio=self.settings.retry_ratio,
                allowance=self._allowance_per_host(),
                window=self.settings.retry_window,
                allowance_from=self._allowance_from,
            )
            self._log_share(service)
        return budget

    def describe(self, service, *, now):
        """Return the fields that log lines about a service's retries have in common.

        Parameters
        ----------
        service : str
        now : float
            On the boot-time clock.

        Returns
        -------
        dict
            ``service``, ``left`` (retries that this host may send now), ``share`` (its
            part of the allowance), ``usable_in`` (seconds until it may use that),
            ``hosts`` (number of entry hosts that share the allowance) and ``reported``
            (whether agents have reported that number).
        """
        budget = self.for_service(service)
        return {
            "service": service,
            "left": round(budget.left(now=now), 2),
            "share": round(budget.allowance, 2),
            "usable_in": round(max(0.0, budget.allowance_from - now), 2),
            "hosts": self.entry_hosts(),
            "reported": bool(self._reported_entry_hosts()),
        }

    def update_shares(self):
        """Adapt all budgets to the settings and to the number of entry hosts."""
        allowance = self._allowance_per_host()
        for service, budget in self._budget_by_service.items():
            budget.ratio = self.settings.retry_ratio
            if budget.allowance != allowance:
                budget.allowance = allowance
                self._log_share(service)

    def dump(self, *, now):
        """Return the state as plain data; ``now`` is on the boot-time clock."""
        return {
            name: budget.dump(now=now)
            for name, budget in self._budget_by_service.items()
        }

    def _log_share(self, service):
        fields = self.describe(service, now=boottime_clock())
        self._log.change("retry_share", **fields)

    def _allowance_per_host(self):
        return self.settings.retry_allowance / self.entry_hosts()
